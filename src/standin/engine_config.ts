/**
 * Limits, speeds and counters of the engine stand-in.
 *
 * @module
 */

/** Limits and speeds of an engine. */
export interface EngineConfig {
  /** Duration of a step with one completion, in milliseconds. */
  readonly stepMs: number;
  /** Time that each further completion adds to a step, in milliseconds. */
  readonly stepMsPerCompletion: number;
  /** Uncached prompt tokens that are prefilled in one millisecond. */
  readonly prefillTokensPerMs: number;
  /** Most completions that run at once. */
  readonly maxBatch: number;
  /** Most completions that wait for a slot in the batch. */
  readonly maxWaiting: number;
  /** Completions in flight that a cold engine sustains; one more crashes it. */
  readonly coldBears: number;
  /** Factor by which steps take longer while cold. */
  readonly coldSlowdown: number;
  /** Completions that have to end until a cold engine is warm. */
  readonly warmAfter: number;
  /** Time that the engine is down after a crash, in milliseconds. */
  readonly downMs: number;
  /** Prompt tokens of one block of the prefix cache. */
  readonly blockTokens: number;
  /** Most blocks in the prefix cache. */
  readonly cacheBlocks: number;
  /** Least age of the load report, in milliseconds. */
  readonly loadLagMs: number;
  /** Delay until a cache event is published, in milliseconds. */
  readonly eventLagMs: number;
  /** Share of the cache events that are lost, in [0, 1]. */
  readonly eventLoss: number;
  /** 1 when responses of a cold engine are marked as such, else 0. */
  readonly marksCold: number;
  /** 1 when orders with an outdated fencing number are refused, else 0. */
  readonly checksFencing: number;
}

/** Default configuration of an engine. */
export const DEFAULT_ENGINE: EngineConfig = {
  stepMs: 2,
  stepMsPerCompletion: 0.05,
  prefillTokensPerMs: 100,
  maxBatch: 32,
  maxWaiting: 64,
  coldBears: 2,
  coldSlowdown: 2,
  warmAfter: 6,
  downMs: 1_000,
  blockTokens: 16,
  cacheBlocks: 512,
  loadLagMs: 400,
  eventLagMs: 500,
  eventLoss: 0.1,
  marksCold: 1,
  checksFencing: 1,
};

/** Counters of an engine. */
export interface EngineCounts {
  /** Completions that the engine accepted. */
  begun: number;
  completions: number;
  cancelled: number;
  refused: number;
  /**
   * Most completions in flight at once while cold, including one that crashed
   * the engine.
   */
  coldPeak: number;
  /** Completions beyond those that the cold engine sustains. */
  overfills: number;
  /** Crashes of the engine. */
  falls: number;
  promptTokens: number;
  /** Prompt tokens found in the prefix cache. */
  cachedTokens: number;
  /** Generated tokens. */
  tokens: number;
  /** Tokens generated for completions that were cancelled or cut. */
  wastedTokens: number;
}

/** Returns the counters of an engine that has just started. */
export function zeroCounts(): EngineCounts {
  return {
    begun: 0,
    completions: 0,
    cancelled: 0,
    refused: 0,
    coldPeak: 0,
    overfills: 0,
    falls: 0,
    promptTokens: 0,
    cachedTokens: 0,
    tokens: 0,
    wastedTokens: 0,
  };
}
