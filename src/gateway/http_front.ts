/**
 * HTTP server for callers. It reads whole requests, passes them to the gateway
 * and writes the responses; the adapter's codec defines the headers.
 *
 * It uses Node's HTTP server instead of `hono`: a response is forwarded event
 * by event with backpressure and may have to be aborted, which is costly and
 * imprecise through the web streams between `hono` and the socket.
 *
 * @module
 */

import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { Server as NetServer, type Socket } from "node:net";
import {
  ClientBudget,
  ClientErrors,
  closeIdleConnections,
  ConnectionGuard,
  HEAD_CHECK_INTERVAL_MS,
  HolderPhase,
  type Holding,
  IdleCloser,
  ReadProblem,
} from "../http/mod.ts";
import { monotonicMs, sleep } from "../kernel/mod.ts";
import type { CallerLimits } from "../serving/mod.ts";
import type { Logger, Metrics } from "../telemetry/mod.ts";
import { BodyBudget, type BodyOwner, IncomingBody } from "./body_budget.ts";
import { STOPPED_RETRY_AFTER_MS } from "./conclusion.ts";
import {
  type CallerCodec,
  type CallerRequest,
  type CallerResponse,
  INITIAL_LIMITS,
  type Refusal,
  RefusalKind,
  type ResponseHead,
} from "./ports.ts";

/** Address on which a server listens. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** Largest request head that the parser accepts, in bytes. */
const MAX_PARSED_HEAD_BYTES = 128 * 1024;
/** Time after which callers may retry when the buffers are full, in ms. */
const BUFFER_FULL_RETRY_AFTER_MS = 500;
/**
 * Time for which the connection of an unread request stays open after its
 * refusal, in milliseconds.
 */
const UNREAD_LINGER_MS = 100;
const DRAIN_POLL_MS = 50;
/**
 * Time for sending the responses to requests that a stop has ended, in
 * milliseconds.
 */
const FINAL_RESPONSES_MS = 200;

/** Serves decoded requests. */
export interface RequestHandler {
  serve(req: CallerRequest, response: CallerResponse): Promise<void>;
}

/** HTTP server for callers. */
export class HttpFront {
  readonly #server: Server;
  readonly #idleCloser = new IdleCloser();
  readonly #codec: CallerCodec;
  readonly #handler: RequestHandler;
  readonly #log: Logger;
  readonly #metrics: Metrics;
  #limits: CallerLimits = INITIAL_LIMITS;
  readonly #budget: ClientBudget;
  readonly #guard: ConnectionGuard;
  readonly #bodies: BodyBudget;
  /** Responses to requests that are being read or served. */
  readonly #responses = new WeakMap<ServerResponse, HttpResponse>();
  /** Refuses the requests whose bodies are being read. */
  readonly #unread = new Map<Socket, (refusal: Refusal) => void>();
  #inHand = 0;
  #isLeaving = false;

