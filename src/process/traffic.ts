/**
 * Knows the connections of a server and counts their bytes.
 *
 * @module
 */

import type { Socket } from "node:net";

/** A set of connections and the count of their bytes. */
export class Traffic {
  readonly #openSockets = new Set<Socket>();
  #closedBytes = 0;

  /** Adds a connection to the count. */
  add(socket: Socket): void {
    this.#openSockets.add(socket);
    socket.once("close", () => {
      this.#openSockets.delete(socket);
      this.#closedBytes += bytesOf(socket);
    });
  }

  /** Closes all connections. */
  closeAll(): void {
    this.#openSockets.forEach((socket) => socket.destroy());
  }

  /** Returns the bytes read and written so far. */
  get bytes(): number {
    const open = [...this.#openSockets].reduce(
      (sum, one) => sum + bytesOf(one),
      0,
    );
    return this.#closedBytes + open;
  }
}

function bytesOf(socket: Socket): number {
  return socket.bytesRead + socket.bytesWritten;
}
