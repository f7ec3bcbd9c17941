/**
 * TCP relay whose open connections can go silent for good while new ones
 * work, as happens when something between two hosts loses track of them.
 *
 * @module
 */

import { connect, createServer, type Server, type Socket } from "node:net";

const ADDRESS = "127.0.0.1";

/** Relay before one address. */
export class Relay {
  readonly #server: Server;
  readonly #pairs = new Set<readonly [Socket, Socket]>();

  private constructor(toPort: number) {
    this.#server = createServer((from) => this.#relay(from, toPort));
  }

  /** Starts a relay to a port of this host. */
  static start(toPort: number): Promise<Relay> {
    const relay = new Relay(toPort);
    return new Promise((resolve, reject) => {
      relay.#server.once("error", reject);
      relay.#server.listen(0, ADDRESS, () => resolve(relay));
    });
  }

  /** Base URL of the relay. */
  get url(): string {
    const at = this.#server.address();
    return `http://${ADDRESS}:${typeof at === "object" ? at?.port : 0}`;
  }

  /** Silences every open connection; gives their number. */
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

  /** Stops listening. */
  close(): void {
    this.#server.close();
  }

  #relay(from: Socket, toPort: number): void {
    const to = connect(toPort, ADDRESS);
    const pair = [from, to] as const;
    this.#pairs.add(pair);
    from.pipe(to);
    to.pipe(from);
    pair.forEach((socket) => {
      socket.on("error", () => {});
      socket.on("close", () => this.#end(pair));
    });
  }

  #end(pair: readonly [Socket, Socket]): void {
    // The other end of a silent connection learns nothing of a close.
    if (!this.#pairs.delete(pair)) return;
    pair.forEach((socket) => socket.destroy());
  }
}
