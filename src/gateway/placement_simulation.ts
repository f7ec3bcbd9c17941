/**
 * Simulated fleet for tests of placement: many gateways that choose among the
 * same targets by old reports.
 *
 * @module
 */

import { seededRandom } from "../kernel/mod.ts";
import {
  type ListedTarget,
  type LoadReport,
  placeRequest,
  type PromptPart,
  type RequestWork,
  type ServingCandidate,
  TargetState,
} from "../serving/mod.ts";
import {
  SimulatedClock,
  SimulatedEngine,
  SimulatedServer,
} from "./simulated_targets.ts";
import { WorkAtTargets, type WrittenEvents } from "./work_at_targets.ts";

/** One run of the simulation. */
export interface SimulationOptions {
  readonly seed: number;
  /** `count` chooses by the count of requests, as without the fourth figure. */
  readonly choice: "count" | "time";
  readonly kind: "engine" | "plain";
  readonly speeds: readonly number[];
  /** Requests a second to all targets together. */
  readonly perS: number;
  /** Changes what targets report; by default they tell the truth. */
  readonly report?: (
    report: LoadReport,
    now: number,
    random: () => number,
    target: number,
  ) => LoadReport;
  readonly durationMs?: number;
  readonly slowShare?: number;
  /** Only requests that are sent after this time are counted. */
  readonly warmUpMs?: number;
}

/** Figures of one run. */
export interface SimulationResult {
  readonly meanMs: number;
  readonly p95Ms: number;
  /** Standard deviation of the loads of the targets, averaged over time. */
  readonly imbalance: number;
  /** Prompt tokens that engines had to read. */
  readonly readTokens: number;
  readonly served: number;
  /** Mean of the expected less the measured time, in milliseconds. */
  readonly biasMs: number;
  /** Share of the requests at each target. */
  readonly shares: readonly number[];
}

const GATEWAYS = 22;
const ENGINE_SLOTS = 64;
const SERVER_SLOTS = 6;
const REPORT_TTL_MS = 1_000;
const MIN_REPORT_INTERVAL_MS = 100;
const MAX_REPORT_INTERVAL_MS = 1_000;
const SHARED_PROMPTS = 40;
const MAX_PROMPT_TOKENS = 54_600;
const MIN_PROMPT_TOKENS = 100;
const ROUTE_MS = [20, 35, 50, 90];
const SAMPLE_MS = 50;
const SKIPPED_NUMBERS = 32;

interface SimulatedRequest {
  readonly work: RequestWork;
  readonly affinity?: string;
  readonly serviceMs: number;
}

/** Runs the simulation. */
export function simulatePlacement(opts: SimulationOptions): SimulationResult {
  const { durationMs = 60_000, warmUpMs = 10_000, slowShare = 0.15 } = opts;
  const clock = new SimulatedClock();
  // Each use has its own sequence, so that both choices meet the same load.
  const random = randomOf(opts.seed);
  const hosts = randomOf(opts.seed + 1_000);
  const views = randomOf(opts.seed + 2_000);
  const requests = requestSource(opts.kind, random);
  const traits = {
    slots: opts.kind === "engine" ? ENGINE_SLOTS : SERVER_SLOTS,
    slowShare,
  };
  const fleet = opts.speeds.map((speed, i) => ({
    listed: {
      id: `t${i}`,
      pool: "pool",
      address: `10.0.0.1:${1_000 + i}`,
      failureDomain: "d1",
      state: TargetState.Ready,
      coldMs: 0,
    },
    target: opts.kind === "engine"
      ? new SimulatedEngine(clock, { speed, ...traits }, hosts)
      : new SimulatedServer(clock, { speed, ...traits }, hosts),
    sent: 0,
  }));
  const times: number[] = [];
  const errors: number[] = [];
  const gateways = Array.from(
    { length: GATEWAYS },
    () => new SimulatedGateway(opts, traits.slots, views),
  );
  const reportOf = (i: number) => {
    const report = fleet[i]?.target.report ?? { running: 0, waiting: 0 };
    return opts.report?.(report, clock.now, views, i) ?? report;
  };
  gateways.forEach((gateway) => {
    const refresh = () => {
      fleet.forEach(({ listed }, i) =>
        gateway.reported(listed, reportOf(i), clock.now)
      );
      clock.after(
        MIN_REPORT_INTERVAL_MS +
          views() * (MAX_REPORT_INTERVAL_MS - MIN_REPORT_INTERVAL_MS),
        refresh,
      );
    };
    clock.after(views() * MAX_REPORT_INTERVAL_MS, refresh);
  });
  const arrive = () => {
    clock.after(-Math.log(1 - random()) * 1_000 / opts.perS, arrive);
    const gateway = gateways[Math.floor(random() * GATEWAYS)];
    const request = requests();
    const sentAt = clock.now;
    const placed = gateway?.place(
      fleet.map(({ listed }) => listed),
      request,
      sentAt,
    );
    const i = fleet.findIndex(({ listed }) => listed === placed?.listed);
    const chosen = fleet[i];
    if (!gateway || !placed || !chosen) return;
    let begunAt = 0;
    const isCounted = sentAt >= warmUpMs;
    if (isCounted) chosen.sent += 1;
    chosen.target.submit({
      parts: request.work.parts,
      promptTokens: request.work.promptTokens,
      outputTokens: Math.max(1, request.work.outputTokens),
      serviceMs: request.serviceMs,
      onBegun: (now) => {
        begunAt = now;
        if (isCounted) times.push(now - sentAt);
        if (isCounted && placed.expectedMs !== undefined) {
          errors.push(placed.expectedMs - (now - sentAt));
        }
        gateway.reported(chosen.listed, reportOf(i), now);
        placed.begun(now - sentAt, now);
      },
      onEnded: (now) =>
        placed.ended(now - sentAt, {
          count: request.work.outputTokens - 1,
          ms: now - begunAt,
        }),
    });
  };
  arrive();
  const deviations: number[] = [];
  const sample = () => {
    const loads = fleet.map(({ target }) =>
      (target.report.running + target.report.waiting) / traits.slots
    );
    if (clock.now >= warmUpMs) deviations.push(deviation(loads));
    clock.after(SAMPLE_MS, sample);
  };
  sample();
  clock.runUntil(durationMs);
  times.sort((a, b) => a - b);
  const sent = fleet.map((one) => one.sent);
  const total = sent.reduce((sum, one) => sum + one, 0);
  return {
    meanMs: mean(times),
    p95Ms: times[Math.floor(times.length * 0.95)] ?? 0,
    imbalance: mean(deviations),
    readTokens: fleet.reduce(
      (sum, { target }) =>
        sum + (target instanceof SimulatedEngine ? target.readTokens : 0),
      0,
    ),
    served: times.length,
    biasMs: mean(errors),
    shares: sent.map((one) => one / total),
  };
}

