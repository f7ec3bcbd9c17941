/**
 * Copies of the origins that are not shared, at the neighbours with which an
 * entry exchanges its state anyway. They share them when other entries can no
 * longer deduce the origins, even if the entry of the streams is lost by then.
 *
 * @module
 */

import { monotonicMs } from "../kernel/mod.ts";
import {
  Acknowledgements,
  type OriginRecord,
  StreamOrigins,
} from "../serving/mod.ts";
import { MAX_BATCH_RECORDS, type SentOrigin } from "../wire/mod.ts";

/** Copies here of the origins of others, and what others hold of this entry. */
export class OriginBackups {
  #acknowledged = new Acknowledgements();
  #kept = new StreamOrigins();

  /** Copies that this entry keeps for others. */
  get kept(): StreamOrigins {
    return this.#kept;
  }

  /** Returns the records that a peer does not hold yet. */
  missingAt(
    peer: string,
    records: readonly OriginRecord[],
  ): readonly SentOrigin[] {
    const now = monotonicMs();
    const streams = new Set(records.map(({ stream }) => stream));
    this.#acknowledged = this.#acknowledged.retain(streams);
    return records
      .filter(({ stream }) => !this.#acknowledged.has(peer, stream))
      .slice(0, MAX_BATCH_RECORDS)
      .map(({ stream, origin, expiresAt }) => ({
        stream,
        ...origin,
        leftMs: Math.round(expiresAt - now),
      }));
  }

  /** Records that a peer holds what it was sent. */
  held(peer: string, sent: readonly SentOrigin[]): void {
    if (sent.length === 0) return;
    const streams = sent.map(({ stream }) => stream);
    this.#acknowledged = this.#acknowledged.add(peer, streams);
  }

  /** Records that a peer has restarted and holds nothing. */
  forget(peer: string): void {
    this.#acknowledged = this.#acknowledged.forget(peer);
  }

  keep(records: readonly SentOrigin[]): void {
    const now = monotonicMs();
    this.#kept = records.reduce(
      (kept, { stream, pool, build, leftMs }) =>
        kept.add({
          stream,
          origin: { pool, build },
          expiresAt: now + leftMs,
        }, now),
      this.#kept,
    );
  }
}
