/**
 * Origins that streams have when the store holds no record of them. A stream
 * that begins elsewhere is recorded before its caller sees an event, so that its
 * origin is known even after all entries have ended at once.
 *
 * @module
 */

import { poolFor, type Route } from "./catalog.ts";
import type { RouteAddress } from "./route_versions.ts";
import { ORIGIN_TTL_MS, type StreamOrigin } from "./stream_origins.ts";

/**
 * Time for which a default has to be missing before another one may take its
 * place, in milliseconds: by then every entry that reaches the store has read
 * that it is missing, and records the streams that began by the old one.
 */
export const SETTLE_MS = 10_000;

/** Build of the streams of a pool; undefined for targets that report none. */
export interface DefaultBuild {
  readonly pool: string;
  readonly build?: string;
}

/** Pools of the streams of a route, with the weights that divide them. */
export interface DefaultRoute {
  readonly address: RouteAddress;
  readonly pools: Route["pools"];
}

/** What an entry sees now of the routes and pools of resumable streams. */
export interface ObservedOrigins {
  readonly builds: readonly DefaultBuild[];
  readonly routes: readonly DefaultRoute[];
}

/** Origins of the streams that have no record. Immutable. */
export class DefaultOrigins {
  /** Era of the store for which they hold. */
  readonly era: number;
  readonly builds: readonly DefaultBuild[];
  readonly routes: readonly DefaultRoute[];
  readonly #builds: ReadonlyMap<string, DefaultBuild>;
  readonly #routes: ReadonlyMap<string, DefaultRoute>;

  constructor({ era, builds, routes }: ObservedOrigins & { era: number }) {
    this.era = era;
    this.builds = builds;
    this.routes = routes;
    this.#builds = new Map(builds.map((one) => [one.pool, one]));
    this.#routes = new Map(routes.map((one) => [keyOf(one.address), one]));
  }

  /**
   * Returns the origin of a stream without a record; undefined when every stream
   * of its route or pool has one.
   */
  of(stream: string, address: RouteAddress): StreamOrigin | undefined {
    const route = this.#routes.get(keyOf(address));
    const pool = route && poolFor(route, stream);
    const found = pool === undefined ? undefined : this.#builds.get(pool);
    return found && { pool: found.pool, build: found.build };
  }

  /** True when a stream needs no record of its origin. */
  covers(
    stream: string,
    address: RouteAddress,
    { pool, build }: StreamOrigin,
  ): boolean {
    const origin = this.of(stream, address);
    return origin?.pool === pool && origin.build === build;
  }
}

/** Builds and pools that streams may have begun at within their lives. */
export class RecentOrigins {
  readonly #builds: Recent<DefaultBuild>;
  readonly #routes: Recent<DefaultRoute>;
  readonly #startedAt: number;

  constructor(
    startedAt: number,
    builds: Recent<DefaultBuild> = new Recent(),
    routes: Recent<DefaultRoute> = new Recent(),
  ) {
    this.#startedAt = startedAt;
    this.#builds = builds;
    this.#routes = routes;
  }

  /** Returns them with what is seen at monotonic time `now`. */
  next({ builds, routes }: ObservedOrigins, now: number): RecentOrigins {
    return new RecentOrigins(
      this.#startedAt,
      this.#builds.next(builds.map((one) => [one.pool, one]), now),
      this.#routes.next(routes.map((one) => [keyOf(one.address), one]), now),
    );
  }

  /** True once everything that a live stream may have begun at was seen. */
  isComplete(now: number): boolean {
    return now >= this.#startedAt + ORIGIN_TTL_MS;
  }

