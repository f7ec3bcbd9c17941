/**
 * Closes connections of callers that have been idle for too long.
 *
 * @module
 */

import type { Server } from "node:http";
import type { Socket } from "node:net";

/**
 * Closes connections on which `server` reports a timeout, unless a request
 * waits to be read there: after a stall of this process, timers run before the
 * sockets are read.
 */
export function closeIdleConnections(server: Server): void {
  server.on("timeout", (socket: Socket) => {
    const { bytesRead } = socket;
    setImmediate(() => {
      if (socket.bytesRead === bytesRead) socket.destroy();
    });
  });
}
