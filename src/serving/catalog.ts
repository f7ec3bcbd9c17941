/**
 * Catalog: the configuration that operators have put in force, indexed to look
 * up the route and the organisation of a request.
 *
 * @module
 */

import { hashOf } from "../routing/mod.ts";
import { PriorityClasses } from "./priority_class.ts";

/** How often a request of a route may run. */
export const RouteKind = {
  /** May run any number of times. */
  Idempotent: "idempotent",
  /** Runs at most once. */
  Once: "once",
  /** Responds with a stream of events; runs once unless it is resumable. */
  Stream: "stream",
} as const;
export type RouteKind = typeof RouteKind[keyof typeof RouteKind];

/** One stage of pieces that runs before the request itself. */
export interface StageSpec {
  readonly pool: string;
  /** Indexes of the stages whose results this one reads. */
  readonly after: readonly number[];
  /** Usual size of one result, in bytes. */
  readonly resultBytes: number;
}

/** Pool of targets with its share of a route's requests. */
export interface WeightedPool {
  readonly pool: string;
  readonly weight: number;
}

/** How requests of one host name and path prefix are served. */
export interface Route {
  readonly name: string;
  readonly hostname: string;
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Maximum time that a caller waits, in milliseconds. */
  readonly timeoutMs: number;
  /** Time within which responses are to be sent, in milliseconds. */
  readonly latencyGoalMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly pools: readonly WeightedPool[];
  /** Maximum number of targets that one request is sent to. */
  readonly maxAttempts: number;
  readonly stages: readonly StageSpec[];
  /** True when requests do not require a key. */
  readonly isPublic: boolean;
  /** True when a broken stream may continue at another target. */
  readonly isResumable: boolean;
  /** Longest pause between events of an on-time response, in ms. */
  readonly maxPauseMs?: number;
}

/** Limits of a pool whose targets work on batches of pieces. */
export interface BatchLimits {
  /** Calls that a target runs concurrently. */
  readonly slots: number;
  /** Calls that may be queued at a target. */
  readonly queue: number;
  /** Maximum number of pieces of one call. */
  readonly maxPieces: number;
  /** Expected time of a call without its pieces, in milliseconds. */
  readonly callMs: number;
  /** Expected additional time of each piece, in milliseconds. */
  readonly pieceMs: number;
  /** Result memory of one target, in bytes. */
  readonly roomBytes: number;
  /** Time for which a result is kept, in milliseconds. */
  readonly resultTtlMs: number;
}

/** Pool of targets that serve the same requests. */
export interface Pool {
  readonly name: string;
  /** Connections that one target accepts from all callers together. */
  readonly maxConnections: number;
  /** Length of a cold start, in milliseconds. */
  readonly coldMs: number;
  /** Requests a second that a cold target can handle; 0 means unlimited. */
  readonly coldPerS: number;
  /** Set for pools of batched stages. */
  readonly batch?: BatchLimits;
  /** Requests that one engine runs concurrently; set for pools of engines. */
  readonly engineSlots?: number;
}

/** Organisation with the keys of its callers. */
export interface Organisation {
  readonly name: string;
  readonly keys: readonly string[];
  /** Priority of its requests; overrides that of the route. */
  readonly priority?: number;
}

/** Bounds of what a caller may send, and how slowly. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** Plain form of a catalog, as processes exchange it. */
export interface CatalogSpec {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly pools: readonly Pool[];
  /** Undefined when no request requires a key. */
  readonly organisations?: readonly Organisation[];
  readonly limits: CallerLimits;
}

/** One version of the configuration, indexed. Immutable. */
export class Catalog {
  readonly spec: CatalogSpec;
  readonly #routes: ReadonlyMap<string, readonly Route[]>;
  readonly #pools: ReadonlyMap<string, Pool>;
  readonly #organisations: ReadonlyMap<string, Organisation>;
  readonly #groups: ReadonlyMap<string, string>;
  /** Priority classes by pool, computed at the pool's first request. */
  readonly #classes = new Map<string, PriorityClasses>();

