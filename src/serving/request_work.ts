/**
 * What a request needs of a target, and what targets report of their load.
 *
 * @module
 */

import type { TokenCounts } from "./route_history.ts";

/** Load that a target states in the head of a response. */
export interface LoadReport {
  /** Requests that it runs. */
  readonly running: number;
  /** Requests that wait at it. */
  readonly waiting: number;
  /** Requests that it runs concurrently; undefined if not stated. */
  readonly slots?: number;
  /**
   * Time that work takes there now, as a multiple of the usual one; undefined
   * if not stated.
   */
  readonly slowdown?: number;
}

/** Segment of a prompt with its length. */
export interface PromptPart {
  readonly name: string;
  readonly tokens: number;
}

/** What a request needs of a target. */
export interface RequestWork {
  /** Requests of the same route without token counts count as alike. */
  readonly route: string;
  /** Length of the prompt; 0 for requests without token counts. */
  readonly promptTokens: number;
  /** Expected number of generated tokens. */
  readonly outputTokens: number;
  /** Segments of the prompt, the shared ones first. */
  readonly parts: readonly PromptPart[];
}

/** Segments of a prompt that are considered, which bounds the effort. */
const MAX_PARTS = 8;

/**
 * Largest token count that is taken as such: no engine has the memory for more.
 * Callers may state anything, and one count without bound would outweigh all
 * others in the means of a pool.
 */
const MAX_TOKENS = 1_000_000;

/** Returns the work of a request. */
export function workOf(
  route: string,
  req: {
    readonly tokens?: TokenCounts;
    readonly expectedOutput?: number;
    readonly promptParts: readonly string[];
    readonly promptPartTokens?: readonly number[];
  },
): RequestWork {
  const { tokens, expectedOutput, promptParts, promptPartTokens } = req;
  const maxOutput = statedTokens(tokens?.output);
  return {
    route,
    promptTokens: statedTokens(tokens?.prompt),
    outputTokens: Math.min(expectedOutput ?? maxOutput, maxOutput),
    parts: promptParts.slice(0, MAX_PARTS).map((name, i) => ({
      name,
      tokens: statedTokens(promptPartTokens?.[i]),
    })),
  };
}

/** Returns a token count; 0 when none is stated that can be true. */
function statedTokens(count = 0): number {
  return count >= 0 && count <= MAX_TOKENS ? count : 0;
}

/** Tokens of an engine's memory that the request occupies at its end. */
export function memoryTokens(
  { promptTokens, outputTokens }: RequestWork,
): number {
  return promptTokens + outputTokens;
}
