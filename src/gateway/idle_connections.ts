/**
 * Closes connections of callers that have been idle for too long.
 *
 * @module
 */

import type { Server } from "node:http";
import type { Socket } from "node:net";

/** An idle connection whose timeout was raised meanwhile. */
interface Extension {
  /** Bytes that had been read from the connection. */
  readonly bytesRead: number;
  /** Time for which it had been idle, in milliseconds. */
  readonly idleMs: number;
}

/**
 * Closes connections on which `server` reports a timeout, unless the server's
 * timeout was raised meanwhile, or a request waits to be read there: after a
 * stall of this process, timers run before the sockets are read.
 */
export function closeIdleConnections(server: Server): void {
  const extensions = new WeakMap<Socket, Extension>();
  server.on("timeout", (socket: Socket) => {
    const { bytesRead, timeout = 0 } = socket;
    const last = extensions.get(socket);
    const before = last?.bytesRead === bytesRead ? last.idleMs : 0;
    const idleMs = before + timeout;
    const restMs = server.keepAliveTimeout - idleMs;
    if (restMs > 0) {
      extensions.set(socket, { bytesRead, idleMs });
      socket.setTimeout(restMs);
      return;
    }
    setImmediate(() => {
      if (socket.bytesRead === bytesRead) socket.destroy();
    });
  });
}
