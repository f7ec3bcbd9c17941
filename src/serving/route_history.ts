/**
 * Traits of the newest requests of a route, from which to estimate how long ago
 * the caller of a request first sent it and how large the request is compared
 * with others. A caller that retries after a refusal has less time left than
 * one that sends its request for the first time.
 *
 * @module
 */

/** Number of requests kept for a route. */
const MAX_REQUESTS = 64;
/** Number of requests with the same deadline that make it a usual one. */
const MIN_SAME_DEADLINE = 3;
/** Number of known sizes required to compare a request with them. */
const MIN_SIZES = 8;
/** Cost of a generated token as a multiple of that of a prompt token. */
const OUTPUT_WEIGHT = 10;

/** Token counts of a request to an engine. */
export interface TokenCounts {
  readonly prompt: number;
  /** Maximum number of generated tokens. */
  readonly output: number;
}

/** Traits of one request that the history keeps. */
export interface RequestTraits {
  /** Time that the caller waits for a response, in milliseconds. */
  readonly deadlineMs?: number;
  /** Undefined for requests that are not served by engines. */
  readonly tokens?: TokenCounts;
}

/** Traits of the newest requests of one route. Immutable. */
export class RouteHistory {
  readonly #newest: readonly RequestTraits[];

  constructor(newest: readonly RequestTraits[] = []) {
    this.#newest = newest;
  }

  /** Returns the history with one more request. */
  record(request: RequestTraits): RouteHistory {
    return new RouteHistory([...this.#newest, request].slice(-MAX_REQUESTS));
  }

  /**
   * Returns the estimated time since the caller first sent a request, in
   * milliseconds: the difference between the longest usual deadline and that of
   * the request. 0 while no usual deadline is known.
   */
  ageMs({ deadlineMs }: RequestTraits): number {
    if (deadlineMs === undefined) return 0;
    const counts = new Map<number, number>();
    this.#newest.forEach(({ deadlineMs: one }) => {
      if (one !== undefined) counts.set(one, (counts.get(one) ?? 0) + 1);
    });
    const usual = [...counts].filter(([, count]) => count >= MIN_SAME_DEADLINE)
      .map(([deadline]) => deadline);
    return Math.max(0, Math.max(0, ...usual) - deadlineMs);
  }

  /**
   * Returns the share of the route's newest requests that are smaller than this
   * one; 1 when they cannot be compared.
   */
  sizeRank({ tokens }: RequestTraits): number {
    if (!tokens) return 1;
    const sizes = this.#newest
      .flatMap((one) => one.tokens ? [sizeOf(one.tokens)] : []);
    if (sizes.length < MIN_SIZES) return 1;
    const own = sizeOf(tokens);
    return sizes.filter((size) => size < own).length / sizes.length;
  }
}

function sizeOf({ prompt, output }: TokenCounts): number {
  return prompt + OUTPUT_WEIGHT * output;
}
