/**
 * Decides whose connections are closed first when clients hold more memory or
 * connections than the process may spend on them.
 *
 * @module
 */

/** What a connection waits for. */
export const HolderPhase = {
  /** The rest of a request. */
  Reading: "reading",
  /** The next request. */
  Idle: "idle",
  /** The client, which does not read a response. */
  Unread: "unread",
  /** Responses to several requests in hand, or sent ahead of them. */
  Pipelined: "pipelined",
  /** The response to a request in hand. */
  Serving: "serving",
} as const;
export type HolderPhase = typeof HolderPhase[keyof typeof HolderPhase];

/** A connection and what it holds. */
export interface Holder {
  /** Address of the client. */
  readonly address: string;
  readonly bytes: number;
  readonly phase: HolderPhase;
  /** Time since its last progress, in milliseconds. */
  readonly stalledMs: number;
}

/** What the process is short of. */
export const Shortage = {
  Memory: "memory",
  Connections: "connections",
} as const;
export type Shortage = typeof Shortage[keyof typeof Shortage];

/**
 * Time without progress after which a connection counts as stalled, in
 * milliseconds: longer than the pauses that lost packets cause.
 */
const STALLED_MS = 1_000;
/**
 * An address that holds this many times what the asking address holds also
 * loses connections that are not stalled.
 */
const HEAVY_RATIO = 2;

/** Phases in the order of what closing the connection costs its client. */
const RANKS: Readonly<Record<HolderPhase, number>> = {
  [HolderPhase.Reading]: 0,
  [HolderPhase.Idle]: 1,
  [HolderPhase.Unread]: 2,
  [HolderPhase.Pipelined]: 3,
  [HolderPhase.Serving]: 4,
};

/**
 * Returns the holders that may be closed for the sake of `asker`, the first one
 * first: unfinished requests before finished ones, stalled ones before others,
 * those of the address that holds most, then the longest stalled. A client that
 * waits for the response to one request is never among them.
 */
export function shedOrder<H extends Holder>(
  holders: readonly H[],
  opts: { readonly shortage: Shortage; readonly asker?: Holder },
): readonly H[] {
  const { shortage, asker } = opts;
  const weightOf = weights(holders, shortage);
  const ownWeight = asker ? weightOf(asker) : Infinity;
  const mayBeShed = (holder: H) =>
    holder !== asker && holder.phase !== HolderPhase.Serving &&
    !(shortage === Shortage.Memory && holder.phase === HolderPhase.Idle) &&
    (isStalled(holder) || weightOf(holder) > HEAVY_RATIO * ownWeight);
  return holders.filter(mayBeShed).sort((a, b) =>
    RANKS[a.phase] - RANKS[b.phase] ||
    Number(isStalled(b)) - Number(isStalled(a)) ||
    weightOf(b) - weightOf(a) ||
    b.stalledMs - a.stalledMs
  );
}

function isStalled({ stalledMs }: Holder): boolean {
  return stalledMs >= STALLED_MS;
}

/** Returns what the address of a holder holds of what is short. */
function weights(
  holders: readonly Holder[],
  shortage: Shortage,
): (holder: Holder) => number {
  const sums = new Map<string, number>();
  holders.forEach(({ address, bytes }) => {
    const weight = shortage === Shortage.Memory ? bytes : 1;
    sums.set(address, (sums.get(address) ?? 0) + weight);
  });
  return ({ address }) => sums.get(address) ?? 0;
}
