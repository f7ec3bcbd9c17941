/**
 * Bytes that pass the connections of a server.
 *
 * @module
 */

import type { Socket } from "node:net";

/** Counts the bytes of the connections that it is shown. */
export class Traffic {
  readonly #open = new Set<Socket>();
  #closedBytes = 0;

  /** Counts a connection from now on. */
  watch(socket: Socket): void {
    this.#open.add(socket);
    socket.once("close", () => {
      this.#open.delete(socket);
      this.#closedBytes += bytesOf(socket);
    });
  }

  /** Bytes read and written so far. */
  get bytes(): number {
    const open = [...this.#open].reduce((sum, one) => sum + bytesOf(one), 0);
    return this.#closedBytes + open;
  }
}

function bytesOf(socket: Socket): number {
  return socket.bytesRead + socket.bytesWritten;
}
