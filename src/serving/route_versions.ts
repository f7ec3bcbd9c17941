/**
 * Versions of the routes that were in force within the life of a stream. A
 * stream stays at the pool that began it, and its caller names no pool.
 *
 * @module
 */

import { type Catalog, poolFor, type Route, RouteKind } from "./catalog.ts";
import { ORIGIN_TTL_MS } from "./stream_origins.ts";

/** Most catalogs that are remembered; the oldest are discarded. */
const MAX_CATALOGS = 32;

/** Where the requests of a route arrive. */
export type RouteAddress = Pick<Route, "hostname" | "pathPrefix">;

/** Pools that may have begun a stream. */
export interface PoolCandidates {
  readonly pools: readonly string[];
  /**
   * False when the pools depend on the versions of a split route, and some
   * version in the life of the stream may not be known here.
   */
  readonly isSure: boolean;
}

interface PastCatalog {
  readonly catalog: Catalog;
  /** Monotonic time at which the next one came into force. */
  readonly until: number;
}

/** Catalogs in force within the life of a stream. Immutable. */
export class RouteVersions {
  readonly #current: Catalog | undefined;
  readonly #past: readonly PastCatalog[];
  /** Monotonic time since which all catalogs are known. */
  readonly #since: number;
  /** Ambiguous pools, and the monotonic time until which they stay so. */
  #ambiguous?: { readonly pools: ReadonlySet<string>; readonly until: number };

  constructor(
    current?: Catalog,
    past: readonly PastCatalog[] = [],
    since = Number.POSITIVE_INFINITY,
  ) {
    this.#current = current;
    this.#past = past;
    this.#since = since;
  }

  /** Returns the versions once another catalog is in force. */
  next(catalog: Catalog, now: number): RouteVersions {
    if (!this.#current) return new RouteVersions(catalog, [], now);
    const live = this.#livePast(now);
    // One with the same routes of streams tells nothing new.
    const past = isSameForStreams(this.#current, catalog)
      ? live
      : [...live, { catalog: this.#current, until: now }];
    const dropped = past.slice(0, -MAX_CATALOGS).at(-1);
    return new RouteVersions(
      catalog,
      past.slice(-MAX_CATALOGS),
      Math.max(this.#since, dropped?.until ?? this.#since),
    );
  }

  /**
   * Returns the pools that may have begun a stream; `stream` is undefined when
   * its caller does not name it.
   */
  candidates(
    stream: string | undefined,
    address: RouteAddress,
    now: number,
  ): PoolCandidates {
    const routes = this.#routesOf(address, now);
    const pools = routes.flatMap((route) =>
      stream === undefined
        ? route.pools.map(({ pool }) => pool)
        : poolFor(route, stream) ?? []
    );
    const isSplit = routes.some((route) => route.pools.length > 1);
    const isComplete = now >= this.#since + ORIGIN_TTL_MS;
    return { pools: [...new Set(pools)], isSure: isComplete || !isSplit };
  }

  /**
   * Returns the pools of routes that have, or lately had, several pools: the
   * identifier of a stream may not tell which of them began it.
   */
  ambiguousPools(now: number): ReadonlySet<string> {
    if (this.#ambiguous && now < this.#ambiguous.until) {
      return this.#ambiguous.pools;
    }
    const pools = this.#findAmbiguous(now);
    const ends = this.#livePast(now).map(({ until }) => until + ORIGIN_TTL_MS);
    this.#ambiguous = { pools, until: Math.min(...ends) };
    return pools;
  }

  #findAmbiguous(now: number): ReadonlySet<string> {
    const catalogs = this.#catalogs(now);
    const addresses = new Map(
      catalogs.flatMap(({ spec }) => spec.routes).filter(isResumable)
        .map((route) => [`${route.hostname} ${route.pathPrefix}`, route]),
    );
    return new Set(
      [...addresses.values()].flatMap((address) => {
        const pools = this.#routesOf(address, now)
          .flatMap((route) => route.pools.map(({ pool }) => pool));
        return new Set(pools).size > 1 ? pools : [];
      }),
    );
  }

  #routesOf(
    { hostname, pathPrefix }: RouteAddress,
    now: number,
  ): readonly Route[] {
    return this.#catalogs(now).flatMap((catalog) => {
      const route = catalog.routeOf(hostname, pathPrefix);
      return route?.kind === RouteKind.Stream ? [route] : [];
    });
  }

  #catalogs(now: number): readonly Catalog[] {
    const past = this.#livePast(now).map(({ catalog }) => catalog);
    return this.#current ? [...past, this.#current] : past;
  }

  #livePast(now: number): readonly PastCatalog[] {
    return this.#past.filter(({ until }) => now < until + ORIGIN_TTL_MS);
  }
}

function isResumable({ kind, isResumable }: Route): boolean {
  return kind === RouteKind.Stream && isResumable;
}

/** True when two catalogs send the streams that may be resumed alike. */
function isSameForStreams(one: Catalog, other: Catalog): boolean {
  return streamRoutes(one) === streamRoutes(other);
}

function streamRoutes({ spec }: Catalog): string {
  return JSON.stringify(
    spec.routes.filter(isResumable)
      .map(({ hostname, pathPrefix, pools }) => [hostname, pathPrefix, pools]),
  );
}
