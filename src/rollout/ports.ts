/**
 * Ports of the service that carries out rollouts.
 *
 * @module
 */

import type {
  FleetState,
  ListedPeer,
  RolloutVerdict,
  StateChange,
} from "../serving/mod.ts";
import type { RolloutAnswer, RolloutReport } from "../wire/mod.ts";
import type { ExposureBounds } from "./exposure.ts";

/** Bounds of a rollout. */
export interface RolloutBounds extends ExposureBounds {
  /** Time from the 50th bad response to the last request, in milliseconds. */
  readonly rollbackMs: number;
  /** Time without contact after which a process is out of date, in ms. */
  readonly contactMs: number;
}

/** What the service knows of the fleet. */
export interface RolloutFleet {
  state(): FleetState;
  /** All registered entries, this one included. */
  entries(): readonly ListedPeer[];
  /** False for entries that are silent or leaving. */
  isUsable(peer: ListedPeer): boolean;
  /** Time since the last response of the store, in milliseconds. */
  storeAgeMs(): number;
  /** Era of the store from which the decisions were read. */
  storeEra(): number;
  /** Applies changes that the store has returned. */
  learn(changes: readonly StateChange[]): void;
}

/** Decision to write to the store. */
export interface RolloutWrite {
  readonly pool: string;
  readonly verdict: RolloutVerdict;
  /** Time since the order, in milliseconds. */
  readonly ageMs: number;
  /** Version that the decision's row has to have; 0: no row. */
  readonly expected: number;
}

/** What a write has led to. */
export interface RolloutWritten {
  /** False when the row had another version; nothing was written then. */
  readonly isWritten: boolean;
  /** The row as it is now. */
  readonly changes: readonly StateChange[];
}

/** Writes a decision; undefined when the store does not accept it. */
export type RolloutWriter = (
  write: RolloutWrite,
  signal: AbortSignal,
) => Promise<RolloutWritten | undefined>;

/** Reports to another entry; rejects when the call fails. */
export type RolloutClient = (
  url: string,
  report: RolloutReport,
  signal: AbortSignal,
) => Promise<RolloutAnswer>;
