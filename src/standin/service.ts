/**
 * Stand-in for a service that is no engine: an encoder, retriever, reranker or
 * application service. Filings, the operations with a side effect, are counted
 * by their idempotency key.
 *
 * @module
 */

import { Hono } from "hono";
import { sleep } from "../kernel/mod.ts";
import { sha256 } from "../model/mod.ts";
import { type Faults, withFaults } from "./faults.ts";

/** Limits and speeds of the service. */
export interface ServiceConfig {
  /** Duration of a call, in milliseconds. */
  readonly callMs: number;
  /** Most calls that run at once; further ones wait. */
  readonly workers: number;
}

/** Default configuration of a service. */
export const DEFAULT_SERVICE: ServiceConfig = { callMs: 5, workers: 16 };

/** Record of a filing. */
export interface Filing {
  readonly key: string;
  readonly marker: string;
  /** Call that filed first under the key. */
  readonly callId: string;
  /** Time of that call, in milliseconds since the epoch. */
  readonly at: number;
  /** Calls that filed under the key; more than one is a duplicate. */
  count: number;
}

/** Simulated service. */
export class SimulatedService {
  readonly #cfg: ServiceConfig;
  readonly #filings = new Map<string, Filing>();
  readonly #waiting: (() => void)[] = [];
  #running = 0;
  #begun = 0;
  #calls = 0;

  constructor(cfg: ServiceConfig = DEFAULT_SERVICE) {
    this.#cfg = cfg;
  }

  /** Limits and speeds. */
  get config(): ServiceConfig {
    return this.#cfg;
  }

  /** Calls accepted so far. */
  get begun(): number {
    return this.#begun;
  }

  /** Calls completed so far. */
  get calls(): number {
    return this.#calls;
  }

  /** Records of all filings so far. */
  get filings(): readonly Filing[] {
    return [...this.#filings.values()];
  }

  /** Calls in flight. */
  get load(): { running: number; waiting: number } {
    return { running: this.#running, waiting: this.#waiting.length };
  }

  /** Runs an operation once a worker is free. */
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
    if (this.#running < this.#cfg.workers) {
      this.#running += 1;
      return;
    }
    await new Promise<void>((resolve) => this.#waiting.push(resolve));
  }

  #release(): void {
    const next = this.#waiting.shift();
    if (next) return next();
    this.#running -= 1;
  }
}

/** Creates the HTTP interface of a service. */
export function createServiceApp(
  service: SimulatedService,
  opts: { faults: Faults; seed: number },
): Hono {
  const app = new Hono();
  app.post("/ops/:op", async (c) => {
    const { input } = await c.req.json<{ input: unknown }>();
    const key = c.req.header("idempotency-key") ?? "";
    const callId = c.req.header("x-call-id") ?? "";
    const output = await service.run(c.req.param("op"), { input, key, callId });
    c.header("x-call-id", callId);
    return c.json(output);
  });
  app.get(
    "/load",
    (c) => c.json({ ...service.load, cold: false, ageMs: 0 }),
  );
  app.get("/filings", (c) => c.json(service.filings));
  return withFaults(app, opts);
}
