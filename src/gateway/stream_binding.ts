/**
 * Binds a request that takes a stream up to the build that began the stream.
 *
 * @module
 */

import { err, ok, type Result } from "neverthrow";
import { monotonicMs } from "../kernel/mod.ts";
import type { OriginFleet, StreamOriginService } from "../origins/mod.ts";
import {
  type Catalog,
  type Pool,
  type Route,
  RouteKind,
  type StreamOrigin,
} from "../serving/mod.ts";
import type { FleetView } from "./fleet_view.ts";
import type { Peers } from "./peers.ts";
import { type CallerRequest, type Refusal, RefusalKind } from "./ports.ts";
import type { Admitted } from "./relay.ts";

/**
 * Time after which callers may retry while the origin of their stream is not
 * known, in milliseconds.
 */
const UNKNOWN_ORIGIN_RETRY_AFTER_MS = 300;

/** Origins of streams, as the requests of callers use them. */
export type StreamOriginMemory = Pick<
  StreamOriginService,
  "begun" | "expect" | "find"
>;

/**
 * Returns a request that takes a stream up with the pool and the build that
 * began the stream; others as they are. It is refused when these are not known:
 * events of two builds do not fit together.
 */
export async function bindToOrigin(
  admitted: Admitted,
  origins: StreamOriginMemory,
): Promise<Result<Admitted, Refusal>> {
  const { req, route, catalog } = admitted;
  if (!isTakenUp(req) || route.kind !== RouteKind.Stream) return ok(admitted);
  const { hostname, pathPrefix } = route;
  const origin = await origins.find({
    request: req.id,
    stream: req.originAttemptId,
    route: { hostname, pathPrefix },
  });
  if (!origin) return err(unbound("the origin of the stream is not known"));
  const pool = poolOfOrigin(origin, route, catalog);
  if (!pool) return err(unbound("the route has left the pool of the stream"));
  // The goal of a request is its first event, which this stream had in time or
  // not; whether it goes on is as urgent as a new one.
  return ok({ ...admitted, pool, origin, ageMs: 0 });
}

/**
 * Pool in which a stream goes on; undefined if its route sends nothing to that
 * pool any more.
 */
export function poolOfOrigin(
  origin: StreamOrigin,
  route: Route,
  catalog: Catalog,
): Pool | undefined {
  return route.pools.some(({ pool, weight }) =>
      weight > 0 && pool === origin.pool
    )
    ? catalog.pool(origin.pool)
    : undefined;
}

/** Identifier of the stream that a request begins or takes up. */
export function streamOf(req: CallerRequest): string {
  return isTakenUp(req) ? req.originAttemptId ?? req.id : req.id;
}

function isTakenUp({ lastEventId }: CallerRequest): boolean {
  return lastEventId !== undefined;
}

function unbound(reason: string): Refusal {
  return {
    kind: RefusalKind.NotRun,
    reason,
    retryAfterMs: UNKNOWN_ORIGIN_RETRY_AFTER_MS,
  };
}

/** What the sharing of origins uses of the view of the fleet. */
export function originFleet(view: FleetView, peers: Peers): OriginFleet {
  return {
    peers: () => view.state.peers,
    registrations: () => view.state.registrations,
    isUsable: (peer) => peers.isUsable(peer),
    buildsOf: (pool) => new Set(view.state.buildsOf(pool, monotonicMs())),
    observed: () => view.observedOrigins,
    storeEra: () => view.ownRowsEra,
    candidates: (stream, route) =>
      view.state.routes.candidates(stream, route, monotonicMs()),
    ambiguousPools: () => view.state.routes.ambiguousPools(monotonicMs()),
    readChanges: () => view.readChanges(),
  };
}