  constructor(
    deps: {
      codec: CallerCodec;
      handler: RequestHandler;
      log: Logger;
      metrics: Metrics;
      /** What clients may hold; one of its own by default. */
      budget?: ClientBudget;
    },
  ) {
    this.#codec = deps.codec;
    this.#handler = deps.handler;
    this.#log = deps.log;
    this.#metrics = deps.metrics;
    this.#budget = deps.budget ?? new ClientBudget(deps);
    this.#bodies = new BodyBudget(this.#budget.limits);
    this.#server = createServer(
      {
        maxHeaderSize: MAX_PARSED_HEAD_BYTES,
        keepAlive: true,
        connectionsCheckingInterval: HEAD_CHECK_INTERVAL_MS,
        // The front itself refuses such a request, and goes on reading.
        requireHostHeader: false,
      },
      (req, res) => this.#read(req, res),
    );
    // An expectation that is not known may be ignored (RFC 9110, 10.1.1).
    this.#server.on(
      "checkExpectation",
      (req, res) => this.#server.emit("request", req, res),
    );
    this.#guard = new ConnectionGuard(this.#server, {
      budget: this.#budget,
      maxConnections: this.#budget.limits.connections,
      shed: (socket) => this.#shed(socket),
    });
    closeIdleConnections(this.#server);
    new ClientErrors(this.#server, {
      log: deps.log,
      metrics: deps.metrics,
      refuse: (res, problem) => this.#refuseBroken(res, problem),
    });
    this.#server.on("connection", (socket: Socket) => {
      this.#idleCloser.accept(socket);
      // Each pipelined request listens to its connection.
      socket.setMaxListeners(0);
    });
    this.setLimits(INITIAL_LIMITS);
  }

  /** Requests that are being read or served. */
  get inHand(): number {
    return this.#inHand;
  }

  /** Sets the limits of callers' requests from now on. */
  setLimits(limits: CallerLimits): void {
    this.#limits = limits;
    this.#server.keepAliveTimeout = limits.idleTimeoutMs;
    this.#server.headersTimeout = limits.headerTimeoutMs;
    this.#server.requestTimeout = 0;
  }

  listen({ host, port }: ListenAddress): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, () => resolve());
    });
  }

  /**
   * Announces the end of the connection in each response that begins from now
   * on, so that callers reconnect to other entries; of pipelined requests, in
   * the last response. A connection whose response had already begun stays open
   * until the process drains, because its caller may be sending the next
   * request.
   */
  leave(): void {
    this.#isLeaving = true;
  }

  /**
   * Stops listening, waits up to `timeoutMs` until no request is in flight, lets
   * `endRequests` end the others, and closes all connections.
   */
  async drain(timeoutMs: number, endRequests = () => {}): Promise<void> {
    // The HTTP server's own `close` takes a connection for idle, and destroys
    // it, as soon as its response has been written, though not yet sent.
    NetServer.prototype.close.call(this.#server);
    this.#idleCloser.closeFromNowOn();
    await this.#waitUntilDone(timeoutMs);
    if (this.#inHand > 0) {
      this.#log.warn("requests_ended_by_stop", { inHand: this.#inHand });
      endRequests();
      this.#unread.forEach((refuse) => refuse(STOPPING));
      await this.#waitUntilDone(FINAL_RESPONSES_MS);
    }
    this.#server.closeAllConnections();
    this.#server.close();
  }

  async #waitUntilDone(timeoutMs: number): Promise<void> {
    const endAt = monotonicMs() + timeoutMs;
    while (this.#inHand > 0 && monotonicMs() < endAt) {
      await sleep(DRAIN_POLL_MS);
    }
  }

  #read(req: IncomingMessage, res: ServerResponse): void {
    const { socket } = req;
    const holding = this.#guard.holdingOf(socket);
    if (this.#idleCloser.isEnding(socket) || !holding) {
      req.resume();
      return;
    }
    const receivedAt = monotonicMs();
    this.#inHand += 1;
    onClosed(res, req.socket, () => this.#inHand -= 1);
    this.#idleCloser.follow(req, res);
    const response = new HttpResponse(res, {
      codec: this.#codec,
      id: this.#codec.requestId(req.headers),
      onUnread: (from, to) => this.#budget.setUnread(holding, from, to),
      endsConnection: () =>
        this.#isLeaving && this.#idleCloser.isLast(req.socket, res),
    });
    this.#responses.set(res, response);
    if (offersUpgrade(req)) response.endConnection();
    if (!this.#guard.hasRoom(res)) {
      return this.#refuseUnread(req, response, OVERLOADED);
    }
    const body = new IncomingBody(this.#bodies, this.#ownerOf(holding));
    onClosed(res, req.socket, () => body.release());
    const refusal = this.#refusalOfHead(req, body);
    if (refusal) return this.#refuseUnread(req, response, refusal);
    const refuse = (refusal: Refusal) => {
      this.#unread.delete(socket);
      body.release();
      req.removeAllListeners("data");
      this.#refuseUnread(req, response, refusal);
    };
    this.#unread.set(socket, refuse);
    onClosed(res, socket, () => {
      if (this.#unread.get(socket) === refuse) this.#unread.delete(socket);
    });
    req.on("data", (chunk: Buffer) => {
      const isHeld = body.tryAdd(chunk);
      if (isHeld && body.length <= this.#limits.maxBodyBytes) return;
      refuse(isHeld ? BODY_TOO_LARGE : BODIES_FULL);
    });
    req.on("end", () => {
      this.#unread.delete(socket);
      afterNextReads(() => {
        if (response.hasBegun || response.gone.aborted) return;
        if (!req.socket.writable) return this.#logGone(response);
        if (!this.#budget.tryServe(holding)) {
          return this.#refuse(response, TOO_MANY_REQUESTS);
        }
        onClosed(res, socket, () => this.#budget.served());
        this.#serve(req, response, body.take(), receivedAt);
      });
    });
  }

  #serve(
    req: IncomingMessage,
    response: HttpResponse,
    body: Buffer,
    receivedAt: number,
  ): void {
    if (req.httpVersion === "1.1" && req.headers.host === undefined) {
      return this.#refuse(response, NO_HOST);
    }
    const decoded = this.#codec.decode({
      method: req.method ?? "GET",
      path: req.url ?? "/",
      headers: req.headers,
      rawHeaders: req.rawHeaders,
      body,
      receivedAt,
    });
    if (decoded.isErr()) return this.#refuse(response, decoded.error);
    this.#handler.serve(decoded.value, response).catch((err: unknown) => {
      this.#log.error("request_crashed", {
        request: decoded.value.id,
        detail: err instanceof Error ? err.stack : String(err),
      });
      if (response.hasBegun) response.cut();
      else response.refuse({ kind: RefusalKind.Unknown, reason: "internal" });
    });
  }

  /** Checks a head, and reserves the memory for its body. */
  #refusalOfHead(
    req: IncomingMessage,
    body: IncomingBody,
  ): Refusal | undefined {
    const headBytes = req.rawHeaders
      .reduce((sum, text) => sum + text.length + 2, req.url?.length ?? 0);
    if (headBytes > this.#limits.maxHeaderBytes) {
      return { kind: RefusalKind.HeadTooLarge, reason: "head is too large" };
    }
    const length = Number(req.headers["content-length"] ?? 0);
    if (length > this.#limits.maxBodyBytes) return BODY_TOO_LARGE;
    return body.tryReserve(length) ? undefined : BODIES_FULL;
  }

  #ownerOf(holding: Holding): BodyOwner {
    return {
      reserved: (bytes) => holding.bytes += bytes,
      free: (bytes) =>
        this.#budget.freeMemory(holding, bytes, HolderPhase.Reading),
    };
  }

  /**
   * Ends a connection to free what it holds. A request that was not read to its
   * end was not run.
   */
  #shed(socket: Socket): void {
    const refuse = this.#unread.get(socket);
    if (refuse) refuse(OVERLOADED);
    else socket.destroy();
  }

  /** Logs that the caller left while its request waited to be read. */
  #logGone({ id }: HttpResponse): void {
    this.#metrics.count("requests_unserved_total");
    this.#log.info("request_ended", {
      request: id,
      outcome: "caller-gone",
      attempts: 0,
    });
  }

  #refuse(response: HttpResponse, refusal: Refusal): void {
    const { kind, reason } = refusal;
    this.#metrics.count("refusals_total", { kind });
    if (LIMIT_REFUSALS.has(refusal)) {
      this.#budget.report(reason, { request: response.id });
    } else {this.#log.info("request_refused", {
        request: response.id,
        kind,
        reason,
      });}
    response.refuse(refusal);
  }

  /** Refuses a request whose body can't be read to its end. */
  #refuseBroken(res: ServerResponse, problem: ReadProblem): void {
    const response = this.#responses.get(res);
    if (!response || response.hasBegun) return;
    response.endConnection();
    this.#refuse(response, BROKEN_REQUESTS[problem]);
  }

  /** Refuses a request without reading its body, and closes its connection. */
  #refuseUnread(
    req: IncomingMessage,
    response: HttpResponse,
    refusal: Refusal,
  ): void {
    const { socket } = req;
    response.endConnection();
    this.#refuse(response, refusal);
    req.resume();
    this.#guard.discard(socket);
    setTimeout(() => socket.destroy(), UNREAD_LINGER_MS).unref();
  }
}

