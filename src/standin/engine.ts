/**
 * Stand-in for a model engine with continuous batching.
 *
 * Every step generates one token for each completion in the batch; a larger
 * batch and uncached prompt tokens make the steps longer. Completions beyond
 * the batch wait, those of a lower priority number first. A cold engine is slow
 * and bears few completions; when it is given more, it falls over and every
 * completion in hand is cut.
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
import { GappyEvents, LaggingReport } from "./lagging.ts";

/** A completion that is asked for. */
export interface CompletionRequest {
  readonly prompt: string;
  readonly maxTokens: number;
  /** A lower number is served first. */
  readonly priority?: number;
  /** Tokens of an earlier answer that are not generated again. */
  readonly resumeFrom?: number;
}

/** What happens to the completions in hand when an engine turns cold. */
export const ColdStart = {
  /** They are cut, as by a restart. */
  Cut: "cut",
  /** They go on slowly. */
  Keep: "keep",
} as const;
export type ColdStart = typeof ColdStart[keyof typeof ColdStart];

/** State of an engine as it reports it. */
export interface EngineLoad {
  readonly running: number;
  readonly waiting: number;
  readonly cold: boolean;
}

/** A completion in hand. */
interface Job {
  readonly req: CompletionRequest;
  readonly tokens: readonly string[];
  readonly out: AsyncQueue<string>;
  produced: number;
  /** Prompt tokens that are still to be worked off. */
  prefill: number;
  ended: boolean;
}

/** Model engine. */
export class Engine {
  readonly #cfg: EngineConfig;
  readonly counts: EngineCounts = zeroCounts();
  readonly orders: EngineOrders;
  readonly cache: PrefixCache;
  readonly events;
  readonly #load;
  #batch: Job[] = [];
  #waiting: Job[] = [];
  #proven = 0;
  #downUntil = 0;
  #stepping = false;

  constructor(cfg: EngineConfig = DEFAULT_ENGINE, seed = 1) {
    this.#cfg = cfg;
    const random = seededRandom(seed);
    this.events = new GappyEvents<unknown>({
      lagMs: cfg.eventLagMs,
      isLost: () => random() < cfg.eventLoss,
    });
    this.cache = new PrefixCache({
      blockTokens: cfg.blockTokens,
      maxBlocks: cfg.cacheBlocks,
      publish: (event) => this.events.push(event),
    });
    this.#load = new LaggingReport<EngineLoad>(cfg.loadLagMs);
    this.orders = new EngineOrders({ checksFencing: cfg.checksFencing === 1 });
    this.#sample();
  }

  /** Bounds and speeds. */
  get config(): EngineConfig {
    return this.#cfg;
  }

  /** True until enough completions were done since the engine turned cold. */
  get isCold(): boolean {
    return this.#proven < this.#cfg.warmAfter;
  }

  /** True when an answer given now says that the engine is cold. */
  get marksCold(): boolean {
    return this.isCold && this.#cfg.marksCold === 1;
  }

  /** True while the engine is down after it fell over. */
  get isDown(): boolean {
    return Date.now() < this.#downUntil;
  }

  /** Completions in hand. */
  get inHand(): number {
    return this.#batch.length + this.#waiting.length;
  }

  /** The lagging load report. */
  get load(): (EngineLoad & { ageMs: number }) | undefined {
    const report = this.#load.read();
    return report && { ...report.value, ageMs: report.ageMs };
  }

  /** Makes the engine cold without warning. */
  turnCold(inHand: ColdStart = ColdStart.Cut): void {
    this.#proven = 0;
    if (inHand === ColdStart.Cut) {
      this.cache.clear();
      this.#cutAll();
    }
    this.#sample();
  }

  /**
   * Takes a completion in and gives its tokens; undefined when the engine
   * cannot. The tokens end early when the engine falls over.
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
    const job = this.#jobOf(req);
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
        this.#fall();
        return false;
      }
    }
    return this.#waiting.length < this.#cfg.maxWaiting;
  }

  #jobOf(req: CompletionRequest): Job {
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

  /** Steps until nothing is in hand. */
  async #run(): Promise<void> {
    if (this.#stepping) return;
    this.#stepping = true;
    while (this.inHand > 0) {
      this.#fillBatch();
      await sleep(this.#stepMs());
      this.#step();
      this.#sample();
    }
    this.#stepping = false;
  }

  #fillBatch(): void {
    const byPriority = [...this.#waiting].sort((a, b) =>
      (a.req.priority ?? 0) - (b.req.priority ?? 0)
    );
    const room = this.#cfg.maxBatch - this.#batch.length;
    const joined = byPriority.slice(0, room);
    this.#waiting = this.#waiting.filter((job) => !joined.includes(job));
    this.#batch = [...this.#batch, ...joined];
  }

  #stepMs(): number {
    const { stepMs, stepMsPerCompletion, prefillTokensPerMs } = this.#cfg;
    const more = stepMsPerCompletion * Math.max(0, this.#batch.length - 1);
    const prefill = this.#batch.reduce((sum, job) => sum + job.prefill, 0);
    const slowdown = this.isCold ? this.#cfg.coldSlowdown : 1;
    return (stepMs + more + prefill / prefillTokensPerMs) * slowdown;
  }

  #step(): void {
    this.#batch.forEach((job) => this.#generate(job));
    const done = this.#batch.filter((job) => job.ended);
    this.#batch = this.#batch.filter((job) => !job.ended);
    this.counts.completions += done.length;
    this.#proven += done.length;
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

  #fall(): void {
    this.counts.falls += 1;
    this.#proven = 0;
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
