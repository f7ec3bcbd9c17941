/**
 * Ports of the service that keeps the limits of targets.
 *
 * @module
 */

import type { NoticeBoard } from "../notices/mod.ts";
import type { ListedPeer } from "../serving/mod.ts";
import type { PermitAnswer, PermitRequest } from "../wire/mod.ts";

/** What the service knows of the other entries. */
export interface RateFleet {
  /** All registered entries, this one included. */
  entries(): readonly ListedPeer[];
  /** False for entries that are silent or leaving. */
  isUsable(peer: ListedPeer): boolean;
}

/** Asks another entry for a permit; rejects when the call fails. */
export type PermitClient = (
  url: string,
  request: PermitRequest,
  signal: AbortSignal,
) => Promise<PermitAnswer>;

/** Notices as the service uses them. */
export type RateNotices = Pick<NoticeBoard, "onNotice" | "post">;
