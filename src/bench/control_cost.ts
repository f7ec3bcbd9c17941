/**
 * Experiment: what an idle entry and an idle agent spend on control, by the
 * number of targets and of organisations, and what one change of the lists costs.
 *
 * @module
 */

import { sleep } from "../kernel/mod.ts";
import {
  ControlRig,
  type Reading,
  type RigSize,
  type Role,
} from "./control_rig.ts";
import type { Experiment } from "./experiment.ts";

const TARGET_STEPS = [50, 200, 600] as const;
const ORGANISATION_STEPS = [5, 500, 4_500] as const;
const SMALLEST: RigSize = {
  targets: TARGET_STEPS[0],
  organisations: ORGANISATION_STEPS[0],
};
const LARGEST: RigSize = { targets: 600, organisations: 4_500 };
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

/** Control cost of one role at one size. */
interface CostPoint extends RigSize {
  readonly role: Role;
  /** Share of one core while idle, in percent. */
  readonly cpu_pct: number;
  readonly rss_mb: number;
  readonly kb_per_s: number;
  readonly reads_per_s: number;
  readonly writes_per_s: number;
  /** Further bytes for one change of the lists. */
  readonly kb_per_change: number;
  /** Further processor time for one change of the lists. */
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

function sizes(): readonly RigSize[] {
  return [
    ...TARGET_STEPS.map((targets) => ({ ...SMALLEST, targets })),
    ...ORGANISATION_STEPS.slice(1).map((organisations) => ({
      ...SMALLEST,
      organisations,
    })),
    LARGEST,
  ];
}

async function measureAll(all: readonly RigSize[]): Promise<CostPoint[]> {
  const points: CostPoint[] = [];
  for (const size of all) {
    const both = ROLES.map((role, i) =>
      measure(role, size, {
        basePort: firstPort() + i * PORTS_PER_ROLE,
      })
    );
    points.push(...await Promise.all(both));
  }
  return points;
}

function firstPort(): number {
  return Number(process.env.CASSIAPOST_BASE_PORT ?? DEFAULT_BASE_PORT);
}

async function measure(
  role: Role,
  size: RigSize,
  opts: { basePort: number },
): Promise<CostPoint> {
  const rig = await ControlRig.start(role, size, opts);
  try {
    await sleep(SETTLE_MS);
    const first = await rig.read();
    await sleep(IDLE_MS);
    const second = await rig.read();
    for (let i = 0; i < CHANGES; i += 1) {
      await rig.changeLists();
      await sleep(CHANGE_EVERY_MS);
    }
    const third = await rig.read();
    return pointOf({ role, ...size }, [first, second, third]);
  } finally {
    await rig.stop();
  }
}

function pointOf(
  of: RigSize & { role: Role },
  [first, second, third]: readonly [Reading, Reading, Reading],
): CostPoint {
  const idleS = (second.at - first.at) / MS_PER_S;
  const changesS = (third.at - second.at) / MS_PER_S;
  const perS = (read: (one: Reading) => number) =>
    (read(second) - read(first)) / idleS;
  const perChange = (read: (one: Reading) => number) =>
    (read(third) - read(second) - perS(read) * changesS) / CHANGES;
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

/** Least-squares slopes of a role over targets and over organisations. */
function slopesOf(role: Role, points: readonly CostPoint[]) {
  const own = points.filter((point) => point.role === role);
  const byTargets = own.filter((p) =>
    p.organisations === SMALLEST.organisations
  );
  const byOrganisations = own.filter((p) => p.targets === SMALLEST.targets);
  return {
    role,
    per_100_targets: slopes(byTargets, (p) => p.targets / 100),
    per_1000_organisations: slopes(
      byOrganisations,
      (p) => p.organisations / 1_000,
    ),
  };
}

function slopes(points: readonly CostPoint[], at: (p: CostPoint) => number) {
  const slope = (read: (p: CostPoint) => number) =>
    round(leastSquares(points.map((p) => ({ x: at(p), y: read(p) }))));
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
  const spread = points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0);
  const shared = points.reduce(
    (sum, { x, y }) => sum + (x - meanX) * (y - meanY),
    0,
  );
  return shared / spread;
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}
