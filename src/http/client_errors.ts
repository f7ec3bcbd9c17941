/**
 * Connections of an HTTP server on which no further request can be read: bytes
 * that are no request, a head that is too long or unfinished in time, CONNECT.
 *
 * Without a listener, Node answers with 400, 408, 413 or 431 at once, in the
 * place of the response to a request that is still at work, and closes the
 * connection. A caller would take 408 as the promise that the request was not
 * run.
 *
 * @module
 */

import {
  type IncomingMessage,
  type Server,
  type ServerResponse,
  STATUS_CODES,
} from "node:http";
import type { Socket } from "node:net";
import { monotonicMs } from "../kernel/mod.ts";
import type { Logger, Metrics } from "../telemetry/mod.ts";

/** Interval at which unfinished heads are looked for, in milliseconds. */
export const HEAD_CHECK_INTERVAL_MS = 500;
/** Bytes that are discarded before reading pauses. */
const DISCARDED_BYTES = 256 * 1024;
/** Pause after that many discarded bytes, in milliseconds. */
const DISCARD_PAUSE_MS = 10;
/**
 * Time for which input is still discarded after the last response, in
 * milliseconds: closing with unread input resets the connection, and the caller
 * may lose the end of the response.
 */
const LINGER_MS = 100;
/** Most lines that are logged in one second. */
const MAX_LINES_PER_S = 10;
const MS_PER_S = 1_000;

/** Why nothing more can be read from a connection. */
export const ReadProblem = {
  Malformed: "malformed",
  HeadTooLarge: "head-too-large",
  /** The extensions of the chunks of a body exceed the limit. */
  BodyTooLarge: "body-too-large",
  /** A head was not finished in time. */
  TimedOut: "timed-out",
  /** The caller ended the connection in the middle of a request. */
  Ended: "ended",
} as const;
export type ReadProblem = typeof ReadProblem[keyof typeof ReadProblem];

const STATUS: Readonly<Record<ReadProblem, number>> = {
  [ReadProblem.Malformed]: 400,
  [ReadProblem.HeadTooLarge]: 431,
  [ReadProblem.BodyTooLarge]: 413,
  [ReadProblem.TimedOut]: 408,
  [ReadProblem.Ended]: 400,
};

const TIMEOUT_CODE = "ERR_HTTP_REQUEST_TIMEOUT";
const PARSER_CODE = /^HPE_/;
const PROBLEMS: Readonly<Record<string, ReadProblem>> = {
  HPE_HEADER_OVERFLOW: ReadProblem.HeadTooLarge,
  HPE_CHUNK_EXTENSIONS_OVERFLOW: ReadProblem.BodyTooLarge,
  HPE_INVALID_EOF_STATE: ReadProblem.Ended,
};

/** Options of {@linkcode ClientErrors}. */
export interface ClientErrorOptions {
  readonly log: Logger;
  readonly metrics: Metrics;
  /**
   * Responds to a request whose body can't be read to its end, and announces
   * the end of the connection.
   */
  refuse(res: ServerResponse, problem: ReadProblem): void;
}

/** Requests of one connection. */
interface Usage {
  /** Responses that have not been sent whole, in the order of the requests. */
  readonly open: Set<ServerResponse>;
  /** Number of requests whose head has been read. */
  requests: number;
}

/**
 * Ends connections on which no further request can be read. The requests in
 * hand get their own responses, and the last of these announces the end if its
 * head has not been sent. Without any, the caller is told what is wrong.
 */
export class ClientErrors {
  readonly #server: Server;
  readonly #opts: ClientErrorOptions;
  readonly #usages = new WeakMap<Socket, Usage>();
  readonly #unreadable = new WeakSet<Socket>();
  #lines = 0;
  #skippedLines = 0;
  #linesSince = 0;

  constructor(server: Server, opts: ClientErrorOptions) {
    this.#server = server;
    this.#opts = opts;
    server.prependListener("request", (_req, res) => this.#follow(res));
    server.on(
      "clientError",
      (err: NodeJS.ErrnoException, socket) =>
        this.#onError(err, socket as Socket),
    );
    server.on("connect", (_req, socket) => this.#onConnect(socket as Socket));
  }

  #follow(res: ServerResponse<IncomingMessage>): void {
    const { socket } = res.req;
    const usage = this.#usageOf(socket);
    usage.requests += 1;
    usage.open.add(res);
    res.once("close", () => {
      usage.open.delete(res);
      if (usage.open.size > 0 || !this.#unreadable.has(socket)) return;
      closeAfterLinger(socket);
    });
  }

  #usageOf(socket: Socket): Usage {
    const usage = this.#usages.get(socket) ?? { open: new Set(), requests: 0 };
    this.#usages.set(socket, usage);
    return usage;
  }

  #onError(err: NodeJS.ErrnoException, socket: Socket): void {
    const code = err.code ?? "";
    if (code === TIMEOUT_CODE) return this.#onHeadTimeout(socket);
    if (PARSER_CODE.test(code)) {
      return this.#end(socket, PROBLEMS[code] ?? ReadProblem.Malformed, code);
    }
    socket.destroy();
  }

