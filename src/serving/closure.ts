/**
 * Reasons for which a process sends no request to a usable target.
 *
 * @module
 */

/** Why a process sends no request to a target that is usable. */
export const Closure = {
  /** Its connections to the target are in use. */
  Connections: "connections",
  /** No permit under the target's limit is expected now. */
  RateLimit: "rate-limit",
  /** The target has asked for a pause. */
  Pause: "pause",
  /** Its share of the requests to a cold target is used up. */
  ColdShare: "cold-share",
  /** The target is ejected, as it failed or was far slower than others. */
  Ejected: "ejected",
} as const;
export type Closure = typeof Closure[keyof typeof Closure];
