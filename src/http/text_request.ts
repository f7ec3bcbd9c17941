/**
 * Requests whose responses are read into memory up to a limit.
 *
 * @module
 */

import type { IncomingHttpHeaders } from "node:http";
import type { Dispatcher } from "undici";

/** Complete response. */
export interface TextResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly text: string;
}

/** Options of a request. */
export interface TextRequest extends Dispatcher.DispatchOptions {
  /** Largest body of the response, in bytes. */
  readonly maxResponseBytes: number;
  /** Aborts the request and closes its connection. */
  readonly signal?: AbortSignal;
}

const HTTP_OK = 200;

/**
 * Sends a request and reads the response. Rejects and closes the connection
 * when the body exceeds its limit.
 */
export function requestText(
  dispatcher: Dispatcher,
  { maxResponseBytes, signal, ...opts }: TextRequest,
): Promise<TextResponse> {
  return new Promise((resolve, reject) => {
    if (signal?.aborted) return reject(signal.reason);
    const reader = new TextReader(maxResponseBytes, { resolve, reject });
    const onAbort = () => reader.abort(signal?.reason);
    signal?.addEventListener("abort", onAbort, { once: true });
    reader.onEnd = () => signal?.removeEventListener("abort", onAbort);
    dispatcher.dispatch(opts, reader);
  });
}

/** Settles the promise of one exchange. */
interface Settle {
  resolve(response: TextResponse): void;
  reject(reason: unknown): void;
}

/** Receives the events of one exchange. */
class TextReader implements Dispatcher.DispatchHandler {
  readonly #maxBytes: number;
  readonly #settle: Settle;
  readonly #chunks: Buffer[] = [];
  #bytes = 0;
  #status = 0;
  #headers: IncomingHttpHeaders = {};
  #controller: Dispatcher.DispatchController | undefined;
  #abortReason: Error | undefined;
  onEnd = () => {};

  constructor(maxBytes: number, settle: Settle) {
    this.#maxBytes = maxBytes;
    this.#settle = settle;
  }

  abort(reason: unknown): void {
    const error = reason instanceof Error ? reason : new Error(String(reason));
    this.#abortReason = error;
    this.#controller?.abort(error);
    this.#fail(error);
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    if (this.#abortReason) controller.abort(this.#abortReason);
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    if (status < HTTP_OK) return;
    this.#status = status;
    this.#headers = headers;
  }

  onResponseData(
    _controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    this.#bytes += chunk.length;
    if (this.#bytes > this.#maxBytes) {
      return this.abort(
        new Error(`response body exceeds ${this.#maxBytes} bytes`),
      );
    }
    this.#chunks.push(chunk);
  }

  onResponseEnd(): void {
    this.onEnd();
    this.#settle.resolve({
      status: this.#status,
      headers: this.#headers,
      text: Buffer.concat(this.#chunks).toString(),
    });
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    this.#fail(error);
  }

  #fail(error: Error): void {
    this.onEnd();
    this.#chunks.length = 0;
    this.#settle.reject(error);
  }
}
