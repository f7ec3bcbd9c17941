/**
 * Experiment: processor time, memory and control traffic of an idle entry and
 * an idle agent by the number of targets and of organisations, and the cost of
 * one change of the lists.
 *
 * @module
 */

import { sleep } from "../kernel/mod.ts";
import {
  ControlTestbed,
  type FleetSize,
  type Reading,
  type Role,
} from "./control_testbed.ts";
import type { Experiment } from "./experiment.ts";

const TARGET_STEPS = [50, 200, 600] as const;
const ORGANISATION_STEPS = [5, 500, 4_500] as const;
const SMALLEST: FleetSize = {
  targets: TARGET_STEPS[0],
  organisations: ORGANISATION_STEPS[0],
};
const LARGEST: FleetSize = { targets: 600, organisations: 4_500 };
const ROLES: readonly Role[] = ["entry", "agent"];

const DEFAULT_BASE_PORT = 30_000;
const PORTS_PER_ROLE = 700;
const SETTLE_MS = 25_000;
const IDLE_MS = 25_000;
const CHANGES = 10;
const CHANGE_EVERY_MS = 1_500;
const MS_PER_S = 1_000;
const BYTES_PER_MB = 1_048_576;
const BYTES_PER_KB = 1_024;

/** Control cost of one role at one fleet size. */
interface CostPoint extends FleetSize {
  readonly role: Role;
  /** Processor time while idle, in percent of one core. */
  readonly cpu_pct: number;
  readonly rss_mb: number;
  readonly kb_per_s: number;
  readonly reads_per_s: number;
  readonly writes_per_s: number;
  /** Additional kilobytes for one change of the lists. */
  readonly kb_per_change: number;
  /** Additional processor time for one change of the lists. */
  readonly cpu_ms_per_change: number;
}

/** The experiment `control-cost`. */
export const controlCost: Experiment = {
  name: "control-cost",
  summary:
    "CPU, memory and bytes of idle processes by targets and organisations",
  run: async ({ seed }) => {
    const points = await measureAll(sizes());
    return {
      experiment: "control-cost",
      seed,
      points,
      slopes: ROLES.map((role) => slopesOf(role, points)),
    };
  },
};

function sizes(): readonly FleetSize[] {
  return [
    ...TARGET_STEPS.map((targets) => ({ ...SMALLEST, targets })),
    ...ORGANISATION_STEPS.slice(1).map((organisations) => ({
      ...SMALLEST,
      organisations,
    })),
    LARGEST,
  ];
}

async function measureAll(steps: readonly FleetSize[]): Promise<CostPoint[]> {
  const points: CostPoint[] = [];
  for (const size of steps) {
    const measurements = ROLES.map((role, i) =>
      measure(role, size, {
        basePort: firstPort() + i * PORTS_PER_ROLE,
      })
    );
    points.push(...await Promise.all(measurements));
  }
  return points;
}

function firstPort(): number {
  return Number(process.env.CASSIAPOST_BASE_PORT ?? DEFAULT_BASE_PORT);
}

async function measure(
  role: Role,
  size: FleetSize,
  opts: { basePort: number },
): Promise<CostPoint> {
  const testbed = await ControlTestbed.start(role, size, opts);
  try {
    await sleep(SETTLE_MS);
    const first = await testbed.read();
    await sleep(IDLE_MS);
    const second = await testbed.read();
    for (let i = 0; i < CHANGES; i += 1) {
      await testbed.changeLists();
      await sleep(CHANGE_EVERY_MS);
    }
    const third = await testbed.read();
    return pointOf({ role, ...size }, [first, second, third]);
  } finally {
    await testbed.stop();
  }
}

function pointOf(
  of: FleetSize & { role: Role },
  [first, second, third]: readonly [Reading, Reading, Reading],
): CostPoint {
  const idleS = (second.at - first.at) / MS_PER_S;
  const changesS = (third.at - second.at) / MS_PER_S;
  const perS = (valueOf: (one: Reading) => number) =>
    (valueOf(second) - valueOf(first)) / idleS;
  const perChange = (valueOf: (one: Reading) => number) =>
    (valueOf(third) - valueOf(second) - perS(valueOf) * changesS) / CHANGES;
  return {
    ...of,
    cpu_pct: round(perS(({ cpuS }) => cpuS) * 100),
    rss_mb: round(second.rssBytes / BYTES_PER_MB),
    kb_per_s: round(perS(({ bytes }) => bytes) / BYTES_PER_KB),
    reads_per_s: round(perS(({ reads }) => reads)),
    writes_per_s: round(perS(({ writes }) => writes)),
    kb_per_change: round(perChange(({ bytes }) => bytes) / BYTES_PER_KB),
    cpu_ms_per_change: round(perChange(({ cpuS }) => cpuS) * MS_PER_S),
  };
}

/**
 * Returns the least-squares slopes of the figures of a role over the number of
 * targets and over the number of organisations.
 */
function slopesOf(role: Role, points: readonly CostPoint[]) {
  const rolePoints = points.filter((point) => point.role === role);
  const byTargets = rolePoints.filter((p) =>
    p.organisations === SMALLEST.organisations
  );
  const byOrganisations = rolePoints.filter((p) =>
    p.targets === SMALLEST.targets
  );
  return {
    role,
    per_100_targets: slopes(byTargets, (p) => p.targets / 100),
    per_1000_organisations: slopes(
      byOrganisations,
      (p) => p.organisations / 1_000,
    ),
  };
}

function slopes(points: readonly CostPoint[], xOf: (p: CostPoint) => number) {
  const slope = (valueOf: (p: CostPoint) => number) =>
    round(leastSquares(points.map((p) => ({ x: xOf(p), y: valueOf(p) }))));
  return {
    cpu_pct: slope((p) => p.cpu_pct),
    rss_mb: slope((p) => p.rss_mb),
    kb_per_s: slope((p) => p.kb_per_s),
    kb_per_change: slope((p) => p.kb_per_change),
    cpu_ms_per_change: slope((p) => p.cpu_ms_per_change),
  };
}

function leastSquares(points: readonly { x: number; y: number }[]): number {
  const mean = (values: readonly number[]) =>
    values.reduce((sum, value) => sum + value, 0) / values.length;
  const meanX = mean(points.map(({ x }) => x));
  const meanY = mean(points.map(({ y }) => y));
  const sumOfSquares = points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0);
  const sumOfProducts = points.reduce(
    (sum, { x, y }) => sum + (x - meanX) * (y - meanY),
    0,
  );
  return sumOfProducts / sumOfSquares;
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}
