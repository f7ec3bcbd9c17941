/**
 * Which entries keep the origin of a stream. The choice depends on the stream's
 * identifier and the registered entries alone, so that an entry that takes the
 * stream up knows whom to ask.
 *
 * @module
 */

import { hashOf, rendezvousOrder } from "../routing/mod.ts";
import type { ListedPeer } from "./state_change.ts";
import type {
  Acknowledgements,
  OriginRecord,
  StreamOrigin,
} from "./stream_origins.ts";

/** Entries that keep an origin besides the one at which the stream began. */
export const ORIGIN_KEEPERS = 3;
/** Groups of streams that have the same keepers. */
export const ORIGIN_BUCKETS = 256;

/** Order in which the entries keep the origins of streams. */
export class KeeperOrder {
  readonly peers: readonly ListedPeer[];
  readonly #byBucket = new Map<number, readonly ListedPeer[]>();

  constructor(peers: readonly ListedPeer[]) {
    this.peers = peers;
  }

  /**
   * Returns all entries, the first choice of a stream's bucket first. The first
   * ones are of different failure domains, since these fail as a whole.
   */
  of(stream: string): readonly ListedPeer[] {
    const bucket = hashOf(stream) % ORIGIN_BUCKETS;
    const known = this.#byBucket.get(bucket);
    if (known) return known;
    const order = spreadOverDomains(
      rendezvousOrder(this.peers, {
        key: `origins/${bucket}`,
        idOf: ({ name }) => name,
      }),
    );
    this.#byBucket.set(bucket, order);
    return order;
  }
}

/**
 * Moves the second entry of each failure domain behind the first ones of all
 * others, and so on.
 */
function spreadOverDomains(
  order: readonly ListedPeer[],
): readonly ListedPeer[] {
  const counts = new Map<string, number>();
  return order
    .map((peer) => {
      const rank = counts.get(peer.failureDomain) ?? 0;
      counts.set(peer.failureDomain, rank + 1);
      return { peer, rank };
    })
    .sort((a, b) => a.rank - b.rank)
    .map(({ peer }) => peer);
}

/** Records to push to one keeper. */
export interface OriginPush {
  readonly peer: ListedPeer;
  readonly records: readonly OriginRecord[];
}

/**
 * Returns what the keepers of the records have not acknowledged. The keepers of
 * a record are the first `ORIGIN_KEEPERS` peers in the order of its stream that
 * are usable or have acknowledged it.
 */
export function unacknowledged(
  records: readonly OriginRecord[],
  opts: {
    readonly order: KeeperOrder;
    readonly acknowledged: Acknowledgements;
    isUsable(peer: ListedPeer): boolean;
  },
): readonly OriginPush[] {
  const pushes = new Map<
    string,
    { peer: ListedPeer; records: OriginRecord[] }
  >();
  const usable = new Map<string, boolean>();
  const isUsable = (peer: ListedPeer): boolean => {
    const known = usable.get(peer.name) ?? opts.isUsable(peer);
    usable.set(peer.name, known);
    return known;
  };
  records.forEach((record) => {
    let keepers = 0;
    for (const peer of opts.order.of(record.stream)) {
      if (keepers === ORIGIN_KEEPERS) break;
      const isHeld = opts.acknowledged.has(peer.name, record.stream);
      if (!isHeld && !isUsable(peer)) continue;
      keepers += 1;
      if (isHeld) continue;
      const push = pushes.get(peer.name) ?? { peer, records: [] };
      push.records.push(record);
      pushes.set(peer.name, push);
    }
  });
  return [...pushes.values()];
}

/** Builds that a process believes a pool to have had. */
export type Builds = ReadonlySet<string | undefined>;

/**
 * Returns the origin of a stream that no process knows: that of the only build
 * that its pool has had. Undefined when another build may have begun it.
 */
export function onlyOrigin(
  pool: string,
  views: readonly Builds[],
): StreamOrigin | undefined {
  const builds = [...new Set(views.flatMap((view) => [...view]))];
  return builds.length === 1 ? { pool, build: builds[0] } : undefined;
}
