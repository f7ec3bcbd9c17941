/**
 * Compares a new build with the others over the same time.
 *
 * The test is that of Fisher, for each route and for all of them together, for
 * failures and for slow responses. It has to hold without the worst targets of
 * the new build: a target that is slow or crashes says nothing about its build.
 *
 * @module
 */

import {
  type Evidence,
  Measure,
  type RouteCounts,
  type StepCounts,
  stepsOf,
  totalFrom,
  totalOf,
} from "./evidence.ts";
import { type Sample, worseProbability } from "./fisher.ts";

/**
 * Bounds of the probability that a good build is judged bad: by any of the looks
 * during an order, and by each of the two last ones, before the shift and at its
 * end. They add up to 5%. The worst targets are left out, so far fewer good
 * builds are judged bad.
 */
const FALSE_POSITIVES = { early: 0.02, last: 0.015 };
/** One of so many targets that were tried is left out as the worst. */
const LEFT_OUT_OF = 5;
/**
 * Probability of the evidence below which a build is suspected: more evidence is
 * gathered as long as the deadline allows.
 */
const SUSPECTED = 0.05;
/** Least difference of the shares of failures that counts against a build. */
const MIN_FAILURE_DIFFERENCE = 0.03;
/** The same of the shares of slow responses. */
const MIN_SLOW_DIFFERENCE = 0.1;
/** Least number of bad responses that count against a build. */
const MIN_BAD = 3;
/** Multiple of the usual time from which a response counts as slow. */
const SLOW_RATIO = 2.5;
/** Largest share of the other builds' responses that may count as slow. */
const MAX_USUAL_SLOW = 0.1;
/** Fewest responses of the other builds that show the usual time of a route. */
const MIN_TIMES = 8;
/** Requests to a new build below which the evidence is thin. */
const THIN_TOTAL = 30;

/** What is compared. */
export const ComparisonKind = { Failed: "failed", Slow: "slow" } as const;
export type ComparisonKind = typeof ComparisonKind[keyof typeof ComparisonKind];

/** What the evidence says of a build. */
export interface Judgement {
  readonly isBad: boolean;
  /** True when the evidence is too weak to acquit the build. */
  readonly isSuspected: boolean;
  /** Probability of the evidence, if the build were as good as the others. */
  readonly probability: number;
  /** What was compared; undefined without bad responses. */
  readonly kind?: ComparisonKind;
  readonly route?: string;
  readonly measure?: Measure;
  readonly tested: Sample;
  readonly base: Sample;
  readonly isThin: boolean;
}

/** How strict a look at the evidence is. */
export interface Look {
  /** Looks that are made during the order. */
  readonly looks: number;
  readonly isLast: boolean;
  /** True when the pool has several targets of the new build. */
  readonly hasSeveralTargets: boolean;
}

interface Comparison {
  readonly kind: ComparisonKind;
  readonly route: string;
  readonly measure: Measure;
  /** Samples of the targets of the new build. */
  readonly targets: ReadonlyMap<string, Sample>;
  readonly base: Sample;
  readonly minDifference: number;
}

const ALL_ROUTES = "*";
const NO_SAMPLE: Sample = { total: 0, bad: 0 };

/** Judges the new build by the evidence of all processes. */
export function judge(evidence: Evidence, look: Look): Judgement {
  const comparisons = compare(evidence.all);
  const limit =
    (look.isLast
      ? FALSE_POSITIVES.last
      : FALSE_POSITIVES.early / Math.max(1, look.looks)) /
    Math.max(1, comparisons.length);
  const tried = new Set(evidence.all.flatMap(({ target }) => target ?? []));
  const leftOut = look.hasSeveralTargets
    ? Math.max(1, Math.ceil(tried.size / LEFT_OUT_OF))
    : 0;
  const results = comparisons.map((one) => ({
    one,
    probability: probabilityOf(one, { isLast: look.isLast, leftOut }),
  }));
  const worst = results.reduce<typeof results[number] | undefined>(
    (least, next) =>
      least && least.probability <= next.probability ? least : next,
    undefined,
  );
  const news = evidence.all.filter(({ target, measure }) =>
    target !== undefined && measure === Measure.Whole
  );
  const total = sumOf(news.map(failuresOf)).total;
  const probability = worst?.probability ?? 1;
  return {
    isBad: probability < limit,
    isSuspected: probability < SUSPECTED || total < THIN_TOTAL,
    probability,
    kind: worst?.one.kind,
    route: worst?.one.route,
    measure: worst?.one.measure,
    tested: worst ? sumOf([...worst.one.targets.values()]) : NO_SAMPLE,
    base: worst?.one.base ?? NO_SAMPLE,
    isThin: total < THIN_TOTAL,
  };
}

