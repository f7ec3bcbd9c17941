/**
 * Load on two builds, for tests of the decisions without a network.
 *
 * @module
 */

import { type Random, seededRandom } from "../kernel/mod.ts";
import {
  type ListedRollout,
  type ListedTarget,
  type RolloutPhase,
  TargetState,
} from "../serving/mod.ts";
import { type Measure, sumOfCounts } from "./evidence.ts";
import { ExposureCredit } from "./exposure.ts";
import { judge } from "./judgement.ts";
import { nextPhase, timesOf } from "./phases.ts";
import { PoolRollout } from "./pool_rollout.ts";

/** How a target responds to one request. */
export interface Response {
  readonly isFailed: boolean;
  readonly ms: number;
}

/** A request as a target sees it. */
export interface Arrival {
  readonly target: ListedTarget;
  readonly route: string;
  /** Time since the order, in milliseconds. */
  readonly atMs: number;
  /** Requests that the target got in the last second. */
  readonly perS: number;
  readonly random: Random;
}

/** What a simulated order led to. */
export interface SimulatedRollout {
  readonly phase: RolloutPhase;
  readonly endedMs: number;
  readonly total: number;
  readonly exposed: number;
  readonly isThin: boolean;
  /** Exposure beyond the bound at its highest, in requests. */
  readonly maxExcess: number;
}

const TICK_MS = 10;
const DECIDE_MS = 200;
const BOUNDS = { share: 0.1, allowance: 50 };
const WHOLE: Measure = "whole";

/** Usual response: a spread of times around 60 ms, few failures. */
export function usually(random: Random): Response {
  return {
    isFailed: random() < 0.003,
    ms: 60 * Math.exp(0.5 * (random() + random() + random() - 1.5)),
  };
}

/** Plays one order under Poisson load with exact counts at the decider. */
export function simulate(
  opts: {
    readonly seed: number;
    readonly respond: (arrival: Arrival) => Response;
    readonly perS?: number;
    readonly durationMs?: number;
    readonly gateways?: number;
    readonly old?: number;
    readonly new?: number;
    readonly routes?: readonly string[];
  },
): SimulatedRollout {
  const { perS = 80, durationMs = 12_000, gateways = 28 } = opts;
  const { routes = ["a", "b", "c"] } = opts;
  const random = seededRandom(opts.seed);
  const targets = [
    ...Array.from({ length: opts.old ?? 10 }, (_, i) => one(`old-${i}`, "v1")),
    ...Array.from({ length: opts.new ?? 10 }, (_, i) => one(`new-${i}`, "v2")),
  ];
  const listed: ListedRollout = {
    pool: "plain",
    order: { to: "v2", durationMs },
    orderNumber: opts.seed,
    startedAt: 0,
    verdictVersion: 0,
  };
  const rollouts = Array.from({ length: gateways }, () => {
    const rollout = new PoolRollout(listed, {
      credit: ExposureCredit.begin(BOUNDS, {
        processes: gateways,
        hasJoinedLater: false,
      }),
      contactMs: 3_000,
      share: BOUNDS.share,
      random,
    });
    rollout.update(listed, true, 0);
    return rollout;
  });
  const [first] = rollouts;
  if (!first) throw new Error("No gateway");
  const recent = new Map<string, number[]>();
  const open: { endsAt: number; end: () => void }[] = [];
  let total = 0;
  let exposed = 0;
  let maxExcess = 0;
  let isThin = false;
  let now = 0;
  let openOld = 0;
  const arrive = () => {
    const rollout = rollouts[Math.floor(random() * gateways)] ?? first;
    rollout.heardAt = now;
    const group = rollout.groups(targets, {}, now)
      .find((one) => one.length > 0) ?? [];
    const target = group[Math.floor(random() * group.length)];
    const route = routes[Math.floor(random() * routes.length)] ?? "a";
    if (!target) return;
    const isNew = target.build === "v2";
    total += 1;
    rollout.earn(0);
    if (isNew) {
      exposed += 1;
      rollout.spend(0);
    } else openOld += 1;
    const bound = BOUNDS.share * total + BOUNDS.allowance;
    maxExcess = Math.max(maxExcess, exposed - bound);
    const times = [...recent.get(target.id) ?? [], now]
      .filter((at) => at > now - 1_000);
    recent.set(target.id, times);
    const { isFailed, ms } = opts.respond({
      target,
      route,
      atMs: now,
      perS: times.length,
      random,
    });
    const key = {
      route,
      measure: WHOLE,
      target: isNew ? target.id : undefined,
    };
    open.push({
      endsAt: now + ms,
      end: () => {
        if (!isNew) openOld -= 1;
        rollout.evidence = isFailed
          ? rollout.evidence.failed(key)
          : rollout.evidence.measured(key, ms);
      },
    });
  };
  for (; now < 2 * durationMs; now += TICK_MS) {
    open.filter(({ endsAt }) => endsAt <= now).forEach(({ end }) => end());
    open.splice(0, open.length, ...open.filter(({ endsAt }) => endsAt > now));
    if (random() < perS * TICK_MS / 1_000) arrive();
    if (now % DECIDE_MS !== 0) continue;
    const evidence = sumOfCounts(
      rollouts.flatMap(({ evidence }) => evidence.all),
    );
    const times = timesOf(durationMs, 200);
    const judgement = judge(evidence, {
      looks: durationMs / DECIDE_MS,
      isLast: now >=
        (first.phase === "observing" ? times.shiftAt : times.completeAt),
      hasSeveralTargets: (opts.new ?? 10) > 1,
    });
    isThin = judgement.isThin;
    const next = nextPhase({
      phase: first.phase,
      ageMs: now,
      times,
      shiftedMs: now - first.shiftedAt,
      judgement,
      hasNewTargets: true,
      hasAll: true,
      isSettled: openOld === 0,
    });
    if (!next) continue;
    rollouts.forEach((rollout) => rollout.adopt(next.phase, now));
    if (next.phase === "completed" || next.phase === "reverted") break;
  }
  return {
    phase: first.phase,
    endedMs: now,
    total,
    exposed,
    isThin,
    maxExcess,
  };
}

function one(id: string, build: string): ListedTarget {
  return {
    id,
    pool: "plain",
    address: "10.0.0.1:80",
    failureDomain: "d1",
    build,
    state: TargetState.Ready,
    coldMs: 0,
  };
}