/** The first numbers of a generator with a small seed are close to 0 or 1. */
function randomOf(seed: number): () => number {
  const random = seededRandom(seed);
  for (let i = 0; i < SKIPPED_NUMBERS; i++) random();
  return random;
}

/** Gateway with its own view of the targets. */
class SimulatedGateway {
  readonly #opts: SimulationOptions;
  readonly #slots: number;
  readonly #random: () => number;
  readonly #work = new WorkAtTargets();
  readonly #own = new Map<string, number>();
  readonly #reports = new Map<string, { load: number; at: number }>();

  constructor(opts: SimulationOptions, slots: number, random: () => number) {
    this.#opts = opts;
    this.#slots = slots;
    this.#random = random;
  }

  reported(target: ListedTarget, report: LoadReport, now: number): void {
    const load = report.running + report.waiting;
    this.#reports.set(target.id, { load, at: now });
    this.#work.report(target, report, now);
  }

  place(
    targets: readonly ListedTarget[],
    { work, affinity }: SimulatedRequest,
    now: number,
  ) {
    const isTimed = this.#opts.choice === "time" &&
      this.#work.isReported(targets, now);
    const candidates = targets.map((target): ServingCandidate => {
      const report = this.#reports.get(target.id);
      const isFresh = report && now - report.at < REPORT_TTL_MS;
      return {
        target,
        load: {
          own: this.#own.get(target.id) ?? 0,
          reported: isFresh ? report.load : 0,
          slots: this.#slots,
          weight: 1,
          failureShare: 0,
          isOpen: true,
          capacity: isTimed
            ? this.#work.capacityOf(target, { pool: "pool", work, now })
            : undefined,
        },
      };
    });
    const choice = {
      affinity,
      work,
      isKnownPrefix: this.#work.isKnown("pool", affinity),
      profile: this.#work.profileOf("pool"),
      failureDomain: "d1",
      random: this.#random,
    };
    const placed = placeRequest(candidates, choice);
    if (!placed) return undefined;
    const { target: listed, timed } = placed;
    const call = this.#work.begin({
      pool: "pool",
      target: listed,
      work,
      timed,
      now,
    });
    this.#add(listed.id, 1);
    return {
      listed,
      expectedMs: timed?.expected.expectedMs,
      begun: call.begun,
      ended: (ms: number, events: WrittenEvents) => {
        this.#add(listed.id, -1);
        call.completed(ms, events);
        call.ended();
      },
    };
  }

  #add(id: string, by: number): void {
    this.#own.set(id, (this.#own.get(id) ?? 0) + by);
  }
}

/** Returns a source of random requests. */
function requestSource(
  kind: "engine" | "plain",
  random: () => number,
): () => SimulatedRequest {
  if (kind === "plain") {
    return () => {
      const route = Math.floor(random() * ROUTE_MS.length);
      return {
        work: {
          route: `r${route}`,
          promptTokens: 0,
          outputTokens: 0,
          parts: [],
        },
        serviceMs: (ROUTE_MS[route] ?? 0) * (0.7 + 0.6 * random()),
      };
    };
  }
  const between = (low: number, high: number) =>
    Math.round(low * (high / low) ** random());
  const shared = Array.from({ length: SHARED_PROMPTS }, (_, i): PromptPart => ({
    name: `shared-${i}`,
    tokens: between(1_000, 20_000),
  }));
  let next = 0;
  return () => {
    const own = `own-${next++}`;
    const prefix = random() < 0.7
      ? shared[Math.floor(SHARED_PROMPTS * random() ** 2)]
      : undefined;
    const tokens = Math.min(
      MAX_PROMPT_TOKENS - (prefix?.tokens ?? 0),
      between(MIN_PROMPT_TOKENS, MAX_PROMPT_TOKENS),
    );
    const parts = [...(prefix ? [prefix] : []), { name: own, tokens }];
    return {
      work: {
        route: "r",
        promptTokens: parts.reduce((sum, part) => sum + part.tokens, 0),
        outputTokens: between(20, 400),
        parts,
      },
      affinity: parts.at(-2)?.name ?? parts.at(-1)?.name,
      serviceMs: 0,
    };
  };
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) /
    Math.max(1, values.length);
}

function deviation(values: readonly number[]): number {
  const average = mean(values);
  return Math.sqrt(mean(values.map((value) => (value - average) ** 2)));
}