/**
 * Calls `listener` after the sockets were read once more: the end of a
 * connection is read only in the pass of the event loop that follows the one in
 * which its last bytes were read.
 */
function afterNextReads(listener: () => void): void {
  setImmediate(() => setImmediate(listener));
}

/**
 * Calls `listener` once a response has been sent or its connection has closed.
 * Node reports no close of a response that waits behind an earlier one.
 */
function onClosed(
  res: ServerResponse,
  socket: Socket,
  listener: () => void,
): void {
  let isClosed = false;
  const notify = () => {
    res.off("close", notify);
    socket.off("close", notify);
    if (!isClosed) listener();
    isClosed = true;
  };
  res.once("close", notify);
  socket.once("close", notify);
}

/**
 * Tells whether a request offers to switch protocols. The parser then discards
 * what follows the request in its packet.
 */
function offersUpgrade({ headers }: IncomingMessage): boolean {
  return headers.upgrade !== undefined &&
    /\bupgrade\b/i.test(headers.connection ?? "");
}

const NO_HOST: Refusal = { kind: RefusalKind.Malformed, reason: "no host" };

const BODY_TOO_LARGE: Refusal = {
  kind: RefusalKind.TooLarge,
  reason: "body is too large",
};

const BODIES_FULL: Refusal = {
  kind: RefusalKind.NotRun,
  reason: "too many bodies are held",
  retryAfterMs: BUFFER_FULL_RETRY_AFTER_MS,
};

const OVERLOADED: Refusal = {
  kind: RefusalKind.NotRun,
  reason: "clients hold too much",
  retryAfterMs: BUFFER_FULL_RETRY_AFTER_MS,
};

