/**
 * The part of `fetch` that tRPC's streaming link uses, over `undici.request`.
 *
 * The body is read straight from the socket's stream, one read at a time, so
 * that a slow reader holds the sender back. It saves the chain of web streams
 * that `fetch` puts behind every answer. Use `fetch` itself elsewhere.
 *
 * @module
 */

import { type Dispatcher, request } from "undici";

const HTTP_OK = 200;
const HTTP_MULTIPLE_CHOICES = 300;

/** What the link passes. */
interface Init {
  readonly method?: string;
  readonly headers?: Record<string, string>;
  readonly body?: string | null;
  readonly signal?: AbortSignal | null;
}

/** Makes the function; `current` gives the dispatcher of each request. */
export function streamingFetch(current: () => Dispatcher): typeof fetch {
  const send = async (url: string | URL, init: Init = {}) => {
    const { statusCode, headers, body } = await request(url, {
      method: (init.method ?? "GET") as Dispatcher.HttpMethod,
      headers: init.headers,
      body: init.body,
      signal: init.signal ?? undefined,
      dispatcher: current(),
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

/** Reader of a web stream as far as the link uses it. */
function readerOf(body: Dispatcher.ResponseData["body"]) {
  const chunks = body[Symbol.asyncIterator]();
  // An abort destroys the body; the reads report it.
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
