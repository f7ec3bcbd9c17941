/**
 * HTTP clients of the platform's services.
 *
 * Whether a failed call may have taken effect depends on how it failed: a call
 * without a connection, or with a status below 500 or status 503, had no
 * effect; a call with another status, or whose response was lost, may have had
 * one.
 *
 * @module
 */

import { errAsync, okAsync, ResultAsync } from "neverthrow";
import { type Agent, request } from "undici";
import { boundedAgent, isNotSent } from "../http/mod.ts";
import { timeoutSignal } from "../kernel/mod.ts";
import { PlatformError, PlatformErrorKind } from "./error.ts";
import type {
  HostList,
  ListedHost,
  ObjectStore,
  WeightStore,
} from "./stores.ts";
import type {
  CommitResult,
  Row,
  ScanPage,
  Table,
  Transaction,
} from "./table.ts";

/** Timeout of a call, in milliseconds. */
const PLATFORM_TIMEOUT_MS = 2_000;
const CONNECT_TIMEOUT_MS = 1_000;
/** Largest response body, in bytes. */
const MAX_RESPONSE_BYTES = 32 * 1024 * 1024;
const HTTP_TOO_MANY_REQUESTS = 429;
const HTTP_UNAVAILABLE = 503;

/** Client that exchanges JSON over HTTP with one service of the platform. */
export class PlatformClient {
  readonly #url: string;
  readonly #dispatcher: Agent;

  constructor(url: string) {
    this.#url = url;
    this.#dispatcher = boundedAgent({
      connect: { timeout: CONNECT_TIMEOUT_MS },
      headersTimeout: PLATFORM_TIMEOUT_MS,
      bodyTimeout: PLATFORM_TIMEOUT_MS,
      maxResponseSize: MAX_RESPONSE_BYTES,
    });
  }

  /** Posts a JSON body and returns the JSON body of the response. */
  post<T>(
    path: string,
    body: unknown,
    signal?: AbortSignal,
  ): ResultAsync<T, PlatformError> {
    return ResultAsync.fromPromise(
      this.#send(path, body, signal),
      connectionError,
    ).andThen(({ status, json }) =>
      status === 200 ? okAsync(json as T) : errAsync(statusError(status))
    );
  }

  /** Closes the connections. */
  close(): Promise<void> {
    return this.#dispatcher.destroy();
  }

  async #send(path: string, body: unknown, signal?: AbortSignal) {
    const res = await request(this.#url + path, {
      method: "POST",
      headers: { "content-type": "application/json" },
      body: JSON.stringify(body),
      dispatcher: this.#dispatcher,
      signal: signal
        ? timeoutSignal(PLATFORM_TIMEOUT_MS, signal)
        : timeoutSignal(PLATFORM_TIMEOUT_MS),
    });
    const text = await res.body.text();
    return {
      status: res.statusCode,
      json: res.statusCode === 200 ? JSON.parse(text) : undefined,
    };
  }
}

function connectionError(err: unknown): PlatformError {
  const kind = isNotSent(err)
    ? PlatformErrorKind.Unavailable
    : PlatformErrorKind.Unanswered;
  return new PlatformError(kind, `Platform call failed: ${String(err)}`);
}

function statusError(status: number): PlatformError {
  const message = `Platform responded with status ${status}`;
  if (status === HTTP_TOO_MANY_REQUESTS) {
    return new PlatformError(PlatformErrorKind.RateLimited, message);
  }
  if (status === HTTP_UNAVAILABLE) {
    return new PlatformError(PlatformErrorKind.Unavailable, message);
  }
  if (status < 500) {
    return new PlatformError(PlatformErrorKind.Rejected, message);
  }
  return new PlatformError(PlatformErrorKind.Unanswered, message);
}

/** Table service over HTTP. */
export class HttpTable implements Table {
  readonly #client: PlatformClient;

  constructor(url: string) {
    this.#client = new PlatformClient(url);
  }

  read(keys: readonly string[], signal?: AbortSignal) {
    return this.#client.post<readonly Row[]>("/table/read", { keys }, signal);
  }

  scan(
    prefix: string,
    opts: { after?: string; limit?: number; signal?: AbortSignal } = {},
  ) {
    const { signal, ...page } = opts;
    return this.#client.post<ScanPage>(
      "/table/scan",
      { prefix, ...page },
      signal,
    );
  }

  commit(tx: Transaction, signal?: AbortSignal) {
    return this.#client.post<CommitResult>("/table/commit", tx, signal);
  }
}

/** Object store over HTTP. */
export class HttpObjectStore implements ObjectStore {
  readonly #client: PlatformClient;

  constructor(url: string) {
    this.#client = new PlatformClient(url);
  }

  get(key: string, signal?: AbortSignal) {
    return this.#client
      .post<{ value: unknown | null }>("/objects/get", { key }, signal)
      .map(({ value }) => value);
  }

  putIfAbsent(key: string, value: unknown, signal?: AbortSignal) {
    return this.#client
      .post<{ written: boolean }>("/objects/put", { key, value }, signal)
      .map(({ written }) => written);
  }

  delete(key: string, signal?: AbortSignal) {
    return this.#client
      .post<object>("/objects/delete", { key }, signal)
      .map(() => undefined);
  }
}

/** Host list over HTTP. */
export class HttpHostList implements HostList {
  readonly #client: PlatformClient;

  constructor(url: string) {
    this.#client = new PlatformClient(url);
  }

  list(signal?: AbortSignal) {
    return this.#client.post<readonly ListedHost[]>("/hosts/list", {}, signal);
  }
}

/** Weight store over HTTP. */
export class HttpWeightStore implements WeightStore {
  readonly #client: PlatformClient;

  constructor(url: string) {
    this.#client = new PlatformClient(url);
  }

  reserve(model: string, signal?: AbortSignal) {
    return this.#client.post<{ bytes: number; waitMs: number }>(
      "/weights/reserve",
      { model },
      signal,
    );
  }
}