  /**
   * Returns the defaults that should follow `known`, those that the store holds;
   * undefined for none. Defaults at which nothing has begun for the life of a
   * stream are dropped, and missing ones are added where all streams begin alike.
   */
  defaultsAfter(
    known: DefaultOrigins | undefined,
    opts: { readonly era: number; readonly now: number },
  ): DefaultOrigins {
    const { era, now } = opts;
    const isOtherEra = known !== undefined && known.era !== era;
    // A restored store may lack records of streams that began elsewhere.
    if (isOtherEra && !this.isComplete(now)) return known;
    const before = isOtherEra ? undefined : known;
    const rules = {
      isComplete: this.isComplete(now),
      settledAt: known ? now - SETTLE_MS : Infinity,
    };
    return new DefaultOrigins({
      era,
      builds: this.#builds.defaultsAfter(
        new Map(before?.builds.map((one) => [one.pool, one])),
        rules,
      ),
      routes: this.#routes.defaultsAfter(
        new Map(before?.routes.map((one) => [keyOf(one.address), one])),
        rules,
      ),
    });
  }

  /** Records which defaults the store lacks at monotonic time `now`. */
  withMissing(known: DefaultOrigins | undefined, now: number): RecentOrigins {
    const builds = new Set(known?.builds.map(({ pool }) => pool));
    const routes = new Set(known?.routes.map(({ address }) => keyOf(address)));
    return new RecentOrigins(
      this.#startedAt,
      this.#builds.withMissing(builds, now),
      this.#routes.withMissing(routes, now),
    );
  }
}

interface Sighting<T> {
  readonly key: string;
  readonly value: T;
  /** Monotonic time at which it was last in use. */
  readonly seenAt: number;
}

/** Values of some keys that were in use within the life of a stream. */
class Recent<T> {
  readonly #sightings: ReadonlyMap<string, Sighting<T>>;
  /** Monotonic times since which the store has no default, by key. */
  readonly #missingSince: ReadonlyMap<string, number>;

  constructor(
    sightings: ReadonlyMap<string, Sighting<T>> = new Map(),
    missingSince: ReadonlyMap<string, number> = new Map(),
  ) {
    this.#sightings = sightings;
    this.#missingSince = missingSince;
  }

  next(seen: readonly (readonly [string, T])[], now: number): Recent<T> {
    const live = [...this.#sightings]
      .filter(([, { seenAt }]) => now < seenAt + ORIGIN_TTL_MS);
    return new Recent(
      new Map([
        ...live,
        ...seen.map(([key, value]) =>
          [identityOf(key, value), { key, value, seenAt: now }] as const
        ),
      ]),
      this.#missingSince,
    );
  }

  withMissing(known: ReadonlySet<string>, now: number): Recent<T> {
    const keys = [...this.#sightings.values()].map(({ key }) => key);
    return new Recent(
      this.#sightings,
      new Map(
        keys.filter((key) => !known.has(key))
          .map((key) => [key, this.#missingSince.get(key) ?? now] as const),
      ),
    );
  }

  defaultsAfter(
    known: ReadonlyMap<string, T>,
    { isComplete, settledAt }: {
      readonly isComplete: boolean;
      /** Monotonic time until which an added default has to be missing. */
      readonly settledAt: number;
    },
  ): readonly T[] {
    const kept = [...known].filter(([key, value]) =>
      !isComplete || this.#sightings.has(identityOf(key, value))
    );
    const added = [...this.#byKey()].filter(([key, values]) =>
      !known.has(key) && values.length === 1 &&
      (this.#missingSince.get(key) ?? Infinity) <= settledAt
    ).flatMap(([, values]) => values);
    return [...kept.map(([, value]) => value), ...added];
  }

  #byKey(): ReadonlyMap<string, readonly T[]> {
    const byKey = new Map<string, T[]>();
    this.#sightings.forEach(({ key, value }) =>
      byKey.set(key, [...byKey.get(key) ?? [], value])
    );
    return byKey;
  }
}

function identityOf(key: string, value: unknown): string {
  return JSON.stringify([key, value]);
}

function keyOf({ hostname, pathPrefix }: RouteAddress): string {
  return `${hostname} ${pathPrefix}`;
}
