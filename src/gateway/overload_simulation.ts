/**
 * Simulation of an owner of three stage pools under more load than they can
 * carry, for tests: callers of three priorities, with waves and clumps, who
 * send a refused request once more.
 *
 * @module
 */

import {
  monotonicMs,
  type Random,
  seededRandom,
  sleep,
} from "../kernel/mod.ts";
import {
  type BatchLimits,
  type Pool,
  Pressure,
  queueRetryAfterMs,
  type StateChange,
  TargetState,
} from "../serving/mod.ts";
import {
  type LogFields,
  type Logger,
  Metrics,
  SILENT_LOGGER,
} from "../telemetry/mod.ts";
import type { ChainResponse, StageChain } from "../wire/mod.ts";
import { ChainRunner } from "./chain_runner.ts";
import { INITIAL_LIMITS, type Piece } from "./ports.ts";
import { StageBatcher } from "./stage_batcher.ts";
import {
  FakeStageTargets,
  NO_PAUSES,
  NO_RATE_LIMITS,
  stateOf,
} from "./testing.ts";

const LARGE_BYTES = 800_000;
const SMALL_BYTES = 8_000;
const ROOM_BYTES = 9_600_000;
const POOLS = [
  stagePool("first", { maxPieces: 8, pieceMs: 26 }),
  stagePool("second", { maxPieces: 20, pieceMs: 10.5 }),
  stagePool("third", { maxPieces: 25, pieceMs: 8.5 }),
];
const TARGETS = [12, 11, 13];
const DOMAINS = 6;
/** Part of the work of a usual piece that a small piece of `first` takes. */
const SMALL_WORK = 0.3;
/** Time to the first byte of an engine, in milliseconds. */
const FIRST_BYTE_MS = 220;
/** Time that a caller waits for its response, in milliseconds. */
const DEADLINE_MS = 8_000;
/** Requests that arrive together. */
const CLUMP = 3;
const WAVE_SWING = 0.27;
const WAVE_MS = 11_000;
/** Requests with stages a second that full calls can carry. */
export const CAPACITY_PER_S = 140;

/** Worth of a request on time and late, by priority: weighs results only. */
const WORTH = [
  { onTime: 6, late: 0.36 },
  { onTime: 1.5, late: 0.22 },
  { onTime: 0.16, late: 0.036 },
];

/** Offered load. */
export interface OverloadOptions {
  /** Requests a second as a multiple of the capacity. */
  readonly load: number;
  readonly forMs: number;
  readonly random: Random;
  /** Replaces members of the chains. */
  readonly overrides?: (chain: StageChain, index: number) => StageChain;
}

/** Result of one priority. */
export interface PriorityResult {
  requests: number;
  onTime: number;
  late: number;
  /** Late requests that were not refused at first. */
  lateAtFirst: number;
  /** Requests that were not run in the end. */
  lost: number;
  /** Requests that were refused at first. */
  refused: number;
  /** Errors of the expected time of completed chains, in milliseconds. */
  readonly errors: number[];
}

/** What a request came to. */
export interface SimulatedRequest {
  readonly chain: StageChain;
  readonly index: number;
  readonly outcome: "on time" | "late" | "lost";
  readonly wasRefused: boolean;
}

/** Results of a simulation. */
export class OverloadResult {
  readonly requests: SimulatedRequest[] = [];
  readonly priorities: PriorityResult[] = WORTH.map(() => ({
    requests: 0,
    onTime: 0,
    late: 0,
    lateAtFirst: 0,
    lost: 0,
    refused: 0,
    errors: [],
  }));
  readonly metrics = new Metrics();
  readonly calls = new Map<string, number[]>();
  readonly retryAfterMs: number[] = [];
  /** Number of decisions on chains, by priority and reason. */
  readonly reasons = new Map<string, number>();
  readonly limitsMs: number[] = [];

  get value(): number {
    return this.priorities.reduce(
      (sum, one, i) =>
        sum + one.onTime * (WORTH[i]?.onTime ?? 0) +
        one.late * (WORTH[i]?.late ?? 0),
      0,
    );
  }

  /** Highest value that serving every request on time would have. */
  get bestValue(): number {
    return this.priorities.reduce(
      (sum, one, i) => sum + one.requests * (WORTH[i]?.onTime ?? 0),
      0,
    );
  }

  share(priority: number, kind: "onTime" | "late" | "lost" | "refused") {
    const one = this.priorities[priority];
    return one ? one[kind] / Math.max(1, one.requests) : 0;
  }