  /**
   * Ends a connection whose head is still unfinished once the sockets have been
   * read: after a stall of this process, timers run first.
   */
  #onHeadTimeout(socket: Socket): void {
    const { bytesRead } = socket;
    if (bytesRead === 0) return this.#closeUnused(socket);
    const usage = this.#usageOf(socket);
    const { requests } = usage;
    setImmediate(() => {
      if (socket.destroyed || usage.requests !== requests) return;
      if (socket.bytesRead === bytesRead) {
        return this.#end(socket, ReadProblem.TimedOut, TIMEOUT_CODE);
      }
      setTimeout(() => {
        if (usage.requests === requests) this.#onHeadTimeout(socket);
      }, this.#server.headersTimeout).unref();
    });
  }

  /** Closes a connection if it stays unused for the idle timeout. */
  #closeUnused(socket: Socket): void {
    const closeIfUnused = () => {
      if (socket.bytesRead === 0) socket.destroy();
    };
    setTimeout(
      () => setImmediate(closeIfUnused),
      this.#server.keepAliveTimeout,
    ).unref();
  }

  /** Node has removed its own listeners from the connection. */
  #onConnect(socket: Socket): void {
    socket.on("error", () => socket.destroy());
    socket.on("drain", () => {
      const [current] = this.#usageOf(socket).open;
      current?.emit("drain");
    });
    this.#end(socket, ReadProblem.Malformed, "CONNECT");
  }

  #end(socket: Socket, problem: ReadProblem, code: string): void {
    if (this.#unreadable.has(socket)) return;
    this.#unreadable.add(socket);
    const open = [...this.#usageOf(socket).open];
    this.#report(socket, { problem, code, inHand: open.length });
    discardInput(socket);
    const last = open.at(-1);
    if (!last) respond(socket, problem);
    else if (problem === ReadProblem.Ended) socket.end();
    else if (!last.req.complete) this.#opts.refuse(last, problem);
    else announceEnd(last);
  }

  #report(
    socket: Socket,
    { problem, code, inHand }: {
      problem: ReadProblem;
      code: string;
      inHand: number;
    },
  ): void {
    this.#opts.metrics.count("connections_unreadable_total", { problem });
    if (!this.#mayLog()) {
      this.#skippedLines += 1;
      return;
    }
    this.#opts.log.info("connection_unreadable", {
      problem,
      code,
      inHand,
      status: inHand === 0 ? STATUS[problem] : undefined,
      caller: `${socket.remoteAddress}:${socket.remotePort}`,
      skippedLines: this.#skippedLines || undefined,
    });
    this.#skippedLines = 0;
  }

  #mayLog(): boolean {
    const now = monotonicMs();
    if (now - this.#linesSince >= MS_PER_S) {
      this.#linesSince = now;
      this.#lines = 0;
    }
    this.#lines += 1;
    return this.#lines <= MAX_LINES_PER_S;
  }
}

/**
 * Reads on without parsing, so that the caller's disconnect is noticed; not
 * faster than some 25 MB per second.
 */
function discardInput(socket: Socket): void {
  let bytes = 0;
  // The listener that passes the bytes to the parser.
  socket.removeAllListeners("data");
  socket.on("data", (chunk: Buffer) => {
    bytes += chunk.length;
    if (bytes < DISCARDED_BYTES) return;
    bytes = 0;
    socket.pause();
    setTimeout(() => socket.resume(), DISCARD_PAUSE_MS).unref();
  });
  socket.once("end", () => socket.end());
}

function announceEnd(last: ServerResponse): void {
  if (last.headersSent) return;
  last.shouldKeepAlive = false;
  if (!last.hasHeader("connection")) return;
  last.setHeader("connection", "close");
  last.removeHeader("keep-alive");
}

function respond(socket: Socket, problem: ReadProblem): void {
  const status = STATUS[problem];
  const body = `${problem}\n`;
  if (socket.writable) {
    socket.write(
      `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\n` +
        "Content-Type: text/plain\r\n" +
        `Content-Length: ${Buffer.byteLength(body)}\r\n` +
        `Connection: close\r\n\r\n${body}`,
    );
  }
  closeAfterLinger(socket);
}

function closeAfterLinger(socket: Socket): void {
  socket.end();
  setTimeout(() => socket.destroy(), LINGER_MS).unref();
}
