/**
 * Catalog: the configuration that the operators have put in force, with the
 * indexes by which requests find their route and organisation.
 *
 * @module
 */

import { hashOf } from "../routing/mod.ts";

/** What may be repeated of a request. */
export const RouteKind = {
  /** May run any number of times. */
  Idempotent: "idempotent",
  /** Runs at most once. */
  Once: "once",
  /** Answers with a stream of events; runs once unless it can be resumed. */
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
  /** Longest time that a caller is kept waiting, in milliseconds. */
  readonly timeoutMs: number;
  /** Time within which an answer earns its full credit, in milliseconds. */
  readonly latencyGoalMs: number;
  /** Rank; 0 is the most urgent. */
  readonly priority: number;
  readonly pools: readonly WeightedPool[];
  /** Most targets that one request is sent to. */
  readonly maxAttempts: number;
  readonly stages: readonly StageSpec[];
  /** True when requests need no key. */
  readonly isPublic: boolean;
  /** True when a broken stream may go on at another target. */
  readonly isResumable: boolean;
  /** Longest pause between events of an answer in time, in milliseconds. */
  readonly maxPauseMs?: number;
}

/** Limits of a pool whose targets work on batches of pieces. */
export interface BatchLimits {
  /** Calls that a target works on at once. */
  readonly slots: number;
  /** Calls that may wait at a target. */
  readonly queue: number;
  /** Most pieces of one call. */
  readonly maxPieces: number;
  /** Usual time of a call without pieces, in milliseconds. */
  readonly callMs: number;
  /** Usual further time of each piece, in milliseconds. */
  readonly pieceMs: number;
  /** Room for results at one target, in bytes. */
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
  /** Requests a second that a cold target bears; 0 when it has no limit. */
  readonly coldPerS: number;
  /** Set on pools of batched stages. */
  readonly batch?: BatchLimits;
  /** Requests that one engine runs at once; set on pools of engines. */
  readonly engineSlots?: number;
}

/** Organisation with the keys of its callers. */
export interface Organisation {
  readonly name: string;
  readonly keys: readonly string[];
  /** Rank of its requests; it goes before the route's. */
  readonly priority?: number;
}

/** Bounds of what a caller may send, and how slowly. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** Plain form of a catalog, as processes send it to each other. */
export interface CatalogSpec {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly pools: readonly Pool[];
  /** Undefined when no request needs a key. */
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

  /** True when requests on routes that are not public need a key. */
  get needsKeys(): boolean {
    return this.spec.organisations !== undefined;
  }

  /** Route with the longest prefix that begins `path`. */
  routeOf(hostname: string, path: string): Route | undefined {
    return this.#routes.get(hostname)
      ?.find(({ pathPrefix }) => path.startsWith(pathPrefix));
  }

  /** Organisation that holds a key. */
  organisationOf(key: string): Organisation | undefined {
    return this.#organisations.get(key);
  }

  /**
   * Name of the group of pools that a route's stages use. Routes that share a
   * pool have the same group, so that one owner sees all work of a pool.
   */
  stageGroupOf(route: Route): string {
    return this.#groups.get(route.stages[0]?.pool ?? "") ?? "";
  }

  /** Names of all groups of pools of stages. */
  get stageGroups(): readonly string[] {
    return [...new Set(this.#groups.values())];
  }

  pool(name: string): Pool | undefined {
    return this.#pools.get(name);
  }
}

/** Pool that takes a request, the same one for the same request identifier. */
export function poolFor(route: Route, requestId: string): string | undefined {
  const total = route.pools.reduce((sum, { weight }) => sum + weight, 0);
  const point = hashOf(requestId) % Math.max(1, total);
  const upTo = runningTotals(route.pools);
  return route.pools.find((_, i) => point < (upTo[i] ?? 0))?.pool;
}

/** Group of each pool of stages: the first name among connected pools. */
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
  const byHost = new Map<string, Route[]>();
  routes.forEach((route) => {
    const same = byHost.get(route.hostname);
    if (same) same.push(route);
    else byHost.set(route.hostname, [route]);
  });
  byHost.forEach((same) =>
    same.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)
  );
  return byHost;
}
