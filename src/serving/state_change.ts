/**
 * Rows of the store as decoded changes: targets, entries, the configuration and
 * the builds of the pools.
 *
 * @module
 */

import type { CatalogSpec } from "./catalog.ts";

/** State that a target reports about itself. */
export const TargetState = { Ready: "ready", Draining: "draining" } as const;
export type TargetState = typeof TargetState[keyof typeof TargetState];

/** One start of a target. */
export interface TargetStart {
  readonly id: string;
  /** Unix time of the start in milliseconds; undefined when not reported. */
  readonly bornMs?: number;
}

/** Identifies one start of a target. */
export function startKey({ id, bornMs }: TargetStart): string {
  return bornMs === undefined ? id : `${id}@${bornMs}`;
}

/** Target as listed in the store. */
export interface ListedTarget {
  readonly id: string;
  readonly pool: string;
  /** `IP:PORT`. */
  readonly address: string;
  readonly failureDomain: string;
  /** Version of its software; undefined when not reported. */
  readonly build?: string;
  readonly state: TargetState;
  /** Remaining time of its cold start, in milliseconds. */
  readonly coldMs: number;
  /** Unix time of its start in milliseconds; undefined when not reported. */
  readonly bornMs?: number;
  /** Number of its report, which grows with each one since its start. */
  readonly report?: number;
}

/** Entry as it registered itself. */
export interface ListedPeer {
  readonly name: string;
  /** Base URL of its control address. */
  readonly url: string;
  readonly failureDomain: string;
  /** Processor time that it may use, in cores; undefined if not reported. */
  readonly capacity?: number;
}

/** Build that targets of a pool have or had. */
export interface PoolBuild {
  readonly pool: string;
  readonly build: string;
}

/** Segment of prompts that is kept away from targets. */
export interface RecordedQuarantine {
  readonly segment: string;
  /** Crashes of targets that are attributed to it. */
  readonly crashes: number;
}

/** Operator's order to move the requests of a pool to the targets of a build. */
export interface RolloutOrder {
  readonly to: string;
  /** Time from the order to its deadline, in milliseconds. */
  readonly durationMs: number;
}

/** How far a rollout has come; the last two are final. */
export const RolloutPhase = {
  /** A small share of the requests goes to the new build. */
  Observing: "observing",
  /** All new requests go to the new build. */
  Shifting: "shifting",
  Completed: "completed",
  Reverted: "reverted",
} as const;
export type RolloutPhase = typeof RolloutPhase[keyof typeof RolloutPhase];

/** Decision on an order, as recorded in the store. */
export interface RolloutVerdict {
  /** Number of the version of the order's row, which identifies the order. */
  readonly order: number;
  readonly to: string;
  readonly phase: RolloutPhase;
  /** Builds that the pool had beside `to`; null: targets that report none. */
  readonly from: readonly (string | null)[];
}

/**
 * One decoded change of the store. `version` grows with each change; see
 * `versionInEra`.
 */
export type StateChange =
  | {
    readonly kind: "catalog";
    readonly version: number;
    readonly catalog: CatalogSpec;
  }
  | {
    readonly kind: "target";
    readonly version: number;
    readonly id: string;
    /** Undefined once the target is removed. */
    readonly target?: ListedTarget;
    /**
     * True when it may be gone only because its row could not be renewed;
     * undefined while that is not decided.
     */
    readonly hasLapsed?: boolean;
    /** Time that it then has to be listed again, in milliseconds. */
    readonly lapseMs?: number;
  }
  | {
    readonly kind: "domain";
    readonly version: number;
    readonly failureDomain: string;
    readonly isOut: boolean;
  }
  | {
    readonly kind: "peer";
    readonly version: number;
    readonly name: string;
    readonly peer?: ListedPeer;
  }
  | {
    readonly kind: "quarantine";
    readonly version: number;
    readonly segment: string;
    /** Undefined once the quarantine has ended. */
    readonly crashes?: number;
  }
  | {
    readonly kind: "rollout-order";
    readonly version: number;
    readonly pool: string;
    /** Undefined once the order is withdrawn. */
    readonly order?: RolloutOrder;
  }
  | {
    readonly kind: "rollout-verdict";
    readonly version: number;
    readonly pool: string;
    /** Undefined when the row was removed or is no decision. */
    readonly verdict?: RolloutVerdict;
    readonly isRemoved?: boolean;
    /** Time since its order was first seen, in milliseconds. */
    readonly ageMs?: number;
  }
  /** A build that a pool has had, with the version of its record. */
  | ({ readonly kind: "build"; readonly version: number } & PoolBuild);
