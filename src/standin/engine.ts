/**
 * Stand-in for a model engine with continuous batching.
 *
 * Every step generates one token for each completion in the batch; a larger
 * batch makes the steps longer. A cold engine bears few completions and falls
 * over when it is given more.
 *
 * @module
 */

import { Hono } from "hono";
import { streamSSE } from "hono/streaming";
import { sleep } from "../kernel/mod.ts";
import { sha256 } from "../model/mod.ts";
import { type Faults, withFaults } from "./faults.ts";

/** Bounds and speeds of the engine. */
export interface EngineConfig {
  /** Time of one step with one completion, in milliseconds. */
  readonly stepMs: number;
  /** Added to a step for each further completion, in milliseconds. */
  readonly stepMsPerCompletion: number;
  /** Completions that run at once when warm. */
  readonly maxBatch: number;
  /** Completions that a cold engine bears. */
  readonly coldBears: number;
  /** Completions after which the engine is warm. */
  readonly warmAfter: number;
  /** Time that the engine is down after falling over, in milliseconds. */
  readonly downMs: number;
}

/** Usual small engine. */
export const DEFAULT_ENGINE: EngineConfig = {
  stepMs: 2,
  stepMsPerCompletion: 0.05,
  maxBatch: 32,
  coldBears: 2,
  warmAfter: 6,
  downMs: 1_000,
};

/** What the stand-in counted. */
export interface EngineCounts {
  /** Completions taken in. */
  begun: number;
  completions: number;
  /** Tokens generated, also those of completions that were given up. */
  tokens: number;
  cancelled: number;
  /** Most completions at once while cold. */
  coldPeak: number;
  falls: number;
}

/** Model engine. */
export class Engine {
  readonly #cfg: EngineConfig;
  readonly counts: EngineCounts = {
    begun: 0,
    completions: 0,
    tokens: 0,
    cancelled: 0,
    coldPeak: 0,
    falls: 0,
  };
  #active = 0;
  #proven = 0;
  #downUntil = 0;

  constructor(cfg: EngineConfig = DEFAULT_ENGINE) {
    this.#cfg = cfg;
  }

  /** Bounds and speeds. */
  get config(): EngineConfig {
    return this.#cfg;
  }

  /** True until enough completions were done since the engine turned cold. */
  get isCold(): boolean {
    return this.#proven < this.#cfg.warmAfter;
  }

  /** True while the engine is down after it fell over. */
  get isDown(): boolean {
    return Date.now() < this.#downUntil;
  }

  /** Makes the engine cold without warning. */
  turnCold(): void {
    this.#proven = 0;
  }

  /** Takes a completion in; false when the engine cannot. */
  admit(): boolean {
    if (this.isDown) return false;
    if (this.isCold) {
      this.counts.coldPeak = Math.max(this.counts.coldPeak, this.#active + 1);
      if (this.#active >= this.#cfg.coldBears) {
        this.#fall();
        return false;
      }
    }
    if (this.#active >= this.#cfg.maxBatch) return false;
    this.#active += 1;
    this.counts.begun += 1;
    return true;
  }

  /** Generates tokens; ends early when the engine falls over. */
  async *generate(
    prompt: string,
    opts: { maxTokens: number; signal: AbortSignal },
  ): AsyncGenerator<string> {
    try {
      for (const token of tokensFor(prompt, opts.maxTokens)) {
        await sleep(this.#stepMs(), opts.signal);
        if (opts.signal.aborted || this.isDown) {
          this.counts.cancelled += 1;
          return;
        }
        this.counts.tokens += 1;
        yield token;
      }
      this.counts.completions += 1;
      this.#proven += 1;
    } finally {
      this.#active -= 1;
    }
  }

  #stepMs(): number {
    const more = this.#cfg.stepMsPerCompletion * Math.max(0, this.#active - 1);
    return this.#cfg.stepMs + more;
  }

  #fall(): void {
    this.counts.falls += 1;
    this.#proven = 0;
    this.#downUntil = Date.now() + this.#cfg.downMs;
  }
}

/**
 * Text for a prompt: the same prompt gives the same text, which names the
 * marker that the prompt carries.
 */
export function completionFor(prompt: string, maxTokens: number): string {
  return tokensFor(prompt, maxTokens).join("");
}

function tokensFor(prompt: string, maxTokens: number): string[] {
  const marker = /"marker":"([^"]*)"/.exec(prompt)?.[1] ?? "none";
  const hash = sha256(prompt);
  const words = Array.from(
    { length: Math.max(0, maxTokens - 1) },
    (_, i) => ` w${hash.slice(i % 60, i % 60 + 4)}`,
  );
  return [`marker=${marker}`, ...words];
}

/** HTTP form of an engine. `POST /turn-cold` makes it cold. */
export function createEngineApp(
  engine: Engine,
  opts: { faults: Faults; seed: number },
): Hono {
  const app = new Hono();
  app.post("/v1/completions", async (c) => {
    const body = await c.req.json<{ prompt: string; max_tokens: number }>();
    const { isCold } = engine;
    if (!engine.admit()) {
      if (isCold) c.header("x-cold-start", "1");
      return c.text("busy\n", 503, { "x-not-run": "1" });
    }
    return streamSSE(c, async (stream) => {
      const abort = new AbortController();
      stream.onAbort(() => abort.abort());
      const tokens = engine.generate(body.prompt, {
        maxTokens: body.max_tokens,
        signal: abort.signal,
      });
      let produced = 0;
      for await (const text of tokens) {
        produced += 1;
        const choices = [{ text, finish_reason: null }];
        await stream.writeSSE({ data: JSON.stringify({ choices }) });
      }
      if (produced === body.max_tokens) {
        await stream.writeSSE({ data: "[DONE]" });
      }
    });
  });
  app.post("/turn-cold", (c) => {
    engine.turnCold();
    return c.json({});
  });
  app.get("/counts", (c) => c.json(engine.counts));
  return withFaults(app, opts);
}
