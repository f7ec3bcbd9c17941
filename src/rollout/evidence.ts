/**
 * Counts of the requests to the builds of a pool while an order is in force, by
 * route and target. They are cumulative, so that whoever collects them needs
 * only the newest ones of each process.
 *
 * @module
 */

/** Steps of the times' logarithmic scale for each doubling. */
const STEPS_PER_DOUBLING = 2;

/** Step of the scale that a time in milliseconds belongs to. */
export function timeStep(ms: number): number {
  return Math.floor(STEPS_PER_DOUBLING * Math.log2(Math.max(1, ms)));
}

/** Steps between a time and a multiple of it. */
export function stepsOf(ratio: number): number {
  return Math.ceil(STEPS_PER_DOUBLING * Math.log2(ratio));
}

/** Numbers by step. */
export type StepCounts = ReadonlyMap<number, number>;

/** What the times of requests measure. */
export const Measure = {
  /** Time until the response has ended. */
  Whole: "whole",
  /** Time until the first event of a stream. */
  First: "first",
  /** Time for each event of a stream after the first one. */
  Pace: "pace",
} as const;
export type Measure = typeof Measure[keyof typeof Measure];

/** Requests of one route to one target; all old ones count as one target. */
export interface RouteCounts {
  readonly route: string;
  readonly measure: Measure;
  /** Target of the new build; undefined for all targets of other builds. */
  readonly target?: string;
  readonly failed: number;
  /** Successful requests by the time that they took. */
  readonly times: StepCounts;
  /** Requests that have not ended by the time since they were sent. */
  readonly open: StepCounts;
}

/** Identifies counts. */
export type CountsKey = Pick<RouteCounts, "route" | "measure" | "target">;

/** Text that identifies counts. */
export function keyOf({ route, measure, target }: CountsKey): string {
  return JSON.stringify([route, measure, target ?? null]);
}

/** Returns the counts with one more of a step. */
function withStep(counts: StepCounts, step: number): StepCounts {
  return new Map(counts).set(step, (counts.get(step) ?? 0) + 1);
}

/** Number of all steps of counts. */
export function totalOf(counts: StepCounts): number {
  return [...counts.values()].reduce((sum, one) => sum + one, 0);
}

/** Number of the counts from a step on. */
export function totalFrom(counts: StepCounts, step: number): number {
  return [...counts].filter(([at]) => at >= step)
    .reduce((sum, [, count]) => sum + count, 0);
}

/** Adds counts by step to a map. */
function addSteps(sum: Map<number, number>, counts: StepCounts): void {
  counts.forEach((by, step) => sum.set(step, (sum.get(step) ?? 0) + by));
}

/** Adds up the counts of several processes. */
export function sumOfCounts(all: readonly RouteCounts[]): Evidence {
  // One pass: hundreds of processes report while an order is in force.
  const sums = new Map<string, {
    key: CountsKey;
    failed: number;
    times: Map<number, number>;
    open: Map<number, number>;
  }>();
  all.forEach((one) => {
    const { route, measure, target } = one;
    const id = keyOf(one);
    const sum = sums.get(id) ?? {
      key: { route, measure, target },
      failed: 0,
      times: new Map(),
      open: new Map(),
    };
    sum.failed += one.failed;
    addSteps(sum.times, one.times);
    addSteps(sum.open, one.open);
    sums.set(id, sum);
  });
  return new Evidence(
    new Map(
      [...sums].map(([id, { key, ...counts }]) => [id, { ...key, ...counts }]),
    ),
  );
}

/** Counts of requests. Immutable. */
export class Evidence {
  readonly #counts: ReadonlyMap<string, RouteCounts>;

  constructor(counts: ReadonlyMap<string, RouteCounts> = new Map()) {
    this.#counts = counts;
  }

  get all(): readonly RouteCounts[] {
    return [...this.#counts.values()];
  }

  /** Records a request or a part of it that took `ms` milliseconds. */
  measured(key: CountsKey, ms: number): Evidence {
    const counts = this.#of(key);
    const times = withStep(counts.times, timeStep(ms));
    return this.#with({ ...counts, times });
  }

  failed(key: CountsKey): Evidence {
    const counts = this.#of(key);
    return this.#with({ ...counts, failed: counts.failed + 1 });
  }

  /** Adds a request that was sent `ms` milliseconds ago and has not ended. */
  waiting(key: CountsKey, ms: number): Evidence {
    const counts = this.#of(key);
    const open = withStep(counts.open, timeStep(ms));
    return this.#with({ ...counts, open });
  }

  #of({ route, measure, target }: CountsKey): RouteCounts {
    return this.#counts.get(keyOf({ route, measure, target })) ??
      { route, measure, target, failed: 0, times: new Map(), open: new Map() };
  }

  #with(counts: RouteCounts): Evidence {
    return new Evidence(new Map(this.#counts).set(keyOf(counts), counts));
  }
}
