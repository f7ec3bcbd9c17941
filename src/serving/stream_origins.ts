/**
 * Which build began which stream. What two builds write of one stream does not
 * fit together, so a process that takes a stream up has to know its origin.
 *
 * @module
 */

/** Pool and build of the target that made the first event of a stream. */
export interface StreamOrigin {
  readonly pool: string;
  /** Undefined when the target reports no build. */
  readonly build?: string;
}

/** Origin of one stream, kept for a bounded time. */
export interface OriginRecord {
  /** Identifier of the caller's attempt that brought the first event. */
  readonly stream: string;
  readonly origin: StreamOrigin;
  /** Monotonic time at which the record expires. */
  readonly expiresAt: number;
}

/**
 * Time for which an origin is kept after the first event of a response, in
 * milliseconds: callers take a stream up until their deadline.
 */
export const ORIGIN_TTL_MS = 60_000;
/** Maximum number of origins; the oldest are discarded first. */
export const MAX_ORIGINS = 16_384;

/** Time for which records are added to one slice, in milliseconds. */
const SLICE_MS = 5_000;
/** Maximum number of records in one slice; an addition copies one slice. */
const MAX_SLICE = 256;

/** Records that were added within `SLICE_MS`. */
interface Slice {
  readonly openedAt: number;
  readonly records: ReadonlyMap<string, OriginRecord>;
}

/** Origins of streams by their identifiers. Immutable. */
export class StreamOrigins {
  /** The newest slice first. */
  readonly #slices: readonly Slice[];

  constructor(slices: readonly Slice[] = []) {
    this.#slices = slices;
  }

  /** Number of records, including expired ones that were not yet discarded. */
  get size(): number {
    return this.#slices.reduce((sum, { records }) => sum + records.size, 0);
  }

  /**
   * Returns the origins with another record, which expires after at most
   * `ORIGIN_TTL_MS`. The origin of a stream never changes: for a known one, only
   * the expiry is extended.
   */
  add(record: OriginRecord, now: number): StreamOrigins {
    const known = this.#find(record.stream, now);
    const expiresAt = Math.min(
      now + ORIGIN_TTL_MS,
      Math.max(record.expiresAt, known?.expiresAt ?? 0),
    );
    if (known && known.expiresAt >= expiresAt) return this;
    if (expiresAt <= now) return this;
    const added = { ...record, origin: known?.origin ?? record.origin };
    const [newest, ...older] = this.#slices;
    const hasRoom = newest !== undefined && newest.records.size < MAX_SLICE &&
      now - newest.openedAt < SLICE_MS;
    const slice: Slice = hasRoom
      ? newest
      : { openedAt: now, records: new Map() };
    const records = new Map(slice.records)
      .set(record.stream, { ...added, expiresAt });
    const slices = [
      { ...slice, records },
      ...(hasRoom ? older : this.#slices),
    ];
    return new StreamOrigins(
      slices.filter(({ openedAt }) => now - openedAt < SLICE_MS + ORIGIN_TTL_MS)
        .slice(0, MAX_ORIGINS / MAX_SLICE),
    );
  }

  /** Returns the origin of a stream; undefined when it is not known. */
  of(stream: string, now: number): StreamOrigin | undefined {
    return this.#find(stream, now)?.origin;
  }

  /** Returns the records that have not expired, each stream once. */
  live(now: number): readonly OriginRecord[] {
    const newest = new Map<string, OriginRecord>();
    this.#slices.forEach(({ records }) =>
      records.forEach((record) => {
        if (newest.has(record.stream) || record.expiresAt <= now) return;
        newest.set(record.stream, record);
      })
    );
    return [...newest.values()];
  }

  #find(stream: string, now: number): OriginRecord | undefined {
    for (const { records } of this.#slices) {
      const record = records.get(stream);
      if (record) return record.expiresAt > now ? record : undefined;
    }
    return undefined;
  }
}

/** Which peers have acknowledged which records of this process. Immutable. */
export class Acknowledgements {
  readonly #byPeer: ReadonlyMap<string, ReadonlySet<string>>;

  constructor(byPeer: ReadonlyMap<string, ReadonlySet<string>> = new Map()) {
    this.#byPeer = byPeer;
  }

  has(peer: string, stream: string): boolean {
    return this.#byPeer.get(peer)?.has(stream) ?? false;
  }

  /** Records that a peer keeps the streams. */
  add(peer: string, streams: readonly string[]): Acknowledgements {
    const known = this.#byPeer.get(peer) ?? new Set();
    return this.#with(peer, new Set([...known, ...streams]));
  }

  /** Removes what a peer has acknowledged, which may have lost its records. */
  forget(peer: string): Acknowledgements {
    return this.#byPeer.has(peer) ? this.#with(peer, new Set()) : this;
  }

  /** Keeps the acknowledgements of the given streams only. */
  retain(streams: ReadonlySet<string>): Acknowledgements {
    return new Acknowledgements(
      new Map(
        [...this.#byPeer].map(([peer, known]) =>
          [peer, new Set([...known].filter((one) => streams.has(one)))] as const
        ).filter(([, known]) => known.size > 0),
      ),
    );
  }

  #with(peer: string, streams: ReadonlySet<string>): Acknowledgements {
    return new Acknowledgements(new Map(this.#byPeer).set(peer, streams));
  }
}
