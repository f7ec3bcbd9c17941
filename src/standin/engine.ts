/**
 * Stand-in for a model engine with continuous batching.
 *
 * Every step generates one token for each completion in the batch; a larger
 * batch and uncached prompt tokens make the steps longer. Completions beyond
 * the batch wait and join it in the order of their priority numbers. A cold
 * engine is slow and sustains few completions; one more crashes it and cuts
 * every completion in flight.
 *
 * @module
 */

import { AsyncQueue, seededRandom, sleep } from "../kernel/mod.ts";
import { PrefixCache } from "./engine_cache.ts";
import {
  DEFAULT_ENGINE,
  type EngineConfig,
  type EngineCounts,
  zeroCounts,
} from "./engine_config.ts";
import { EngineOrders } from "./engine_orders.ts";
import { tokensFor } from "./engine_text.ts";
import { DelayedReport, LossyEvents } from "./delayed.ts";

/** Request for a completion. */
export interface CompletionRequest {
  readonly prompt: string;
  readonly maxTokens: number;
  /** A lower number is served first. */
  readonly priority?: number;
  /** Tokens of an earlier response, which are not generated again. */
  readonly resumeFrom?: number;
}

/** What happens to the completions in flight when an engine turns cold. */
export const ColdStartMode = {
  /** They are cut, as by a restart of the engine. */
  Cut: "cut",
  /** They continue at the speed of a cold engine. */
  Keep: "keep",
} as const;
export type ColdStartMode = typeof ColdStartMode[keyof typeof ColdStartMode];

/** Load as an engine reports it. */
export interface EngineLoad {
  readonly running: number;
  readonly waiting: number;
  readonly cold: boolean;
}

/** A completion in flight. */
interface Job {
  readonly req: CompletionRequest;
  readonly tokens: readonly string[];
  readonly out: AsyncQueue<string>;
  produced: number;
  /** Prompt tokens that still need prefill. */
  prefill: number;
  ended: boolean;
}

/** Simulated model engine. */
export class Engine {
  readonly #cfg: EngineConfig;
  readonly counts: EngineCounts = zeroCounts();
  readonly orders: EngineOrders;
  readonly cache: PrefixCache;
  readonly events;
  readonly #load;
  #batch: Job[] = [];
  #waiting: Job[] = [];
  /** Completions that ended since the engine turned cold. */
  #endedSinceCold = 0;
  #downUntil = 0;
  #isStepping = false;

  constructor(cfg: EngineConfig = DEFAULT_ENGINE, seed = 1) {
    this.#cfg = cfg;
    const random = seededRandom(seed);
    this.events = new LossyEvents<unknown>({
      lagMs: cfg.eventLagMs,
      isLost: () => random() < cfg.eventLoss,
    });
    this.cache = new PrefixCache({
      blockTokens: cfg.blockTokens,
      maxBlocks: cfg.cacheBlocks,
      publish: (event) => this.events.push(event),
    });
    this.#load = new DelayedReport<EngineLoad>(cfg.loadLagMs);
    this.orders = new EngineOrders({ checksFencing: cfg.checksFencing === 1 });
    this.#sample();
  }

  /** Limits and speeds. */
  get config(): EngineConfig {
    return this.#cfg;
  }

  /** True until `warmAfter` completions ended since the engine turned cold. */
  get isCold(): boolean {
    return this.#endedSinceCold < this.#cfg.warmAfter;
  }

  /** True when responses carry the mark of a cold engine. */
  get marksCold(): boolean {
    return this.isCold && this.#cfg.marksCold === 1;
  }

  /** True while the engine is down after a crash. */
  get isDown(): boolean {
    return Date.now() < this.#downUntil;
  }

  /** Number of completions in flight, running or waiting. */
  get inHand(): number {
    return this.#batch.length + this.#waiting.length;
  }

  /** The load report, which lags behind the load by `loadLagMs`. */
  get load(): (EngineLoad & { ageMs: number }) | undefined {
    const report = this.#load.read();
    return report && { ...report.value, ageMs: report.ageMs };
  }

  /** Turns the engine cold without notice. */
  turnCold(inFlight: ColdStartMode = ColdStartMode.Cut): void {
    this.#endedSinceCold = 0;
    if (inFlight === ColdStartMode.Cut) {
      this.cache.clear();
      this.#cutAll();
    }
    this.#sample();
  }

