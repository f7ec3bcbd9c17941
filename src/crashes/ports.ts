/**
 * Ports of the service that observes crashes.
 *
 * @module
 */

import type { RecordedQuarantine } from "../serving/mod.ts";
import type { NoticeBoard } from "../notices/mod.ts";

/** Whether a target accepts connections. */
export const Reachability = {
  Accepts: "accepts",
  /** Its host responds, but no process listens at the address. */
  Refuses: "refuses",
  Unknown: "unknown",
} as const;
export type Reachability = typeof Reachability[keyof typeof Reachability];

/** Target as the service identifies it. */
export interface WatchedTarget {
  readonly id: string;
  readonly address: string;
  /** Unix time of its start in milliseconds; undefined when not reported. */
  readonly bornMs?: number;
}

/** What the service knows of the fleet. */
export interface CrashFleet {
  /** False once another start of the target, or none, is listed. */
  isListed(target: WatchedTarget): boolean;
  /** Processes that serve requests, this one included. */
  processes(): readonly string[];
}

/** Changes of the quarantines that the store lists. */
export interface QuarantineChanges {
  readonly begun: readonly RecordedQuarantine[];
  /** Segments whose quarantine has ended. */
  readonly ended: readonly string[];
}

/** Checks by a new connection whether a target accepts connections. */
export type ReachabilityCheck = (
  target: WatchedTarget,
) => Promise<Reachability>;

/** Notices as the service uses them. */
export type CrashNotices = Pick<NoticeBoard, "onNotice" | "post">;