  /**
   * Share of the requests of a priority that were served; only of those in the
   * largest `largest` part by the number of their large pieces.
   */
  servedShare(priority: number, largest = 1): number {
    const piecesOf = ({ chain }: SimulatedRequest) =>
      chain.stages.reduce((sum, { pieces }) => sum + pieces, 0);
    const all = this.requests.filter(({ chain }) =>
      chain.priority % 10 === priority
    )
      .sort((a, b) => piecesOf(b) - piecesOf(a));
    const counted = all.slice(0, Math.ceil(all.length * largest));
    return counted.filter(({ outcome }) => outcome !== "lost").length /
      Math.max(1, counted.length);
  }

  /** Share of all requests that were served. */
  get allServedShare(): number {
    const served = this.requests.filter(({ outcome }) => outcome !== "lost");
    return served.length / Math.max(1, this.requests.length);
  }

  /**
   * Median of the actual waits in the first pool less the expected ones, in
   * milliseconds.
   */
  medianWaitErrorMs(priority: number): number {
    const histogram = (sign: string) =>
      this.metrics.durations("stage_wait_error", {
        pool: "first",
        priority: String(priority),
        sign,
      });
    const early = histogram("early");
    const late = histogram("late");
    const half = (early.count + late.count) / 2;
    return early.count > half
      ? -early.quantile(1 - half / early.count)
      : late.quantile((half - early.count) / Math.max(1, late.count));
  }

  /** Mean number of pieces of the calls of a pool. */
  meanPieces(pool: string): number {
    return mean(this.calls.get(pool) ?? []);
  }

  get medianLimitMs(): number {
    return median(this.limitsMs);
  }

  get medianErrorMs(): number {
    return median(this.priorities.flatMap(({ errors }) => errors));
  }

  countReason(priority: number, reason: string): void {
    const key = `${priority} ${reason}`;
    this.reasons.set(key, (this.reasons.get(key) ?? 0) + 1);
  }

  /** Lines that summarise the results. */
  text(): string {
    const percent = (part: number, whole: number) =>
      `${(100 * part / Math.max(1, whole)).toFixed(0)}%`;
    const lines = this.priorities.map((one, i) =>
      `  priority ${i}: ${one.requests} requests, on time ${
        percent(one.onTime, one.requests)
      }, late ${percent(one.late, one.requests)} (${
        percent(one.lateAtFirst, one.requests)
      } unrefused), lost ${percent(one.lost, one.requests)}, first refused ${
        percent(one.refused, one.requests)
      }, largest served ${
        percent(this.servedShare(i, 0.1), 1)
      }, error p10/50/90 ${
        [0.1, 0.5, 0.9].map((q) => quantile(one.errors, q).toFixed(0)).join("/")
      } ms`
    );
    const calls = [...this.calls].map(([pool, pieces]) =>
      `${pool} ${mean(pieces).toFixed(1)} (one: ${
        percent(pieces.filter((n) => n === 1).length, pieces.length)
      }, ${pieces.length} calls)`
    );
    return [
      `  value ${percent(this.value, this.bestValue)} of all on time`,
      ...lines,
      `  error p50 ${this.medianErrorMs.toFixed(0)}, limit p50 ${
        median(this.limitsMs).toFixed(0)
      }, retry after p10/50/90 ${
        [0.1, 0.5, 0.9].map((q) => quantile(this.retryAfterMs, q).toFixed(0))
          .join("/")
      }`,
      `  pieces per call: ${calls.join(", ")}`,
      `  decisions: ${
        [...this.reasons].sort(([a], [b]) => a < b ? -1 : 1)
          .map(([reason, count]) => `${reason} ${count}`).join(", ")
      }`,
    ].join("\n");
  }
}

