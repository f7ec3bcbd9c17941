/**
 * Stand-in for a plain service: encoder, retriever, reranker or application
 * service. It counts each filing by its idempotency key.
 *
 * @module
 */

import { Hono } from "hono";
import { sleep } from "../kernel/mod.ts";
import { sha256 } from "../model/mod.ts";
import { type Faults, withFaults } from "./faults.ts";

/** Bounds and speeds of the service. */
export interface ServiceConfig {
  /** Time of one call, in milliseconds. */
  readonly callMs: number;
  /** Calls that run at once; further ones wait. */
  readonly workers: number;
}

/** Usual small service. */
export const DEFAULT_SERVICE: ServiceConfig = { callMs: 5, workers: 16 };

/** One filing as the service recorded it. */
export interface Filing {
  readonly key: string;
  readonly marker: string;
  /** Call that made the filing first. */
  readonly callId: string;
  /** Time of the first filing, in milliseconds since the epoch. */
  readonly at: number;
  count: number;
}

/** Plain service. */
export class PlainService {
  readonly #cfg: ServiceConfig;
  readonly #filings = new Map<string, Filing>();
  readonly #waiting: (() => void)[] = [];
  #active = 0;
  #begun = 0;
  #calls = 0;

  constructor(cfg: ServiceConfig = DEFAULT_SERVICE) {
    this.#cfg = cfg;
  }

  /** Bounds and speeds. */
  get config(): ServiceConfig {
    return this.#cfg;
  }

  /** Calls taken in so far. */
  get begun(): number {
    return this.#begun;
  }

  /** Calls that ran so far. */
  get calls(): number {
    return this.#calls;
  }

  /** All filings so far. */
  get filings(): readonly Filing[] {
    return [...this.#filings.values()];
  }

  /** Calls in hand. */
  get load(): { running: number; waiting: number } {
    return { running: this.#active, waiting: this.#waiting.length };
  }

  /** Runs one operation. */
  async run(
    op: string,
    call: { input: unknown; key: string; callId?: string },
  ) {
    this.#begun += 1;
    await this.#acquire();
    try {
      await sleep(this.#cfg.callMs);
      this.#calls += 1;
      return this.#perform(op, call);
    } finally {
      this.#release();
    }
  }

  #perform(
    op: string,
    { input, key, callId = "" }: {
      input: unknown;
      key: string;
      callId?: string;
    },
  ) {
    const text = JSON.stringify(input);
    const marker = /"marker":"([^"]*)"/.exec(text)?.[1] ?? "none";
    if (op === "file") return this.#file({ key, marker, callId });
    return { op, marker, digest: sha256(text) };
  }

  #file(call: { key: string; marker: string; callId: string }) {
    const { key, marker } = call;
    const filing = this.#filings.get(key) ??
      { ...call, at: Date.now(), count: 0 };
    filing.count += 1;
    this.#filings.set(key, filing);
    return { filed: true, marker, receipt: sha256(key) };
  }

  async #acquire(): Promise<void> {
    if (this.#active < this.#cfg.workers) {
      this.#active += 1;
      return;
    }
    await new Promise<void>((resolve) => this.#waiting.push(resolve));
  }

  #release(): void {
    const next = this.#waiting.shift();
    if (next) return next();
    this.#active -= 1;
  }
}

/** HTTP form of a plain service. */
export function createServiceApp(
  plain: PlainService,
  opts: { faults: Faults; seed: number },
): Hono {
  const app = new Hono();
  app.post("/ops/:op", async (c) => {
    const { input } = await c.req.json<{ input: unknown }>();
    const key = c.req.header("idempotency-key") ?? "";
    const callId = c.req.header("x-call-id") ?? "";
    const output = await plain.run(c.req.param("op"), { input, key, callId });
    c.header("x-call-id", callId);
    return c.json(output);
  });
  app.get(
    "/load",
    (c) => c.json({ ...plain.load, cold: false, ageMs: 0 }),
  );
  app.get("/filings", (c) => c.json(plain.filings));
  return withFaults(app, opts);
}