const TOO_MANY_REQUESTS: Refusal = {
  kind: RefusalKind.NotRun,
  reason: "too many requests are in hand",
  retryAfterMs: BUFFER_FULL_RETRY_AFTER_MS,
};

/** Refusals that are logged at most once a second. */
const LIMIT_REFUSALS: ReadonlySet<Refusal> = new Set([
  BODIES_FULL,
  OVERLOADED,
  TOO_MANY_REQUESTS,
]);

const MALFORMED_BODY: Refusal = {
  kind: RefusalKind.Malformed,
  reason: "body is malformed",
};

const BROKEN_REQUESTS: Readonly<Record<ReadProblem, Refusal>> = {
  [ReadProblem.Malformed]: MALFORMED_BODY,
  [ReadProblem.Ended]: MALFORMED_BODY,
  [ReadProblem.TimedOut]: MALFORMED_BODY,
  [ReadProblem.BodyTooLarge]: BODY_TOO_LARGE,
  [ReadProblem.HeadTooLarge]: {
    kind: RefusalKind.HeadTooLarge,
    reason: "trailer is too large",
  },
};

const STOPPING: Refusal = {
  kind: RefusalKind.NotRun,
  reason: "the process has stopped",
  retryAfterMs: STOPPED_RETRY_AFTER_MS,
};

const CONNECTION_HEADER = "connection";

/** Response of one HTTP exchange. */
class HttpResponse implements CallerResponse {
  readonly id: string | undefined;
  readonly #res: ServerResponse;
  readonly #codec: CallerCodec;
  readonly #endsConnection: () => boolean;
  readonly #onUnread: (from: number, to: number) => void;
  #unreadBytes = 0;
  readonly #gone = new AbortController();

  constructor(
    res: ServerResponse,
    { codec, id, endsConnection, onUnread }: {
      codec: CallerCodec;
      id: string | undefined;
      /** Tells whether a response that begins now ends its connection. */
      endsConnection: () => boolean;
      /** Called when more or fewer bytes of the response are unread. */
      onUnread: (from: number, to: number) => void;
    },
  ) {
    this.#res = res;
    this.#codec = codec;
    this.id = id;
    this.#endsConnection = endsConnection;
    this.#onUnread = onUnread;
    onClosed(res, res.req.socket, () => {
      this.#setUnread(0);
      if (!res.writableFinished) this.#gone.abort();
    });
    res.on("error", () => this.#gone.abort());
  }

  get gone(): AbortSignal {
    return this.#gone.signal;
  }

  get hasBegun(): boolean {
    return this.#res.headersSent;
  }

  endConnection(): void {
    this.#res.shouldKeepAlive = false;
  }

  refuse(refusal: Refusal): void {
    if (this.#gone.signal.aborted || this.hasBegun) return;
    const { status, headers, body } = this.#codec
      .encodeRefusal(refusal, this.id);
    this.#res.writeHead(status, [
      ...headers,
      "Content-Length",
      String(Buffer.byteLength(body)),
      ...this.#connectionHeaders(),
    ]);
    this.#res.end(body);
  }

  begin(head: ResponseHead): void {
    if (this.#gone.signal.aborted) return;
    this.#res.writeHead(head.status, [
      ...head.headers,
      ...this.#connectionHeaders(),
    ]);
    this.#res.flushHeaders();
  }

  write(bytes: Buffer, resume: () => void): boolean {
    if (this.#gone.signal.aborted) return true;
    const mayContinue = this.#res.write(bytes, () => this.#updateUnread());
    this.#updateUnread();
    // A response that waited behind another one may drain while the bytes of
    // that one arrive, and undici does not parse two answers at once.
    if (!mayContinue) {
      this.#res.once("drain", () => queueMicrotask(resume));
    }
    return mayContinue;
  }

  end(): void {
    if (!this.#gone.signal.aborted) this.#res.end();
  }

  cut(): void {
    // Without chunks (HTTP/1.0), a close would look like the end of the body.
    const { socket, useChunkedEncodingByDefault } = this.#res;
    if (socket && !useChunkedEncodingByDefault) socket.resetAndDestroy();
    else this.#res.destroy();
  }

  #updateUnread(): void {
    if (!this.#res.closed) this.#setUnread(this.#res.writableLength);
  }

  #setUnread(bytes: number): void {
    const from = this.#unreadBytes;
    this.#unreadBytes = bytes;
    if (bytes !== from) this.#onUnread(from, bytes);
  }

  /**
   * Headers that close the connection: Node adds none of its own when the
   * headers are passed as an array.
   */
  #connectionHeaders(): readonly string[] {
    if (this.#endsConnection()) this.endConnection();
    return this.#res.shouldKeepAlive ? [] : [CONNECTION_HEADER, "close"];
  }
}
