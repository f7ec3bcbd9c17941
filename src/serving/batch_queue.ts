/**
 * Queue of pieces for the targets of one pool. Most of the time of a call does
 * not depend on its number of pieces, so pieces of different requests share
 * calls. Pieces that can still be on time are ordered by due time, so a call
 * carries those with the least slack.
 *
 * Under overload, pieces that can no longer complete in time leave the queue
 * before they use up a call.
 *
 * @module
 */

/** One queued piece. Times are monotonic milliseconds. */
export interface QueuedPiece<T> {
  readonly item: T;
  /** Identifier of a set of pieces that are useful only together. */
  readonly group: string;
  /** 0 is the most urgent; orders overdue pieces only. */
  readonly priority: number;
  /** Latest start for a response that meets its latency goal. */
  readonly dueAt: number;
  /** Time after which the result is no longer useful. */
  readonly expiresAt: number;
  /**
   * True for a piece of a resumed stream, which does not fall behind others
   * once it is overdue.
   */
  readonly isResumed?: boolean;
  /** Memory that the result needs at the target, in bytes. */
  readonly bytes: number;
  /** Preferred failure domain. */
  readonly domain?: string;
  /** Time from which targets of any failure domain may process it. */
  readonly anyDomainAt: number;
}

/**
 * Backlog of a failure domain above which its pieces may go to targets of
 * other domains, as a share of one full call for each of its targets: a
 * smaller backlog is cleared as soon as the next target is free.
 */
const BACKLOG_SHARE = 0.5;
/**
 * Time added to the due time of a piece at a target outside its preferred
 * failure domain, in milliseconds: half of a call, so that the piece waits for
 * a target of that domain that is about to be free.
 */
const REMOTE_PENALTY_MS = 250;

/**
 * Time before a piece may go to targets of any failure domain from which it
 * fills up a call to one, in milliseconds. An earlier one would have its result
 * read across domains although a target of its own is about to be free.
 */
const FILL_LEAD_MS = 250;

/** Bounds of one call. */
export interface CallBounds {
  readonly maxPieces: number;
  /** Result memory left at the target, in bytes. */
  readonly roomBytes: number;
  /** Failure domain of the target. */
  readonly domain?: string;
  /** Number of the pool's targets that accept calls, by failure domain. */
  readonly domains?: ReadonlyMap<string, number>;
}

/** Queued pieces of one pool. Immutable. */
export class BatchQueue<T> {
  readonly #pieces: readonly QueuedPiece<T>[];

  constructor(pieces: readonly QueuedPiece<T>[] = []) {
    this.#pieces = pieces;
  }

  get length(): number {
    return this.#pieces.length;
  }

