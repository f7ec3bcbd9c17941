/**
 * TCP relay that can silence its open connections for good while new ones
 * work. This happens when a device between two hosts loses its connection
 * state.
 *
 * @module
 */

import { connect, createServer, type Server, type Socket } from "node:net";

const ADDRESS = "127.0.0.1";

/** Relay in front of one port. */
export class Relay {
  readonly #server: Server;
  readonly #pairs = new Set<readonly [Socket, Socket]>();

  private constructor(targetPort: number) {
    this.#server = createServer((from) => this.#relay(from, targetPort));
  }

  /** Starts a relay to a port on this host. */
  static start(targetPort: number): Promise<Relay> {
    const relay = new Relay(targetPort);
    return new Promise((resolve, reject) => {
      relay.#server.once("error", reject);
      relay.#server.listen(0, ADDRESS, () => resolve(relay));
    });
  }

  /** Returns the base URL of the relay. */
  get url(): string {
    const address = this.#server.address();
    return `http://${ADDRESS}:${
      typeof address === "object" ? address?.port : 0
    }`;
  }

  /** Silences every open connection and returns their number. */
  silence(): number {
    const silenced = this.#pairs.size;
    this.#pairs.forEach(([from, to]) => {
      from.unpipe(to);
      to.unpipe(from);
      from.pause();
      to.pause();
    });
    this.#pairs.clear();
    return silenced;
  }

  /** Stops accepting connections. */
  close(): void {
    this.#server.close();
  }

  #relay(from: Socket, targetPort: number): void {
    const to = connect(targetPort, ADDRESS);
    const pair = [from, to] as const;
    this.#pairs.add(pair);
    from.pipe(to);
    to.pipe(from);
    pair.forEach((socket) => {
      socket.on("error", () => {});
      socket.on("close", () => this.#closePair(pair));
    });
  }

  #closePair(pair: readonly [Socket, Socket]): void {
    // A close is not propagated to the other end of a silenced connection.
    if (!this.#pairs.delete(pair)) return;
    pair.forEach((socket) => socket.destroy());
  }
}
