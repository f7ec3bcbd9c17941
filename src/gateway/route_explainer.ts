/**
 * Explains where this process would send a request now, and why. It asks the
 * services that decide on requests, and reserves, counts and changes nothing.
 *
 * @module
 */

import type { CrashWatch } from "../crashes/mod.ts";
import { monotonicMs, seededRandom } from "../kernel/mod.ts";
import type { StreamOriginService } from "../origins/mod.ts";
import type { RateLimits, TargetPauses } from "../rates/mod.ts";
import {
  type BuildHolder,
  type Catalog,
  type ListedTarget,
  ofBuild,
  type Pool,
  poolFor,
  type PoolMember,
  type Route,
  RouteKind,
  workOf,
} from "../serving/mod.ts";
import {
  type ExplainAnswer,
  type ExplainedRequest,
  MAX_EXPLAINED_TARGETS,
  type PoolExplanation,
  type RouteExplanation,
  type TargetExplanation,
} from "../wire/mod.ts";
import { affinityOf } from "./attempt_preparer.ts";
import type { ChainClient } from "./chain_client.ts";
import type { FleetView } from "./fleet_view.ts";
import type { Gateway } from "./gateway.ts";
import { RefusalKind } from "./ports.ts";
import { type LookedUp, lookUp } from "./request_lookup.ts";
import type { StageOwners } from "./stage_owners.ts";
import { poolOfOrigin } from "./stream_binding.ts";
import { rankTargets } from "./target_ranking.ts";
import type {
  InspectedTarget,
  PlacedRequest,
  TargetTracker,
} from "./target_tracker.ts";

/** Services that decide on requests, as far as they tell without deciding. */
export interface RouteExplainerDeps {
  readonly self: { readonly name: string };
  readonly view: Pick<FleetView, "state" | "storeAgeMs" | "targetsAgeMs">;
  readonly gateway: Pick<
    Gateway,
    "isReady" | "unready" | "refusalByStop" | "sizeRankOf"
  >;
  readonly tracker: Pick<
    TargetTracker,
    "inspect" | "reopensInMs" | "retriesLeft"
  >;
  readonly owners: Pick<StageOwners, "inspect">;
  readonly chains: Pick<ChainClient, "waitMs">;
  readonly crashes: Pick<CrashWatch, "quarantineOf">;
  readonly origins: Pick<StreamOriginService, "known">;
  readonly rates: Pick<RateLimits, "isLimited" | "expectedWaitMs">;
  readonly pauses: Pick<TargetPauses, "waitMs">;
  /** True once this process accepts no further requests. */
  isLeaving(): boolean;
}

/** Seed of the chance decisions: repeated calls show the same order. */
const SEED = 1;

/** What the choice of a target is made for. */
interface Need extends PlacedRequest {
  readonly sameBuildAs?: BuildHolder;
}

/** Explains routes. */
export class RouteExplainer {
  readonly #deps: RouteExplainerDeps;

  constructor(deps: RouteExplainerDeps) {
    this.#deps = deps;
  }

  /** Explains one request; rejects one that the configuration rules out. */
  explain(req: ExplainedRequest): ExplainAnswer {
    const { catalog } = this.#deps.view.state;
    if (!catalog) return rejected("this gateway knows no catalog yet");
    const found = lookUp(catalog, req);
    if (found.isErr()) return rejected(reasonOf(catalog, req, found.error));
    const { route } = found.value;
    const missing = poolsOf(route, req)
      .find(({ pool }) => !catalog.pool(pool));
    if (missing) return rejected(`pool ${missing.pool} is not known`);
    const explanation = this.#explain(req, catalog, found.value);
    return { kind: "explained", explanation: bounded(explanation) };
  }

