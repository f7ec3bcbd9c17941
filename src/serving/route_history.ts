/**
 * What the newest requests of a route were like. It tells how long ago the
 * caller of a request first sent it, and how large the request is among them:
 * callers that come back after a refusal have less time left than those that
 * come for the first time.
 *
 * @module
 */

/** Requests that are remembered of a route. */
const MAX_REMEMBERED = 64;
/** Requests with the same deadline from which on it is the usual one. */
const MIN_SAME = 3;
/** Requests from which on sizes are compared. */
const MIN_COMPARED = 8;
/** Work of a generated token as a multiple of that of a prompt token. */
const OUTPUT_WEIGHT = 10;

/** Tokens that a request asks an engine for. */
export interface TokenCounts {
  readonly prompt: number;
  /** Most tokens that are generated. */
  readonly output: number;
}

/** What is remembered of one request. */
export interface RequestTraits {
  /** Time that its caller waits, in milliseconds. */
  readonly deadlineMs?: number;
  /** Undefined for requests that no engine serves. */
  readonly tokens?: TokenCounts;
}

/** Newest requests of one route. Immutable. */
export class RouteHistory {
  readonly #newest: readonly RequestTraits[];

  constructor(newest: readonly RequestTraits[] = []) {
    this.#newest = newest;
  }

  /** History after one more request. */
  note(request: RequestTraits): RouteHistory {
    return new RouteHistory([...this.#newest, request].slice(-MAX_REMEMBERED));
  }

  /**
   * Time since the caller first sent a request, in milliseconds: by how much
   * its deadline is below the longest one that several requests have. 0 while
   * no such deadline is known.
   */
  ageMs({ deadlineMs }: RequestTraits): number {
    if (deadlineMs === undefined) return 0;
    const counts = new Map<number, number>();
    this.#newest.forEach(({ deadlineMs: one }) => {
      if (one !== undefined) counts.set(one, (counts.get(one) ?? 0) + 1);
    });
    const usual = [...counts].filter(([, count]) => count >= MIN_SAME)
      .map(([deadline]) => deadline);
    return Math.max(0, Math.max(0, ...usual) - deadlineMs);
  }

  /**
   * Share of the route's newest requests that are smaller than one; 1 when
   * they cannot be compared.
   */
  sizeRank({ tokens }: RequestTraits): number {
    if (!tokens) return 1;
    const sizes = this.#newest
      .flatMap((one) => one.tokens ? [sizeOf(one.tokens)] : []);
    if (sizes.length < MIN_COMPARED) return 1;
    const own = sizeOf(tokens);
    return sizes.filter((size) => size < own).length / sizes.length;
  }
}

function sizeOf({ prompt, output }: TokenCounts): number {
  return prompt + OUTPUT_WEIGHT * output;
}
