/**
 * Builds of the targets of a pool. What two builds write of one stream does not
 * fit together, so a stream stays at the build that began it.
 *
 * @module
 */

import type { ListedTarget, PoolBuild } from "./state_change.ts";

/** Whatever has a build; undefined stands for targets that report none. */
export type BuildHolder = Pick<ListedTarget, "build">;

/** Returns the targets of the same build as `holder`; all without one. */
export function ofBuild(
  targets: readonly ListedTarget[],
  holder: BuildHolder | undefined,
): readonly ListedTarget[] {
  return holder
    ? targets.filter(({ build }) => build === holder.build)
    : targets;
}

/** Version of a build that the store holds no record of. */
export const UNRECORDED = 0;
/** Version of a build that is not known at all. */
const UNKNOWN = -1;
/**
 * Time for which a build counts as one that streams may have begun at after its
 * last target has gone, in milliseconds: several times the longest stream.
 */
export const BUILD_MEMORY_MS = 600_000;

interface BuildRecord extends PoolBuild {
  /** Version of its record in the store. */
  readonly version: number;
  /** Monotonic time at which a target or a record last showed it. */
  readonly seenAt: number;
}

/** Builds that the targets of the pools have had. Immutable. */
export class BuildHistory {
  readonly #records: ReadonlyMap<string, BuildRecord>;

  constructor(records: ReadonlyMap<string, BuildRecord> = new Map()) {
    this.#records = records;
  }

  /** Version of the record of a build, `UNRECORDED` or less without one. */
  versionOf(one: PoolBuild): number {
    return this.#records.get(keyOf(one))?.version ?? UNKNOWN;
  }

  /** Adds a build that is not known yet. */
  add(one: PoolBuild, now: number): BuildHistory {
    return this.#records.has(keyOf(one)) ? this : this.seen(one, now);
  }

  /** Records that a build was in use until monotonic time `now`. */
  seen({ pool, build }: PoolBuild, now: number): BuildHistory {
    const version = Math.max(UNRECORDED, this.versionOf({ pool, build }));
    return this.#with({ pool, build, version, seenAt: now });
  }

  /** Records that the store holds a record of a build. */
  recorded(one: PoolBuild, version: number, now: number): BuildHistory {
    const seenAt = this.#records.get(keyOf(one))?.seenAt ?? now;
    const { pool, build } = one;
    return this.#with({ pool, build, version, seenAt });
  }

  /** Returns the builds of a pool that were in use within a time before `now`. */
  of(
    pool: string,
    now: number,
    memoryMs = BUILD_MEMORY_MS,
  ): readonly string[] {
    return [...this.#records.values()]
      .filter((one) => one.pool === pool && now < one.seenAt + memoryMs)
      .map(({ build }) => build);
  }

  /** All known builds with the versions of their records. */
  get all(): readonly (PoolBuild & { readonly version: number })[] {
    return [...this.#records.values()]
      .map(({ pool, build, version }) => ({ pool, build, version }));
  }

  #with(record: BuildRecord): BuildHistory {
    return new BuildHistory(
      new Map(this.#records).set(keyOf(record), record),
    );
  }
}

function keyOf({ pool, build }: PoolBuild): string {
  return JSON.stringify([pool, build]);
}