function compare(all: readonly RouteCounts[]): readonly Comparison[] {
  const routes = [...new Set(all.map(({ route }) => route))];
  const byRoute = routes.flatMap((route) => {
    const counts = all.filter((one) => one.route === route);
    return Object.values(Measure)
      .flatMap((measure) => compareRoute(counts, route, measure));
  });
  const whole = byRoute.filter(({ measure }) => measure === Measure.Whole);
  const together = Object.values(ComparisonKind).flatMap((kind) => {
    const parts = whole.filter((one) => one.kind === kind);
    // With one route, all of them together are the same once more.
    return parts.length > 1 ? [combine(parts)] : [];
  });
  // Few bad responses can't count against a build, so they need no part of the
  // probability of a false positive.
  return [...byRoute, ...together].filter(({ targets, base }) =>
    sumOf([...targets.values(), base]).bad >= MIN_BAD
  );
}

function compareRoute(
  ofRoute: readonly RouteCounts[],
  route: string,
  measure: Measure,
): readonly Comparison[] {
  const counts = ofRoute.filter((one) => one.measure === measure);
  const old = counts.find(({ target }) => target === undefined);
  const targetsBy = (sample: (one: RouteCounts) => Sample) =>
    new Map(
      counts.flatMap((one) =>
        one.target === undefined ? [] : [[one.target, sample(one)] as const]
      ),
    );
  const failures: Comparison = {
    kind: ComparisonKind.Failed,
    route,
    measure,
    targets: targetsBy(failuresOf),
    base: old ? failuresOf(old) : NO_SAMPLE,
    minDifference: MIN_FAILURE_DIFFERENCE,
  };
  const step = old && slowStep(old.times, measure);
  if (!old || step === undefined) return [failures];
  return [failures, {
    kind: ComparisonKind.Slow,
    route,
    measure,
    targets: targetsBy((one) => slowOf(one, step)),
    base: slowOf(old, step),
    minDifference: MIN_SLOW_DIFFERENCE,
  }];
}

/** Adds up comparisons of several routes, by target. */
function combine(parts: readonly Comparison[]): Comparison {
  const [first] = parts;
  const ids = new Set(parts.flatMap(({ targets }) => [...targets.keys()]));
  return {
    kind: first?.kind ?? ComparisonKind.Failed,
    route: ALL_ROUTES,
    measure: Measure.Whole,
    targets: new Map(
      [...ids].map((id) => [
        id,
        sumOf(parts.flatMap(({ targets }) => targets.get(id) ?? [])),
      ]),
    ),
    base: sumOf(parts.map(({ base }) => base)),
    minDifference: first?.minDifference ?? 0,
  };
}

/**
 * Probability of the evidence without the `leftOut` worst targets of the new
 * build. While no more were tried, nothing counts before the last look.
 */
function probabilityOf(
  { targets, base, minDifference }: Comparison,
  { isLast, leftOut }: { readonly isLast: boolean; readonly leftOut: number },
): number {
  const tried = [...targets.values()].filter(({ total }) => total > 0);
  if (tried.length <= leftOut && !isLast) return 1;
  const excess = ({ total, bad }: Sample) => bad - total * shareOf(base);
  const kept = [...tried].sort((a, b) => excess(b) - excess(a))
    .slice(Math.min(leftOut, tried.length - 1));
  const tested = sumOf(kept);
  return isClear(tested, base, minDifference)
    ? worseProbability(tested, base)
    : 1;
}

function isClear(tested: Sample, base: Sample, minDifference: number): boolean {
  return tested.bad >= MIN_BAD &&
    shareOf(tested) - shareOf(base) >= minDifference;
}

function shareOf({ total, bad }: Sample): number {
  return total > 0 ? bad / total : 0;
}

function failuresOf({ failed, times }: RouteCounts): Sample {
  return { total: failed + totalOf(times), bad: failed };
}

/** Counts open requests once they have taken as long as a slow one. */
function slowOf({ times, open }: RouteCounts, step: number): Sample {
  const overdue = totalFrom(open, step);
  return {
    total: totalOf(times) + overdue,
    bad: totalFrom(times, step) + overdue,
  };
}

/** Step from which a response is slow; undefined while that is not known. */
function slowStep(times: StepCounts, measure: Measure): number | undefined {
  const total = totalOf(times);
  if (total < MIN_TIMES) return undefined;
  const steps = [...times.keys()].sort((a, b) => a - b);
  const median = steps.find((step) => totalFrom(times, step + 1) <= total / 2);
  const tail = steps
    .find((step) => totalFrom(times, step + 1) <= total * MAX_USUAL_SLOW);
  if (median === undefined || tail === undefined) return undefined;
  // New targets have none of the prompts in their caches that old ones have, so
  // their first events may come later although the build is good.
  if (measure === Measure.First) return tail + stepsOf(SLOW_RATIO) + 1;
  return Math.max(median + stepsOf(SLOW_RATIO) + 1, tail + 1);
}

function sumOf(samples: readonly Sample[]): Sample {
  return samples.reduce(
    (sum, { total, bad }) => ({ total: sum.total + total, bad: sum.bad + bad }),
    NO_SAMPLE,
  );
}
