/**
 * Stand-ins for the platform's object store, host list and weight store.
 *
 * @module
 */

import { Hono } from "hono";
import { okAsync, type ResultAsync } from "neverthrow";
import type {
  HostList,
  ListedHost,
  ObjectStore,
  PlatformError,
  WeightStore,
} from "../store/mod.ts";
import { type Faults, withFaults } from "./faults.ts";

const HTTP_TOO_MANY_REQUESTS = 429;
const MS_PER_S = 1000;

/** In-memory object store. */
export class MemoryObjectStore implements ObjectStore {
  readonly #objects = new Map<string, unknown>();

  get(key: string): ResultAsync<unknown | null, PlatformError> {
    return okAsync(this.#objects.get(key) ?? null);
  }

  putIfAbsent(
    key: string,
    value: unknown,
  ): ResultAsync<boolean, PlatformError> {
    if (this.#objects.has(key)) return okAsync(false);
    this.#objects.set(key, value);
    return okAsync(true);
  }

  delete(key: string): ResultAsync<void, PlatformError> {
    this.#objects.delete(key);
    return okAsync(undefined);
  }
}

/** In-memory host list. A change becomes visible after a delay. */
export class MemoryHostList implements HostList {
  readonly #lagMs: number;
  #hosts: readonly ListedHost[];

  constructor(opts: { hosts: readonly ListedHost[]; lagMs: number }) {
    this.#hosts = opts.hosts;
    this.#lagMs = opts.lagMs;
  }

  list(): ResultAsync<readonly ListedHost[], PlatformError> {
    return okAsync(this.#hosts);
  }

  /** Replaces the list after the delay. */
  replace(hosts: readonly ListedHost[]): void {
    setTimeout(() => {
      this.#hosts = hosts;
    }, this.#lagMs);
  }
}

/** In-memory weight store that schedules transfers one after the other. */
export class MemoryWeightStore implements WeightStore {
  readonly #modelBytes: number;
  readonly #bytesPerS: number;
  #freeAt = 0;

  constructor(opts: { modelBytes: number; bytesPerS: number }) {
    this.#modelBytes = opts.modelBytes;
    this.#bytesPerS = opts.bytesPerS;
  }

  reserve(): ResultAsync<{ bytes: number; waitMs: number }, PlatformError> {
    const now = Date.now();
    const startAt = Math.max(now, this.#freeAt);
    this.#freeAt = startAt + this.#modelBytes / this.#bytesPerS * MS_PER_S;
    return okAsync({ bytes: this.#modelBytes, waitMs: startAt - now });
  }
}

/** Creates the HTTP interface of an object store. */
export function createObjectStoreApp(
  store: ObjectStore,
  opts: { faults: Faults; seed: number },
): Hono {
  const app = new Hono();
  app.post("/objects/get", async (c) => {
    const { key } = await c.req.json<{ key: string }>();
    return respond(await store.get(key).map((value) => ({ value })));
  });
  app.post("/objects/put", async (c) => {
    const { key, value } = await c.req.json<{ key: string; value: unknown }>();
    const put = store.putIfAbsent(key, value);
    return respond(await put.map((written) => ({ written })));
  });
  app.post("/objects/delete", async (c) => {
    const { key } = await c.req.json<{ key: string }>();
    return respond(await store.delete(key).map(() => ({})));
  });
  return withFaults(app, opts);
}

/**
 * Creates the HTTP interface of a host list; `POST /hosts/replace` replaces
 * the list.
 */
export function createHostListApp(
  hosts: MemoryHostList,
  opts: { faults: Faults; seed: number },
): Hono {
  const app = new Hono();
  app.post("/hosts/list", async () => respond(await hosts.list()));
  app.post("/hosts/replace", async (c) => {
    hosts.replace(await c.req.json<ListedHost[]>());
    return c.json({});
  });
  return withFaults(app, opts);
}

/** Creates the HTTP interface of a weight store. */
export function createWeightStoreApp(
  weights: WeightStore,
  opts: { faults: Faults; seed: number },
): Hono {
  const app = new Hono();
  app.post("/weights/reserve", async (c) => {
    const { model } = await c.req.json<{ model: string }>();
    return respond(await weights.reserve(model));
  });
  return withFaults(app, opts);
}

function respond<T>(
  result: { match: <A>(ok: (v: T) => A, err: (e: PlatformError) => A) => A },
): Response {
  return result.match(
    (value) => Response.json(value),
    (err) =>
      Response.json({ kind: err.kind }, { status: HTTP_TOO_MANY_REQUESTS }),
  );
}