  constructor(spec: CatalogSpec) {
    this.spec = spec;
    this.#routes = longestPrefixFirst(spec.routes);
    this.#pools = new Map(spec.pools.map((pool) => [pool.name, pool]));
    this.#organisations = new Map(
      (spec.organisations ?? []).flatMap((one) =>
        one.keys.map((key) => [key, one] as const)
      ),
    );
    this.#groups = groupPools(spec.routes);
  }

  get version(): number {
    return this.spec.version;
  }

  /** True when requests on routes that are not public require a key. */
  get needsKeys(): boolean {
    return this.spec.organisations !== undefined;
  }

  /** Returns the route with the longest prefix that matches `path`. */
  routeOf(hostname: string, path: string): Route | undefined {
    return this.#routes.get(hostname)
      ?.find(({ pathPrefix }) => path.startsWith(pathPrefix));
  }

  /** Returns the organisation that a key belongs to. */
  organisationOf(key: string): Organisation | undefined {
    return this.#organisations.get(key);
  }

  /**
   * Returns the name of the group of pools that a route's stages use. Routes
   * that share a pool have the same group, so that one owner sees all work of a
   * pool.
   */
  stageGroupOf(route: Route): string {
    return this.groupOfPool(route.stages[0]?.pool ?? "") ?? "";
  }

  /** Batched pools of a group. */
  poolsOfGroup(group: string): readonly BatchedPool[] {
    return this.spec.pools.flatMap((pool) =>
      pool.batch && this.#groups.get(pool.name) === group
        ? [{ name: pool.name, batch: pool.batch }]
        : []
    );
  }

  /** Group of a pool of stages; undefined for other pools. */
  groupOfPool(pool: string): string | undefined {
    return this.#groups.get(pool);
  }

  /** Names of all groups of pools of stages. */
  get stageGroups(): readonly string[] {
    return [...new Set(this.#groups.values())];
  }

  /** Returns the class of a request among those of its pool. */
  priorityClassOf(
    request: {
      readonly pool: Pool;
      readonly route: Route;
      readonly organisation?: Organisation;
    },
  ): number {
    const { name } = request.pool;
    const found = this.#classes.get(name);
    const classes = found ?? new PriorityClasses(this.spec, name);
    if (!found) this.#classes.set(name, classes);
    return classes.of(request.route, request.organisation);
  }

  pool(name: string): Pool | undefined {
    return this.#pools.get(name);
  }

  /** Routes of streams that may be resumed. */
  get resumableRoutes(): readonly Route[] {
    return this.spec.routes.filter(({ kind, isResumable }) =>
      kind === RouteKind.Stream && isResumable
    );
  }

  /** Names of the pools of streams that may be resumed. */
  get resumablePools(): ReadonlySet<string> {
    return new Set(
      this.resumableRoutes
        .flatMap(({ pools }) => pools.map(({ pool }) => pool)),
    );
  }
}

/** Pool whose targets run pieces in calls. */
export interface BatchedPool {
  readonly name: string;
  readonly batch: BatchLimits;
}

/** Returns the pool of a request, always the same one for the same id. */
export function poolFor(
  route: Pick<Route, "pools">,
  requestId: string,
): string | undefined {
  const total = route.pools.reduce((sum, { weight }) => sum + weight, 0);
  const point = hashOf(requestId) % Math.max(1, total);
  const upTo = runningTotals(route.pools);
  return route.pools.find((_, i) => point < (upTo[i] ?? 0))?.pool;
}

/**
 * Maps each pool of stages to the name of its group. All pools of a route are
 * in one group, which is named after the alphabetically first of its pools.
 */
function groupPools(routes: readonly Route[]): ReadonlyMap<string, string> {
  const groups = new Map<string, string>();
  routes.map(({ stages }) => stages.map(({ pool }) => pool)).forEach(
    (pools) => {
      const joined = new Set(pools.map((pool) => groups.get(pool) ?? pool));
      const name = [...joined].sort()[0];
      if (name === undefined) return;
      pools.forEach((pool) => groups.set(pool, name));
      groups.forEach((group, pool) => {
        if (joined.has(group)) groups.set(pool, name);
      });
    },
  );
  return groups;
}

function runningTotals(pools: readonly WeightedPool[]): number[] {
  let sum = 0;
  return pools.map(({ weight }) => sum += weight);
}

function longestPrefixFirst(
  routes: readonly Route[],
): ReadonlyMap<string, readonly Route[]> {
  const byHostname = new Map<string, Route[]>();
  routes.forEach((route) => {
    const same = byHostname.get(route.hostname);
    if (same) same.push(route);
    else byHostname.set(route.hostname, [route]);
  });
  byHostname.forEach((same) =>
    same.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)
  );
  return byHostname;
}