  /** Returns the queue with more pieces. */
  add(pieces: readonly QueuedPiece<T>[]): BatchQueue<T> {
    return new BatchQueue([...this.#pieces, ...pieces]);
  }

  /** Returns the queue without the pieces of a group. */
  discard(group: string): BatchQueue<T> {
    return new BatchQueue(this.#pieces.filter((one) => one.group !== group));
  }

  /** Returns the queue without its expired pieces, and these pieces. */
  expire(now: number): [BatchQueue<T>, readonly QueuedPiece<T>[]] {
    const expired = this.#pieces.filter(({ expiresAt }) => expiresAt <= now);
    if (expired.length === 0) return [this, expired];
    const kept = this.#pieces.filter(({ expiresAt }) => expiresAt > now);
    return [new BatchQueue(kept), expired];
  }

  /**
   * Returns the queue without the pieces that are overdue by more than
   * `graceMs`, and these pieces. Sheds none unless more than `minOnTime` pieces
   * can still be on time.
   */
  shed(
    now: number,
    { graceMs, minOnTime }: {
      readonly graceMs: number;
      readonly minOnTime: number;
    },
  ): [BatchQueue<T>, readonly QueuedPiece<T>[]] {
    const onTime = this.#pieces.filter(({ dueAt }) => dueAt >= now).length;
    if (onTime <= minOnTime) return [this, []];
    const isShed = ({ dueAt, isResumed }: QueuedPiece<T>) =>
      dueAt + graceMs < now && !isResumed;
    const overdue = this.#pieces.filter(isShed);
    const kept = this.#pieces.filter((one) => !isShed(one));
    return [new BatchQueue(kept), overdue];
  }

  /**
   * Takes the pieces of one call, as many as the result memory of the target
   * can hold: first those that can still be on time, by due time, then the
   * overdue ones, by priority. If a group is split, its remaining pieces that
   * prefer no failure domain get that of the target, so that the results of
   * the group are read from one domain.
   */
  take(
    bounds: CallBounds,
    now: number,
  ): [BatchQueue<T>, readonly QueuedPiece<T>[]] {
    const { maxPieces, roomBytes, domain } = bounds;
    const eligible = this.#eligible(bounds, now);
    // Most of the time of a call does not depend on its number of pieces, so
    // one that is sent in any case also takes pieces of other domains that have
    // waited for a target of theirs.
    const fillers = eligible.length > 0
      ? this.#pieces.filter((one) => one.anyDomainAt - now <= FILL_LEAD_MS)
      : [];
    const candidates = [...new Set([...eligible, ...fillers])];
    const ordered = candidates
      .map((one) => ({ one, sortKey: sortKeyAt(one, bounds, now) }))
      .sort((a, b) => compare(a.sortKey, b.sortKey, now))
      .map(({ one }) => one);
    let remainingPieces = maxPieces;
    let remainingBytes = roomBytes;
    const taken = ordered.filter((one) => {
      const isTaken = remainingPieces > 0 && one.bytes <= remainingBytes;
      if (!isTaken) return false;
      remainingPieces -= 1;
      remainingBytes -= one.bytes;
      return true;
    });
    const takenSet = new Set(taken);
    const groups = new Set(taken.map(({ group }) => group));
    const rest = this.#pieces.filter((one) => !takenSet.has(one))
      .map((one) =>
        one.domain === undefined && groups.has(one.group)
          ? { ...one, domain }
          : one
      );
    return [new BatchQueue(rest), taken];
  }

  /** Returns the number of pieces that a target may take now. */
  countEligible(bounds: CallBounds, now: number): number {
    return this.#eligible(bounds, now).length;
  }

  #eligible(bounds: CallBounds, now: number): readonly QueuedPiece<T>[] {
    const backlogged = this.#backloggedDomains(bounds);
    return this.#pieces.filter((one) =>
      !isHeldForDomain(one, bounds, backlogged, now)
    );
  }

  /** Returns the failure domains with a larger backlog than allowed. */
  #backloggedDomains({ maxPieces, domains }: CallBounds): ReadonlySet<string> {
    const waiting = new Map<string, number>();
    this.#pieces.forEach(({ domain }) => {
      if (domain !== undefined) {
        waiting.set(domain, (waiting.get(domain) ?? 0) + 1);
      }
    });
    const backlogged = [...waiting].filter(([domain, pieces]) =>
      pieces >
        BACKLOG_SHARE * maxPieces *
          (domains?.get(domain) ?? Number.POSITIVE_INFINITY)
    );
    return new Set(backlogged.map(([domain]) => domain));
  }

  /** Returns the time until the next piece may go to any target, in ms. */
  nextAnyDomainMs(now: number): number {
    return this.#pieces.filter(({ anyDomainAt }) => anyDomainAt > now)
      .reduce(
        (least, { anyDomainAt }) => Math.min(least, anyDomainAt - now),
        Number.POSITIVE_INFINITY,
      );
  }

  /** Returns the earliest due time of a piece; infinite without pieces. */
  get firstDueAt(): number {
    return this.#pieces.reduce(
      (first, { dueAt }) => Math.min(first, dueAt),
      Number.POSITIVE_INFINITY,
    );
  }

  /** Returns the result size of the piece that is next in order, in bytes. */
  nextBytes(now: number): number {
    const next = this.#pieces.reduce<QueuedPiece<T> | undefined>(
      (best, one) => best && compare(best, one, now) <= 0 ? best : one,
      undefined,
    );
    return next?.bytes ?? 0;
  }
}

/** Returns the sort key of a piece; at a remote target it yields if on time. */
function sortKeyAt<T>(
  piece: QueuedPiece<T>,
  bounds: CallBounds,
  now: number,
): SortKey {
  if (!isRemote(piece, bounds) || piece.dueAt < now) return piece;
  return { ...piece, dueAt: piece.dueAt + REMOTE_PENALTY_MS };
}

/** True when a piece prefers another failure domain that has targets. */
function isRemote<T>(
  { domain: preferred }: QueuedPiece<T>,
  { domain, domains }: CallBounds,
): boolean {
  if (preferred === undefined || domain === undefined) return false;
  return preferred !== domain &&
    (domains === undefined || domains.has(preferred));
}

/** True while a piece is reserved for targets of its failure domain. */
function isHeldForDomain<T>(
  piece: QueuedPiece<T>,
  bounds: CallBounds,
  backlogged: ReadonlySet<string>,
  now: number,
): boolean {
  return isRemote(piece, bounds) && piece.anyDomainAt > now &&
    !backlogged.has(piece.domain ?? "");
}

type SortKey = Pick<
  QueuedPiece<unknown>,
  "priority" | "dueAt" | "isResumed"
>;

function compare(a: SortKey, b: SortKey, now: number): number {
  const isAOverdue = a.dueAt < now && !a.isResumed;
  const isBOverdue = b.dueAt < now && !b.isResumed;
  if (isAOverdue !== isBOverdue) return isAOverdue ? 1 : -1;
  if (isAOverdue && a.priority !== b.priority) return a.priority - b.priority;
  return a.dueAt - b.dueAt;
}
