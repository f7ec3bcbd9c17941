/**
 * Closes connections of callers that have been idle for too long, and those
 * that become idle while the process drains.
 *
 * @module
 */

import type { IncomingMessage, Server, ServerResponse } from "node:http";
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

/** What a connection has been used for. */
interface Usage {
  /** Responses that have not been handed to the system whole. */
  readonly openResponses: number;
  /** Bytes that had been read from the connection when its request ended. */
  readonly bytesRead: number;
  /** Response to the last request that was read; undefined before it. */
  readonly last?: ServerResponse;
}

/** Closes connections once no response is open on them. */
export class IdleCloser {
  readonly #usages = new Map<Socket, Usage>();
  #isClosing = false;

  /** Follows a connection that has been accepted. */
  accept(socket: Socket): void {
    const { bytesRead } = socket;
    this.#usages.set(socket, { openResponses: 0, bytesRead });
    socket.once("close", () => this.#usages.delete(socket));
  }

  /** Follows a request whose head has been read. */
  follow(req: IncomingMessage, res: ServerResponse): void {
    const { socket } = req;
    this.#update(socket, (usage) => ({
      ...usage,
      openResponses: usage.openResponses + 1,
      last: res,
    }));
    req.once("end", () => {
      this.#update(socket, (usage) => ({
        ...usage,
        bytesRead: socket.bytesRead,
      }));
    });
    res.once("close", () => {
      this.#update(socket, (usage) => ({
        ...usage,
        openResponses: usage.openResponses - 1,
      }));
      if (this.#isClosing) this.#closeIfIdle(socket);
    });
  }

  /** Tells whether no request has been read after that of `res`. */
  isLast(socket: Socket, res: ServerResponse): boolean {
    return this.#usages.get(socket)?.last === res;
  }

  /** Tells whether no response to a later request can be sent on `socket`. */
  isEnding(socket: Socket): boolean {
    const last = this.#usages.get(socket)?.last;
    return last?.shouldKeepAlive === false || !socket.writable;
  }

  /** Closes each connection that is idle, now or later. */
  closeFromNowOn(): void {
    this.#isClosing = true;
    [...this.#usages.keys()].forEach((socket) => this.#closeIfIdle(socket));
  }

  #update(socket: Socket, change: (usage: Usage) => Usage): void {
    const usage = this.#usages.get(socket);
    if (usage) this.#usages.set(socket, change(usage));
  }

  /**
   * Closes `socket` if it is still idle after a whole pass of the event loop,
   * in which a request that waits there is read. Both directions are closed at
   * once: after a half-close, a later request would be read and served although
   * its response can no longer be sent.
   */
  #closeIfIdle(socket: Socket): void {
    setImmediate(() =>
      setImmediate(() => {
        if (this.#isIdle(socket)) socket.destroy();
      })
    );
  }

  #isIdle(socket: Socket): boolean {
    const usage = this.#usages.get(socket);
    // What is buffered waits to be parsed.
    return usage?.openResponses === 0 &&
      usage.bytesRead === socket.bytesRead && socket.readableLength === 0;
  }
}
