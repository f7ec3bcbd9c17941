/**
 * Builders of values for tests of gateways and their decisions.
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
} from "./state_change.ts";

/** Pool of plain targets; `overrides` replaces members. */
export function pool(name: string, overrides: Partial<Pool> = {}): Pool {
  return { name, maxConnections: 100, coldMs: 0, coldPerS: 0, ...overrides };
}

/** Pool of batched stages; `overrides` replaces members of its limits. */
export function batchPool(
  name: string,
  overrides: Partial<NonNullable<Pool["batch"]>> = {},
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
      ...overrides,
    },
  });
}

/** Route of `api.example` to pool `plain`; `overrides` replaces members. */
export function route(overrides: Partial<Route> = {}): Route {
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
    ...overrides,
  };
}

/** Catalog with one route to one pool; `overrides` replaces members. */
export function catalogSpec(overrides: Partial<CatalogSpec> = {}): CatalogSpec {
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
    ...overrides,
  };
}

/** Change that puts a catalog in force. */
export function catalogChange(
  overrides: Partial<CatalogSpec> = {},
  version = 1,
): StateChange {
  return { kind: "catalog", version, catalog: catalogSpec(overrides) };
}

/** Target of pool `plain`; `overrides` replaces members. */
export function listedTarget(
  id: string,
  overrides: Partial<ListedTarget> = {},
): ListedTarget {
  return {
    id,
    pool: "plain",
    address: `10.0.0.1:${id.length}${id.charCodeAt(id.length - 1)}`,
    failureDomain: "d1",
    state: TargetState.Ready,
    coldMs: 0,
    ...overrides,
  };
}

/** Change that lists a target. */
export function targetChange(
  id: string,
  version: number,
  overrides: Partial<ListedTarget> = {},
): StateChange {
  return { kind: "target", version, id, target: listedTarget(id, overrides) };
}