  #explain(
    req: ExplainedRequest,
    catalog: Catalog,
    { route, organisation, priority }: LookedUp,
  ): RouteExplanation {
    const { self, view, gateway, crashes, isLeaving } = this.#deps;
    const takesUp = req.resumes !== undefined &&
      route.kind === RouteKind.Stream;
    const origin = takesUp ? this.#deps.origins.known(req.resumes) : undefined;
    const boundPool = origin && poolOfOrigin(origin, route, catalog);
    const quarantine = crashes.quarantineOf(req);
    const refusal = gateway.unready?.reason ??
      gateway.refusalByStop(route)?.reason ??
      (quarantine && quarantine.probeInMs > 0
        ? `content ${quarantine.segment} is in quarantine`
        : undefined) ??
      (origin && !boundPool
        ? "the route has left the pool of the stream"
        : undefined);
    const pools = origin
      ? poolsOf(route, {}).filter(({ pool }) => pool === boundPool?.name)
      : poolsOf(route, req);
    const need: Need = {
      route: route.name,
      affinity: affinityOf(req),
      work: workOf(route.name, req),
      sameBuildAs: origin,
    };
    return {
      gateway: self.name,
      catalogVersion: catalog.version,
      storeAgeMs: ageOf(view.storeAgeMs),
      targetsAgeMs: ageOf(view.targetsAgeMs),
      isReady: gateway.isReady && !isLeaving(),
      refusal,
      route: routeOf(route),
      organisation: organisation?.name,
      priority,
      sizeRank: req.tokens && gateway.sizeRankOf(req, route),
      stream: takesUp
        ? {
          isKnown: origin !== undefined,
          pool: origin?.pool,
          build: origin?.build,
        }
        : undefined,
      quarantine: quarantine && {
        segment: quarantine.segment,
        crashes: quarantine.crashes,
        probeInMs: Math.ceil(quarantine.probeInMs),
      },
      stages: this.#stagesOf(route, catalog),
      pools: pools.flatMap(({ pool: name, share }) => {
        const pool = catalog.pool(name);
        return pool ? [{ ...this.#explainPool(pool, need), share }] : [];
      }),
    };
  }

  #stagesOf(route: Route, catalog: Catalog): RouteExplanation["stages"] {
    if (route.stages.length === 0) return undefined;
    const { owners, chains, self } = this.#deps;
    const group = catalog.stageGroupOf(route);
    const all = owners.inspect(group);
    return {
      group,
      pools: [...new Set(route.stages.map(({ pool }) => pool))],
      shares: all.map(({ name }, index) => ({
        index,
        owner: name,
        isSelf: name === self.name,
        waitMs: Math.round(chains.waitMs(group, { index, count: all.length })),
      })),
    };
  }

  #explainPool(pool: Pool, need: Need): Omit<PoolExplanation, "share"> {
    const { tracker, view } = this.#deps;
    const now = monotonicMs();
    const random = seededRandom(SEED);
    const inspection = tracker.inspect(pool, need, random);
    const { order, alternatives } = rankTargets(inspection, random);
    const candidates = new Map(
      inspection.candidates.map((one) => [one.target.id, one]),
    );
    const [chosen] = order;
    const targets = view.state.members(pool.name, now).map((member) => ({
      ...this.#describe(member, now),
      ...candidateFields(candidates.get(member.target.id), member, need),
      rank: rankOf(order, member.target),
    }));
    return {
      pool: pool.name,
      chosen,
      alternatives: [...alternatives],
      isEjectedFallback: chosen !== undefined &&
        candidates.get(chosen)?.load.weight === 0,
      reopensInMs: chosen === undefined
        ? tracker.reopensInMs(pool, need.sameBuildAs)
        : undefined,
      retriesLeft: tracker.retriesLeft(pool.name),
      targets: targets.sort(byPlace),
      omitted: 0,
    };
  }

  #describe({ target, obstacle, receivedAt }: PoolMember, now: number) {
    const { rates, pauses, view } = this.#deps;
    const { id, failureDomain, build } = target;
    const waitMs = Math.max(rates.expectedWaitMs(id), pauses.waitMs(target));
    return {
      id,
      failureDomain,
      build,
      obstacle,
      waitMs: waitMs > 0 ? Math.ceil(waitMs) : undefined,
      isLimited: rates.isLimited(id),
      isCold: view.state.isCold(id, now),
      rowAgeMs: Math.round(now - receivedAt),
    };
  }
}

