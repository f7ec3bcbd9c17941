/**
 * Client that limits the bytes which a peer sends outside of response bodies.
 *
 * `undici` limits the fields of a head, but not the blank lines before it, the
 * interim heads, the reason phrase and the extensions of chunks. A peer could
 * send those without end, also on an idle connection.
 *
 * It fails responses without a length whose connections are reset.
 *
 * It also ends responses that are paused when their connection ends, which
 * `undici` asserts never to happen if the end may be that of the body.
 *
 * @module
 */

import type { Socket } from "node:net";
import { TLSSocket } from "node:tls";
import {
  Agent,
  type buildConnector,
  Client,
  type Dispatcher,
  Pool,
} from "undici";
import { type OwnResponse, ResponseFilter } from "./response_filter.ts";
import { ConnectionEnd, endsWithConnection } from "./truncation.ts";

/** Largest head of a response, in bytes. */
const MAX_HEAD_BYTES = 16 * 1024;
/**
 * Bytes outside of the body that one exchange may have, in bytes: interim
 * heads, the head, and what arrives while a body is paused.
 */
const MAX_FRAMING_BYTES = 192 * 1024;
/** Further bytes for each byte of the body: a chunk has five or more. */
const FRAMING_PER_BODY_BYTE = 1;

/** Pauses of the response on one connection. */
class PausedResponse {
  #resume: (() => void) | undefined;
  #isPaused = false;
  #hasEnded = false;

  /** True once all bytes have been read: there is nothing to hold back. */
  get hasEnded(): boolean {
    return this.#hasEnded;
  }

  /** Records the head of a response and how it is resumed. */
  begin(resume: () => void): void {
    this.#resume = resume;
    this.#isPaused = false;
  }

  pause(): void {
    this.#isPaused = true;
  }

  end(): void {
    this.#resume = undefined;
    this.#isPaused = false;
  }

  /** Called before `undici` adds its own listeners, so these run first. */
  watch(socket: Socket): void {
    this.#hasEnded = false;
    socket.on("end", () => {
      this.#hasEnded = true;
      if (this.#isPaused) this.#resume?.();
      this.#isPaused = false;
    });
    // By this code `undici` would look for the end of a body in what arrived.
    socket.on("error", (err: NodeJS.ErrnoException) => {
      if (this.#isPaused && err.code === "ECONNRESET") {
        err.code = "ECONNRESET_PAUSED";
      }
    });
  }
}

/** Counts the bytes that one connection receives outside of bodies. */
class FramingMeter {
  #socket: Socket | undefined;
  /** Bytes that had been received when the exchange began. */
  #startBytes = 0;
  #bodyBytes = 0;

  /** Returns a connector whose connections are counted, one at a time. */
  connector(connect: buildConnector.connector): buildConnector.connector {
    return (opts, done) =>
      connect(opts, (...[err, socket]) => {
        if (err || !socket) {
          done(err ?? new Error("no connection"), null);
          return;
        }
        this.#watch(socket);
        done(null, socket);
      });
  }

  /** Begins a new exchange, or an idle time. */
  restart(): void {
    this.#startBytes = this.#socket?.bytesRead ?? 0;
    this.#bodyBytes = 0;
  }

  body(bytes: number): void {
    this.#bodyBytes += bytes;
  }

  /** Leaves out bytes that have a bound of their own. */
  skipped(bytes: number): void {
    this.#startBytes += bytes;
  }

  /** Called before `undici` adds its own listeners, so this one runs first. */
  #watch(socket: Socket): void {
    // The records of TLS would count as bytes outside of bodies.
    if (socket instanceof TLSSocket) return;
    this.#socket = socket;
    this.restart();
    socket.on("readable", () => {
      if (this.#isExceeded(socket)) {
        socket.destroy(new Error("too many bytes outside of a response body"));
      }
    });
  }

  #isExceeded({ bytesRead }: Socket): boolean {
    const framingBytes = bytesRead - this.#startBytes - this.#bodyBytes;
    return framingBytes >
      MAX_FRAMING_BYTES + FRAMING_PER_BODY_BYTE * this.#bodyBytes;
  }
}

type Handler = Required<Dispatcher.DispatchHandler>;

/** What is observed on the connection of one client. */
interface Observers {
  readonly meter: FramingMeter;
  readonly paused: PausedResponse;
  readonly end: ConnectionEnd;
  readonly filter: ResponseFilter;
}

