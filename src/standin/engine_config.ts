/**
 * Bounds, speeds and counts of the engine stand-in.
 *
 * @module
 */

/** Bounds and speeds of an engine. */
export interface EngineConfig {
  /** Time of one step with one completion, in milliseconds. */
  readonly stepMs: number;
  /** Added to a step for each further completion, in milliseconds. */
  readonly stepMsPerCompletion: number;
  /** Prompt tokens that one millisecond of prefill works off. */
  readonly prefillTokensPerMs: number;
  /** Completions that run at once when warm. */
  readonly maxBatch: number;
  /** Completions that wait for a place in the batch. */
  readonly maxWaiting: number;
  /** Completions that a cold engine bears. */
  readonly coldBears: number;
  /** Factor on the time of a step while cold. */
  readonly coldSlowdown: number;
  /** Completions after which the engine is warm. */
  readonly warmAfter: number;
  /** Time that the engine is down after falling over, in milliseconds. */
  readonly downMs: number;
  /** Prompt tokens of one block of the prefix cache. */
  readonly blockTokens: number;
  /** Blocks that the prefix cache holds. */
  readonly cacheBlocks: number;
  /** Age of the load report, in milliseconds. */
  readonly loadLagMs: number;
  /** Delay of cache events, in milliseconds. */
  readonly eventLagMs: number;
  /** Share of the cache events that are lost, in [0, 1]. */
  readonly eventLoss: number;
  /** 1 when answers of a cold engine say so, else 0. */
  readonly marksCold: number;
  /** 1 when orders with an old fencing number are refused, else 0. */
  readonly checksFencing: number;
}

/** Usual small engine. */
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

/** What an engine counted. */
export interface EngineCounts {
  /** Completions taken in. */
  begun: number;
  completions: number;
  cancelled: number;
  refused: number;
  /** Most completions at once while cold. */
  coldPeak: number;
  /** Completions sent to the cold engine beyond what it bears. */
  overfills: number;
  /** Times that the engine fell over. */
  falls: number;
  promptTokens: number;
  /** Prompt tokens found in the prefix cache. */
  cachedTokens: number;
  /** Tokens generated. */
  tokens: number;
  /** Tokens generated for completions that did not end. */
  wastedTokens: number;
}

/** Counts of an engine that has just started. */
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