  /**
   * Accepts a completion and returns its tokens; undefined when the engine
   * refuses it. The tokens end early when the engine crashes.
   */
  complete(
    req: CompletionRequest,
    signal: AbortSignal,
  ): AsyncIterable<string> | undefined {
    if (!this.#admit()) {
      this.counts.refused += 1;
      return undefined;
    }
    this.counts.begun += 1;
    const job = this.#createJob(req);
    signal.addEventListener("abort", () => this.#cancel(job));
    this.#waiting.push(job);
    this.#sample();
    void this.#run();
    return job.out;
  }

  #admit(): boolean {
    if (this.isDown) return false;
    if (this.isCold) {
      this.counts.coldPeak = Math.max(this.counts.coldPeak, this.inHand + 1);
      if (this.inHand >= this.#cfg.coldBears) {
        this.counts.overfills += 1;
        this.#crash();
        return false;
      }
    }
    return this.#waiting.length < this.#cfg.maxWaiting;
  }

  #createJob(req: CompletionRequest): Job {
    const { tokens, cached } = this.cache.use(req.prompt);
    this.counts.promptTokens += tokens;
    this.counts.cachedTokens += cached;
    return {
      req,
      tokens: tokensFor(req.prompt, req.maxTokens).slice(req.resumeFrom ?? 0),
      out: new AsyncQueue(),
      produced: 0,
      prefill: tokens - cached,
      ended: false,
    };
  }

  /** Runs steps until no completion is in flight. */
  async #run(): Promise<void> {
    if (this.#isStepping) return;
    this.#isStepping = true;
    while (this.inHand > 0) {
      this.#fillBatch();
      await sleep(this.#stepMs());
      this.#step();
      this.#sample();
    }
    this.#isStepping = false;
  }

  #fillBatch(): void {
    const byPriority = [...this.#waiting].sort((a, b) =>
      (a.req.priority ?? 0) - (b.req.priority ?? 0)
    );
    const freeSlots = this.#cfg.maxBatch - this.#batch.length;
    const joined = byPriority.slice(0, freeSlots);
    this.#waiting = this.#waiting.filter((job) => !joined.includes(job));
    this.#batch = [...this.#batch, ...joined];
  }

  #stepMs(): number {
    const { stepMs, stepMsPerCompletion, prefillTokensPerMs } = this.#cfg;
    const batchMs = stepMsPerCompletion * Math.max(0, this.#batch.length - 1);
    const prefillTokens = this.#batch.reduce(
      (sum, job) => sum + job.prefill,
      0,
    );
    const slowdown = this.isCold ? this.#cfg.coldSlowdown : 1;
    return (stepMs + batchMs + prefillTokens / prefillTokensPerMs) * slowdown;
  }

  #step(): void {
    this.#batch.forEach((job) => this.#generate(job));
    const done = this.#batch.filter((job) => job.ended);
    this.#batch = this.#batch.filter((job) => !job.ended);
    this.counts.completions += done.length;
    this.#endedSinceCold += done.length;
  }

  #generate(job: Job): void {
    job.prefill = 0;
    const token = job.tokens[job.produced];
    if (token !== undefined) {
      job.out.push(token);
      job.produced += 1;
      this.counts.tokens += 1;
    }
    if (job.produced < job.tokens.length) return;
    job.ended = true;
    job.out.close();
  }

  #cancel(job: Job): void {
    if (job.ended) return;
    this.#batch = this.#batch.filter((one) => one !== job);
    this.#waiting = this.#waiting.filter((one) => one !== job);
    this.#cut(job);
  }

  #cut(job: Job): void {
    job.ended = true;
    job.out.close();
    this.counts.cancelled += 1;
    this.counts.wastedTokens += job.produced;
  }

  #cutAll(): void {
    const jobs = [...this.#batch, ...this.#waiting];
    this.#batch = [];
    this.#waiting = [];
    jobs.forEach((job) => this.#cut(job));
  }

  #crash(): void {
    this.counts.falls += 1;
    this.#endedSinceCold = 0;
    this.#downUntil = Date.now() + this.#cfg.downMs;
    this.cache.clear();
    this.#cutAll();
    this.#sample();
  }

  #sample(): void {
    this.#load.sample({
      running: this.#batch.length,
      waiting: this.#waiting.length,
      cold: this.isCold,
    });
  }
}
