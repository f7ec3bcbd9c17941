/**
 * Builders of values for tests of the decisions of a gateway.
 *
 * @module
 */

import {
  type CatalogSpec,
  type Pool,
  type Route,
  RouteKind,
} from "./catalog.ts";
import {
  type ListedTarget,
  type StateChange,
  TargetState,
} from "./fleet_state.ts";

/** Pool of plain targets; `over` replaces members. */
export function pool(name: string, over: Partial<Pool> = {}): Pool {
  return { name, maxConnections: 100, coldMs: 0, coldPerS: 0, ...over };
}

/** Pool of batched stages; `over` replaces members of its limits. */
export function batchPool(
  name: string,
  over: Partial<NonNullable<Pool["batch"]>> = {},
): Pool {
  return pool(name, {
    batch: {
      slots: 1,
      queue: 2,
      maxPieces: 4,
      callMs: 240,
      pieceMs: 20,
      roomBytes: 1_000_000,
      resultTtlMs: 4_000,
      ...over,
    },
  });
}

/** Route of `api.example` to pool `plain`; `over` replaces members. */
export function route(over: Partial<Route> = {}): Route {
  return {
    name: "r",
    hostname: "api.example",
    pathPrefix: "/r/",
    kind: RouteKind.Idempotent,
    timeoutMs: 1_000,
    latencyGoalMs: 300,
    priority: 0,
    pools: [{ pool: "plain", weight: 1 }],
    maxAttempts: 2,
    stages: [],
    isPublic: true,
    isResumable: false,
    ...over,
  };
}

/** Catalog with one route to one pool; `over` replaces members. */
export function catalogSpec(over: Partial<CatalogSpec> = {}): CatalogSpec {
  return {
    version: 1,
    routes: [route()],
    pools: [pool("plain")],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 100_000,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    ...over,
  };
}

/** Change that puts a catalog in force. */
export function catalogChange(
  over: Partial<CatalogSpec> = {},
  version = 1,
): StateChange {
  return { kind: "catalog", version, catalog: catalogSpec(over) };
}

/** Target of pool `plain`; `over` replaces members. */
export function listedTarget(
  id: string,
  over: Partial<ListedTarget> = {},
): ListedTarget {
  return {
    id,
    pool: "plain",
    address: `10.0.0.1:${id.length}${id.charCodeAt(id.length - 1)}`,
    failureDomain: "d1",
    state: TargetState.Ready,
    coldMs: 0,
    ...over,
  };
}

/** Change that lists a target. */
export function targetChange(
  id: string,
  version: number,
  over: Partial<ListedTarget> = {},
): StateChange {
  return { kind: "target", version, id, target: listedTarget(id, over) };
}