/**
 * Passes the events of an exchange on and counts its body. A `Pool` passes
 * handlers of any form to its clients in the callback form.
 */
class MeteredHandler implements Dispatcher.DispatchHandler {
  readonly #handler: Dispatcher.DispatchHandler;
  readonly #method: string;
  readonly #own: OwnResponse | undefined;
  readonly #meter: FramingMeter;
  readonly #paused: PausedResponse;
  readonly #end: ConnectionEnd;
  readonly #filter: ResponseFilter;
  #endsWithConnection = false;

  constructor(
    handler: Dispatcher.DispatchHandler,
    { method, ownResponse }: BoundedDispatchOptions,
    { meter, paused, end, filter }: Observers,
  ) {
    this.#handler = handler;
    this.#method = method;
    this.#own = ownResponse;
    this.#meter = meter;
    this.#paused = paused;
    this.#end = end;
    this.#filter = filter;
  }

  onConnect(...args: Parameters<Handler["onConnect"]>): void {
    this.#meter.restart();
    this.#filter.begin(this.#own);
    this.#handler.onConnect?.(...args);
  }

  onResponseStarted(): void {
    this.#handler.onResponseStarted?.();
  }

  onHeaders(...args: Parameters<Handler["onHeaders"]>): boolean {
    const [status, headers, resume] = args;
    const method = this.#method;
    this.#endsWithConnection = endsWithConnection({ method, status, headers });
    this.#paused.begin(resume);
    return this.#handler.onHeaders?.(...args) ?? true;
  }

  onData(chunk: Buffer): boolean {
    this.#meter.body(chunk.length);
    const mayContinue = this.#handler.onData?.(chunk) ?? true;
    if (mayContinue || this.#paused.hasEnded) return true;
    this.#paused.pause();
    return false;
  }

  onComplete(...args: Parameters<Handler["onComplete"]>): void {
    this.#meter.restart();
    if (this.#endsWithConnection && !this.#end.isOrderly) {
      return this.onError(new Error("connection reset"));
    }
    this.#paused.end();
    this.#handler.onComplete?.(...args);
    this.#filter.end();
  }

  onError(...args: Parameters<Handler["onError"]>): void {
    this.#paused.end();
    this.#handler.onError?.(...args);
  }
}

/** Returns a connector whose connections are filtered and end what is paused. */
function watched(
  connect: buildConnector.connector,
  { paused, end, filter }: Pick<Observers, "paused" | "end" | "filter">,
): buildConnector.connector {
  return (opts, done) =>
    connect(opts, (...args) => {
      const [, socket] = args;
      if (socket) {
        end.watch(socket);
        paused.watch(socket);
        filter.watch(socket);
      }
      done(...args);
    });
}

/** Options of an exchange with a `boundedClient`. */
export interface BoundedDispatchOptions extends Dispatcher.DispatchOptions {
  /** Without it, a response to another request is passed on. */
  readonly ownResponse?: OwnResponse;
}

class BoundedClient extends Client {
  readonly #observers: Observers;

  constructor(origin: URL, opts: BoundedClientOptions) {
    const meter = new FramingMeter();
    const paused = new PausedResponse();
    const end = new ConnectionEnd();
    const filter = new ResponseFilter((bytes) => meter.skipped(bytes));
    super(origin, {
      ...opts,
      maxHeaderSize: MAX_HEAD_BYTES,
      pipelining: 1,
      connect: meter.connector(
        watched(opts.connect, { paused, end, filter }),
      ),
    });
    this.#observers = { meter, paused, end, filter };
  }

  override dispatch(
    opts: BoundedDispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): boolean {
    return super.dispatch(
      opts,
      new MeteredHandler(handler, opts, this.#observers),
    );
  }
}

interface BoundedClientOptions extends Omit<Client.Options, "connect"> {
  readonly connect: buildConnector.connector;
}

/** Creates the client of one connection, for the option `factory` of a `Pool`. */
export function boundedClient(origin: URL, opts: object): Dispatcher {
  return new BoundedClient(origin, opts as BoundedClientOptions);
}

/**
 * Creates a dispatcher with such clients, whose response bodies have at most
 * `maxResponseSize` bytes.
 */
export function boundedAgent(
  opts: Agent.Options & { readonly maxResponseSize: number },
): Agent {
  return new Agent({
    ...opts,
    factory: (origin, poolOpts) =>
      new Pool(origin, { ...poolOpts, factory: boundedClient }),
  });
}
