/**
 * Client that limits the bytes which a peer sends outside of response bodies.
 *
 * `undici` limits the fields of a head, but not the blank lines before it, the
 * interim heads, the reason phrase and the extensions of chunks. A peer could
 * send those without end, also on an idle connection.
 *
 * @module
 */

import type { Socket } from "node:net";
import { type buildConnector, Client, type Dispatcher } from "undici";

/** Largest head of a response, in bytes. */
const MAX_HEAD_BYTES = 16 * 1024;
/**
 * Bytes outside of the body that one exchange may have, in bytes: interim
 * heads, the head, and what arrives while a body is paused.
 */
const MAX_FRAMING_BYTES = 192 * 1024;
/** Further bytes for each byte of the body: a chunk has five or more. */
const FRAMING_PER_BODY_BYTE = 1;

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

  /** Called before `undici` adds its own listeners, so this one runs first. */
  #watch(socket: Socket): void {
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

/**
 * Passes the events of an exchange on and counts its body. A `Pool` passes
 * handlers of any form to its clients in the callback form.
 */
class MeteredHandler implements Dispatcher.DispatchHandler {
  readonly #handler: Dispatcher.DispatchHandler;
  readonly #meter: FramingMeter;

  constructor(handler: Dispatcher.DispatchHandler, meter: FramingMeter) {
    this.#handler = handler;
    this.#meter = meter;
  }

  onConnect(...args: Parameters<Handler["onConnect"]>): void {
    this.#meter.restart();
    this.#handler.onConnect?.(...args);
  }

  onHeaders(...args: Parameters<Handler["onHeaders"]>): boolean {
    return this.#handler.onHeaders?.(...args) ?? true;
  }

  onData(chunk: Buffer): boolean {
    this.#meter.body(chunk.length);
    return this.#handler.onData?.(chunk) ?? true;
  }

  onComplete(...args: Parameters<Handler["onComplete"]>): void {
    this.#meter.restart();
    this.#handler.onComplete?.(...args);
  }

  onError(...args: Parameters<Handler["onError"]>): void {
    this.#handler.onError?.(...args);
  }
}

class BoundedClient extends Client {
  readonly #meter: FramingMeter;

  constructor(origin: URL, opts: BoundedClientOptions) {
    const meter = new FramingMeter();
    super(origin, {
      ...opts,
      maxHeaderSize: MAX_HEAD_BYTES,
      pipelining: 1,
      connect: meter.connector(opts.connect),
    });
    this.#meter = meter;
  }

  override dispatch(
    opts: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): boolean {
    return super.dispatch(opts, new MeteredHandler(handler, this.#meter));
  }
}

interface BoundedClientOptions extends Omit<Client.Options, "connect"> {
  readonly connect: buildConnector.connector;
}

/** Creates the client of one connection, for the option `factory` of a `Pool`. */
export function boundedClient(origin: URL, opts: object): Dispatcher {
  return new BoundedClient(origin, opts as BoundedClientOptions);
}
