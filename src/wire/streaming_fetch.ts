/**
 * Subset of `fetch` that tRPC's streaming link uses, over `undici.request`.
 *
 * The body is read directly from the socket's stream, one read at a time, so
 * that a slow reader applies backpressure to the sender. This avoids the chain
 * of web streams that `fetch` adds to every response. Use `fetch` itself
 * elsewhere.
 *
 * @module
 */

import { type Dispatcher, request } from "undici";

const HTTP_OK = 200;
const HTTP_MULTIPLE_CHOICES = 300;

/** Request options that the link passes. */
interface FetchOptions {
  readonly method?: string;
  readonly headers?: Record<string, string>;
  readonly body?: string | null;
  readonly signal?: AbortSignal | null;
}

/** Returns this subset; `getDispatcher` is called for each request. */
export function streamingFetch(getDispatcher: () => Dispatcher): typeof fetch {
  const send = async (url: string | URL, init: FetchOptions = {}) => {
    const { statusCode, headers, body } = await request(url, {
      method: (init.method ?? "GET") as Dispatcher.HttpMethod,
      headers: init.headers,
      body: init.body,
      signal: init.signal ?? undefined,
      dispatcher: getDispatcher(),
    });
    return {
      ok: statusCode >= HTTP_OK && statusCode < HTTP_MULTIPLE_CHOICES,
      status: statusCode,
      headers,
      body: { getReader: () => readerOf(body) },
      json: () => body.json(),
    };
  };
  return send as unknown as typeof fetch;
}

/** Returns the part of a web stream reader that the link uses. */
function readerOf(body: Dispatcher.ResponseData["body"]) {
  const chunks = body[Symbol.asyncIterator]();
  // An abort destroys the body and emits an error, which the reads report.
  body.on("error", () => {});
  return {
    read: async () => {
      const { done = false, value } = await chunks.next();
      return { done, value: value as Uint8Array | undefined };
    },
    cancel: () => {
      body.destroy();
      return Promise.resolve();
    },
    releaseLock: () => {},
  };
}