/** Runs the simulation under the clock that is installed. */
export async function simulateOverload(
  opts: OverloadOptions,
): Promise<OverloadResult> {
  const { random } = opts;
  // What arrives must not depend on how it is served.
  const arrivals = seededRandom(Math.floor(random() * 2 ** 31));
  const result = new OverloadResult();
  const byRequest = new Map<string, StageChain>();
  const bytesOf = ({ requestId, stage }: Piece) =>
    byRequest.get(requestId)?.stages[stage]?.resultBytes ?? 0;
  const workOf = (pool: string, piece: Piece) =>
    pool === "first" && bytesOf(piece) === SMALL_BYTES ? SMALL_WORK : 1;
  const targets = new FakeStageTargets({
    limits: (pool) => {
      const found = POOLS.find(({ name }) => name === pool)?.batch;
      if (!found) throw new Error(`No pool ${pool}`);
      return found;
    },
    bytes: bytesOf,
    workMs: (pool, pieces) => {
      const batch = POOLS.find(({ name }) => name === pool)?.batch;
      if (!batch) throw new Error(`No pool ${pool}`);
      const work = pieces.reduce((sum, one) => sum + workOf(pool, one), 0);
      result.calls.set(pool, [
        ...result.calls.get(pool) ?? [],
        pieces.length,
      ]);
      const noise = 0.95 + 0.1 * random();
      return 3 + noise * (batch.callMs + batch.pieceMs * work);
    },
  });
  const fleet = stateOf(listedPools());
  const expected = new Map<string, number>();
  const log = recordingLogger((event, fields) => {
    if (event === "chain_displaced") {
      result.countReason(Number(fields["priority"]), "displaced");
    }
    if (event !== "chain_admission") return;
    result.countReason(
      Number(fields["priority"]),
      String(fields["refused"] ?? "admitted"),
    );
    expected.set(
      String(fields["request"]),
      Number(fields["waitMs"]) + Number(fields["bareMs"]),
    );
    result.limitsMs.push(Number(fields["limitMs"]));
  });
  const { metrics } = result;
  const batcher = new StageBatcher({
    rates: NO_RATE_LIMITS,
    pauses: NO_PAUSES,
    usable: (pool, now) => fleet.usable(pool, now),
    state: () => fleet,
    client: targets,
    log: SILENT_LOGGER,
    metrics,
  });
  const runner = new ChainRunner({ batcher, state: () => fleet, log, metrics });
  const chains = new ChainSource(arrivals);
  const endAt = monotonicMs() + opts.forMs;
  const requests: Promise<void>[] = [];
  let pressure = new Pressure();
  const meanGapMs = 1_000 * CLUMP / (opts.load * CAPACITY_PER_S);
  let index = 0;
  while (monotonicMs() < endAt) {
    const wave = 1 +
      WAVE_SWING * Math.sin(2 * Math.PI * monotonicMs() / WAVE_MS);
    await sleep(-Math.log(1 - arrivals()) * meanGapMs / wave);
    for (let i = 0; i < CLUMP; i++) {
      const at = index++;
      const drawn = chains.next(at);
      const chain = opts.overrides?.(drawn, at) ?? drawn;
      requests.push(runRequest(chain, at));
    }
  }
  await Promise.all(requests);
  return result;

  async function runRequest(chain: StageChain, at: number): Promise<void> {
    const startedAt = monotonicMs();
    const one = result.priorities[chain.priority % 10];
    if (!one) throw new Error("no such priority");
    one.requests += 1;
    let wasRefused = false;
    const record = (outcome: SimulatedRequest["outcome"]) => {
      result.requests.push({ chain, index: at, outcome, wasRefused });
    };
    for (let attempt = 0; attempt < 2; attempt++) {
      const elapsedMs = monotonicMs() - startedAt;
      const requestId = `${chain.requestId}/${attempt}`;
      byRequest.set(requestId, chain);
      const response: ChainResponse = await runner.run({
        ...chain,
        requestId,
        dueMs: chain.dueMs - elapsedMs,
        expiresMs: chain.expiresMs - elapsedMs,
        isRetry: attempt > 0,
      }, new AbortController().signal);
      pressure = pressure.observe(response.kind === "refused");
      if (response.kind === "done") {
        const tookMs = monotonicMs() - startedAt;
        one.errors.push((expected.get(requestId) ?? 0) - (tookMs - elapsedMs));
        await sleep(FIRST_BYTE_MS * (0.8 + 0.4 * random()));
        runner.release(response.results);
        const isOnTime = tookMs <= chain.dueMs;
        if (isOnTime) one.onTime += 1;
        else one.late += 1;
        if (!isOnTime && !wasRefused) one.lateAtFirst += 1;
        return record(isOnTime ? "on time" : "late");
      }
      if (attempt === 0) {
        one.refused += 1;
        wasRefused = true;
        const waitMs = response.kind === "refused" ? response.waitMs : 0;
        const remainingMs = DEADLINE_MS - (monotonicMs() - startedAt);
        const afterMs = queueRetryAfterMs({
          remainingMs,
          dueInMs: chain.dueMs - (monotonicMs() - startedAt),
          waitMs,
          refusedShare: pressure.refusedShare,
        }, random);
        result.retryAfterMs.push(afterMs);
        await sleep(afterMs);
      }
    }
    one.lost += 1;
    record("lost");
  }
}

