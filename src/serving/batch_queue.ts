/**
 * Queue of pieces in front of the targets of one pool. A call costs most of
 * its time whatever it carries, so pieces of all requests share calls; the
 * order is by slack, so that a call carries what is due first.
 *
 * Answers the load in which requests for more pieces arrive than the targets
 * can work on: what can no longer end in time leaves before it costs a call.
 *
 * @module
 */

/** One piece that waits. Times are monotonic milliseconds. */
export interface QueuedPiece<T> {
  readonly item: T;
  /** Group of pieces that is useful only as a whole. */
  readonly group: string;
  /** Rank; 0 is the most urgent. */
  readonly priority: number;
  /** Latest useful start for an answer that earns its full credit. */
  readonly dueAt: number;
  /** Time after which the result is of no use. */
  readonly expiresAt: number;
  /** Room that the result takes, in bytes. */
  readonly bytes: number;
  /** Failure domain in which it is best worked on. */
  readonly domain?: string;
  /** Time from which on any target may work on it. */
  readonly anywhereAt: number;
}

/**
 * Share of a call of each near target from which on pieces that wait for them
 * may go elsewhere: less is gone when the next one is free.
 */
const BACKLOG_SHARE = 0.5;
/**
 * Time by which a piece yields at a target outside its failure domain, in
 * milliseconds: half of a call, so that it waits for a near target that is soon
 * free.
 */
const FAR_PENALTY_MS = 250;

/** Bounds of one call. */
export interface CallBounds {
  readonly maxPieces: number;
  /** Room for results at the target, in bytes. */
  readonly roomBytes: number;
  /** Failure domain of the target. */
  readonly domain?: string;
  /** Number of the pool's targets that take calls, by failure domain. */
  readonly domains?: ReadonlyMap<string, number>;
}

/** Pieces that wait, in the order in which they are taken. Immutable. */
export class BatchQueue<T> {
  readonly #pieces: readonly QueuedPiece<T>[];

  constructor(pieces: readonly QueuedPiece<T>[] = []) {
    this.#pieces = pieces;
  }

  get length(): number {
    return this.#pieces.length;
  }

