/**
 * How often and for how long the parts of the state are read from the store.
 *
 * @module
 */

import { StatePart } from "./ports.ts";

/** How a part of the state is followed. Times are in milliseconds. */
export interface FollowSpec {
  /** Longest time that one call waits for a change. */
  readonly waitMs: number;
  /** Pause between calls, so that one call returns several frequent changes. */
  readonly pauseMs: number;
}

/** Times within which changes have to be in force, in milliseconds. */
export interface FollowBounds {
  /** Time after which an entry that was disturbed has to be up to date. */
  readonly contactMs: number;
  /** Time after which a draining target gets no new work. */
  readonly drainMs: number;
}

/**
 * Part of the contact time for which a call waits: a silent connection is then
 * noticed and replaced in time.
 */
const WAIT_SHARE = 1 / 3;
/** Part of the drain time between two reads of the targets. */
const PAUSE_SHARE = 1 / 5;

/** Returns how each part is followed. */
export function followSpecs(
  { contactMs, drainMs }: FollowBounds,
): Readonly<Record<StatePart, FollowSpec>> {
  const waitMs = WAIT_SHARE * contactMs;
  return {
    [StatePart.Configuration]: { waitMs, pauseMs: 0 },
    [StatePart.Targets]: { waitMs, pauseMs: PAUSE_SHARE * drainMs },
    [StatePart.Peers]: { waitMs: 10_000, pauseMs: 1_000 },
  };
}