/** Pools that a request may get, with their shares of the route's requests. */
function poolsOf(
  route: Route,
  { id }: Pick<ExplainedRequest, "id">,
): readonly { readonly pool: string; readonly share: number }[] {
  const total = route.pools.reduce((sum, { weight }) => sum + weight, 0);
  const chosen = id === undefined ? undefined : poolFor(route, id);
  return route.pools
    .filter(({ pool, weight }) =>
      weight > 0 && (chosen === undefined || pool === chosen)
    )
    .map(({ pool, weight }) => ({ pool, share: weight / total }));
}

function routeOf(route: Route): RouteExplanation["route"] {
  const { name, hostname, pathPrefix, kind, isPublic } = route;
  const { timeoutMs, latencyGoalMs, maxAttempts } = route;
  return {
    name,
    hostname,
    pathPrefix,
    kind,
    isPublic,
    timeoutMs,
    latencyGoalMs,
    maxAttempts,
  };
}

function candidateFields(
  candidate: InspectedTarget | undefined,
  { target, obstacle }: PoolMember,
  { sameBuildAs }: Need,
): Pick<
  TargetExplanation,
  "isOtherBuild" | "isHeldByRollout" | "closures" | "load"
> {
  if (!candidate) {
    const isOtherBuild = obstacle === undefined &&
      ofBuild([target], sameBuildAs).length === 0;
    const isHeld = obstacle === undefined && !isOtherBuild;
    return {
      isOtherBuild,
      ...(isHeld ? { isHeldByRollout: true } : {}),
      closures: [],
    };
  }
  const { own, reported, slots, weight, failureShare } = candidate.load;
  const { closures, reportAgeMs, expected } = candidate;
  return {
    isOtherBuild: false,
    closures: [...closures],
    load: {
      own,
      reported,
      slots,
      weight,
      failureShare,
      reportAgeMs: reportAgeMs === undefined
        ? undefined
        : Math.round(reportAgeMs),
      expectedMs: expected && Math.round(expected.expectedMs),
      costMs: expected && Math.round(expected.costMs),
    },
  };
}

function rankOf(
  order: readonly string[],
  { id }: ListedTarget,
): number | undefined {
  const rank = order.indexOf(id) + 1;
  return rank > 0 ? rank : undefined;
}

/** Ranked targets first, then open ones, closed ones and the others. */
function byPlace(a: TargetExplanation, b: TargetExplanation): number {
  return placeOf(a) - placeOf(b) || (a.id < b.id ? -1 : 1);
}

function placeOf(
  { rank, obstacle, isOtherBuild, isHeldByRollout, closures }:
    TargetExplanation,
): number {
  if (rank !== undefined) return rank;
  const isBarred = [
    closures.length > 0,
    isHeldByRollout,
    isOtherBuild,
    obstacle !== undefined,
  ];
  return MAX_EXPLAINED_TARGETS + isBarred.lastIndexOf(true);
}

/** Bounds the number of targets; each pool keeps an equal part of it. */
function bounded(explanation: RouteExplanation): RouteExplanation {
  const { pools } = explanation;
  const most = Math.floor(MAX_EXPLAINED_TARGETS / Math.max(1, pools.length));
  return {
    ...explanation,
    pools: pools.map((one) => ({
      ...one,
      targets: one.targets.slice(0, most),
      omitted: Math.max(0, one.targets.length - most),
    })),
  };
}

function ageOf(ms: number): number | undefined {
  return Number.isFinite(ms) ? Math.round(ms) : undefined;
}

function reasonOf(
  catalog: Catalog,
  { hostname, key }: ExplainedRequest,
  { kind, reason }: { readonly kind: RefusalKind; readonly reason: string },
): string {
  if (kind === RefusalKind.UnknownKey) {
    return key === undefined
      ? "the route requires a key"
      : "the key belongs to no organisation";
  }
  if (kind !== RefusalKind.UnknownRoute) return reason;
  const isKnownHost = catalog.spec.routes
    .some((route) => route.hostname === hostname);
  return isKnownHost
    ? "no route of this host name has a prefix of the path"
    : "no route has this host name";
}

function rejected(reason: string): ExplainAnswer {
  return { kind: "rejected", reason };
}