/** Draws chains of the three priorities. */
class ChainSource {
  readonly #random: Random;

  constructor(random: Random) {
    this.#random = random;
  }

  next(index: number): StageChain {
    const draw = this.#random();
    if (draw < 0.32) return this.#urgent(index);
    if (draw < 0.72) {
      return this.#chain(index, 1, 2_000 + 200 * this.#random(), []);
    }
    const large = this.#random() < 0.4 ? this.#pieces(1.5, 6) : 0;
    return this.#chain(index, 2, 2_000 + 400 * this.#random(), [large]);
  }

  #urgent(index: number): StageChain {
    const stages = [{
      pool: "first",
      after: [],
      resultBytes: LARGE_BYTES,
      pieces: this.#pieces(2.5, 10),
    }];
    return this.#of(index, 0, 1_200 + 500 * this.#random(), stages);
  }

  #chain(
    index: number,
    priority: number,
    objectiveMs: number,
    large: readonly number[],
  ): StageChain {
    return this.#of(index, priority, objectiveMs, [
      { pool: "first", after: [], resultBytes: SMALL_BYTES, pieces: 1 },
      {
        pool: "second",
        after: [0],
        resultBytes: SMALL_BYTES,
        pieces: this.#pieces(4, 12),
      },
      {
        pool: "third",
        after: [1],
        resultBytes: SMALL_BYTES,
        pieces: this.#pieces(6, 15),
      },
      ...large.map((pieces) => ({
        pool: "first",
        after: [],
        resultBytes: LARGE_BYTES,
        pieces,
      })),
    ]);
  }

  #of(
    index: number,
    priority: number,
    objectiveMs: number,
    stages: StageChain["stages"],
  ): StageChain {
    return {
      requestId: `r${index}`,
      priority,
      dueMs: objectiveMs - FIRST_BYTE_MS,
      expiresMs: DEADLINE_MS - FIRST_BYTE_MS,
      sizeRank: this.#random(),
      key: "k",
      resultDomain: `d${Math.floor(this.#random() * DOMAINS)}`,
      stages,
    };
  }

  /** Draws a log-normal number of pieces, at least 1. */
  #pieces(meanPieces: number, most: number): number {
    const sigma = 0.6;
    const u = 1 - this.#random();
    const normal = Math.sqrt(-2 * Math.log(u)) *
      Math.cos(2 * Math.PI * this.#random());
    const drawn = meanPieces * Math.exp(sigma * normal - sigma * sigma / 2);
    return Math.min(most, Math.max(1, Math.round(drawn)));
  }
}

function stagePool(
  name: string,
  limits: Pick<BatchLimits, "maxPieces" | "pieceMs">,
): Pool {
  return {
    name,
    maxConnections: 100,
    coldMs: 0,
    coldPerS: 0,
    batch: {
      slots: 1,
      queue: 2,
      callMs: 240,
      roomBytes: ROOM_BYTES,
      resultTtlMs: 4_000,
      ...limits,
    },
  };
}

/** Returns the changes that list the pools and their targets. */
function listedPools(): readonly StateChange[] {
  const catalog = {
    version: 1,
    routes: [],
    pools: POOLS,
    limits: INITIAL_LIMITS,
  };
  const targets = POOLS.flatMap(({ name }, p) =>
    Array.from({ length: TARGETS[p] ?? 0 }, (_, i): StateChange => ({
      kind: "target",
      version: 2 + p * 20 + i,
      id: `${name}-${i}`,
      target: {
        id: `${name}-${i}`,
        pool: name,
        address: `10.0.${p}.${i}:80`,
        failureDomain: `d${i % DOMAINS}`,
        state: TargetState.Ready,
        coldMs: 0,
      },
    }))
  );
  return [{ kind: "catalog", version: 1, catalog }, ...targets];
}

function recordingLogger(
  record: (event: string, fields: LogFields) => void,
): Logger {
  return {
    ...SILENT_LOGGER,
    info: (event, fields = {}) => record(event, fields),
  };
}

function quantile(values: readonly number[], q: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(q * (sorted.length - 1))] ?? 0;
}

function median(values: readonly number[]): number {
  return quantile(values, 0.5);
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, one) => sum + one, 0) /
    Math.max(1, values.length);
}