  /** Queue with more pieces. */
  add(pieces: readonly QueuedPiece<T>[]): BatchQueue<T> {
    return new BatchQueue([...this.#pieces, ...pieces]);
  }

  /** Queue without the pieces of a group. */
  drop(group: string): BatchQueue<T> {
    return new BatchQueue(this.#pieces.filter((one) => one.group !== group));
  }

  /** Queue without the pieces that expired, and those. */
  expire(now: number): [BatchQueue<T>, readonly QueuedPiece<T>[]] {
    const expired = this.#pieces.filter(({ expiresAt }) => expiresAt <= now);
    if (expired.length === 0) return [this, expired];
    const kept = this.#pieces.filter(({ expiresAt }) => expiresAt > now);
    return [new BatchQueue(kept), expired];
  }

  /**
   * Queue without the pieces that are late by more than `graceMs`, and those,
   * when more than `enough` others can still be on time.
   */
  shed(
    now: number,
    { graceMs, enough }: { readonly graceMs: number; readonly enough: number },
  ): [BatchQueue<T>, readonly QueuedPiece<T>[]] {
    const onTime = this.#pieces.filter(({ dueAt }) => dueAt >= now).length;
    if (onTime <= enough) return [this, []];
    const late = this.#pieces.filter(({ dueAt }) => dueAt + graceMs < now);
    const kept = this.#pieces.filter(({ dueAt }) => dueAt + graceMs >= now);
    return [new BatchQueue(kept), late];
  }

  /**
   * Takes the pieces of one call: those that can still be on time by their
   * due time, then the late ones, as long as there is room for their results.
   * What is left of a group that was split waits for the same failure domain,
   * so that its results are read from one.
   */
  take(
    bounds: CallBounds,
    now: number,
  ): [BatchQueue<T>, readonly QueuedPiece<T>[]] {
    const { maxPieces, roomBytes, domain } = bounds;
    const ordered = this.#open(bounds, now)
      .map((one) => ({ one, rank: rankAt(one, bounds, now) }))
      .sort((a, b) => compare(a.rank, b.rank, now))
      .map(({ one }) => one);
    let left = roomBytes;
    const fits = ordered.filter((one, at) => {
      const isTaken = at < maxPieces && one.bytes <= left;
      if (isTaken) left -= one.bytes;
      return isTaken;
    });
    const taken = new Set(fits);
    const groups = new Set(fits.map(({ group }) => group));
    const rest = this.#pieces.filter((one) => !taken.has(one))
      .map((one) =>
        one.domain === undefined && groups.has(one.group)
          ? { ...one, domain }
          : one
      );
    return [new BatchQueue(rest), fits];
  }

  /** Number of pieces that a target may take. */
  countOpen(bounds: CallBounds, now: number): number {
    return this.#open(bounds, now).length;
  }

  #open(bounds: CallBounds, now: number): readonly QueuedPiece<T>[] {
    const backlog = this.#backlog(bounds);
    return this.#pieces.filter((one) => !isKept(one, bounds, backlog, now));
  }

  /** Failure domains with more pieces than their targets take soon. */
  #backlog({ maxPieces, domains }: CallBounds): ReadonlySet<string> {
    const waiting = new Map<string, number>();
    this.#pieces.forEach(({ domain }) => {
      if (domain !== undefined) {
        waiting.set(domain, (waiting.get(domain) ?? 0) + 1);
      }
    });
    const long = [...waiting].filter(([domain, pieces]) =>
      pieces >
        BACKLOG_SHARE * maxPieces *
          (domains?.get(domain) ?? Number.POSITIVE_INFINITY)
    );
    return new Set(long.map(([domain]) => domain));
  }

  /** Time until the next piece may go to any target, in milliseconds. */
  nextAnywhereMs(now: number): number {
    return this.#pieces.filter(({ anywhereAt }) => anywhereAt > now)
      .reduce(
        (least, { anywhereAt }) => Math.min(least, anywhereAt - now),
        Number.POSITIVE_INFINITY,
      );
  }

  /** Size of the result of the piece that is taken next, in bytes. */
  nextBytes(now: number): number {
    const next = this.#pieces.reduce<QueuedPiece<T> | undefined>(
      (best, one) => best && compare(best, one, now) <= 0 ? best : one,
      undefined,
    );
    return next?.bytes ?? 0;
  }
}

/** Rank of a piece at a target; a far one yields unless it is late. */
function rankAt<T>(
  piece: QueuedPiece<T>,
  bounds: CallBounds,
  now: number,
): Rank {
  if (!isFar(piece, bounds) || piece.dueAt < now) return piece;
  return { priority: piece.priority, dueAt: piece.dueAt + FAR_PENALTY_MS };
}

/** True when a target elsewhere would be nearer to the piece's data. */
function isFar<T>(
  { domain: wanted }: QueuedPiece<T>,
  { domain, domains }: CallBounds,
): boolean {
  if (wanted === undefined || domain === undefined) return false;
  return wanted !== domain && (domains === undefined || domains.has(wanted));
}

/** True while a piece is kept for a target in its failure domain. */
function isKept<T>(
  piece: QueuedPiece<T>,
  bounds: CallBounds,
  backlog: ReadonlySet<string>,
  now: number,
): boolean {
  return isFar(piece, bounds) && piece.anywhereAt > now &&
    !backlog.has(piece.domain ?? "");
}

type Rank = Pick<QueuedPiece<unknown>, "priority" | "dueAt">;

function compare(a: Rank, b: Rank, now: number): number {
  const isALate = a.dueAt < now;
  const isBLate = b.dueAt < now;
  if (isALate !== isBLate) return isALate ? 1 : -1;
  if (isALate && a.priority !== b.priority) return a.priority - b.priority;
  return a.dueAt - b.dueAt;
}
