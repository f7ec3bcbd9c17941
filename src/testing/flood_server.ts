/**
 * Server on loopback that writes bytes without end in place of a response.
 *
 * @module
 */

import { type AddressInfo, createServer, type Socket } from "node:net";

/** Bytes that answer one request: `start` once, then `repeat` without end. */
export interface Flood {
  readonly start: string;
  readonly repeat: string;
}

/** A connection on which the server wrote a flood. */
export interface FloodedConnection {
  /** Bytes that the client took, and a few that are still on their way. */
  takenBytes: number;
  /** Time from the first byte to the client's close, in milliseconds. */
  closedAfterMs?: number;
}

const LOOPBACK = "127.0.0.1";
/** Size of one write, in bytes. */
const WRITE_BYTES = 64 * 1024;
/** Bytes after which a flood pauses, so that a test can't exhaust memory. */
const MAX_FLOOD_BYTES = 64 * 1024 * 1024;

/** Answers each request with a flood. */
export class FloodServer {
  readonly flooded: FloodedConnection[] = [];
  /** Address as `IP:PORT`. */
  address = "";
  readonly #floodFor: (requestHead: string) => Flood | undefined;
  readonly #server = createServer((socket) => this.#accept(socket));
  readonly #sockets = new Set<Socket>();

  /** `floodFor` returns nothing for a request that is left unanswered. */
  constructor(floodFor: (requestHead: string) => Flood | undefined) {
    this.#floodFor = floodFor;
  }

  async start(): Promise<this> {
    await new Promise<void>((resolve) =>
      this.#server.listen(0, LOOPBACK, resolve)
    );
    const { port } = this.#server.address() as AddressInfo;
    this.address = `${LOOPBACK}:${port}`;
    return this;
  }

  stop(): void {
    this.#sockets.forEach((socket) => socket.destroy());
    this.#server.close();
  }

  #accept(socket: Socket): void {
    this.#sockets.add(socket);
    let text = "";
    socket.on("error", () => {});
    socket.on("close", () => this.#sockets.delete(socket));
    socket.on("data", (chunk) => {
      text += chunk.toString("latin1");
      const length = requestLength(text);
      if (length === undefined || text.length < length) return;
      const flood = this.#floodFor(text.slice(0, length));
      text = text.slice(length);
      if (flood) this.#flood(socket, flood);
    });
  }

  #flood(socket: Socket, { start, repeat }: Flood): void {
    const state: FloodedConnection = { takenBytes: 0 };
    this.flooded.push(state);
    const startedAt = performance.now();
    const chunk = Buffer.from(
      repeat.repeat(Math.ceil(WRITE_BYTES / repeat.length)),
      "latin1",
    );
    const pump = () => {
      while (!socket.destroyed && state.takenBytes < MAX_FLOOD_BYTES) {
        state.takenBytes += chunk.length;
        if (!socket.write(chunk)) return;
      }
    };
    socket.on("drain", pump);
    socket.on("close", () => {
      state.closedAfterMs = performance.now() - startedAt;
    });
    socket.write(start, "latin1");
    pump();
  }
}

/** Length of the request at the start of `text`; undefined if incomplete. */
function requestLength(text: string): number | undefined {
  const end = text.indexOf("\r\n\r\n");
  if (end < 0) return undefined;
  const length = /^content-length: *(\d+)/im.exec(text.slice(0, end + 2))?.[1];
  return end + 4 + Number(length ?? 0);
}
