/**
 * Program that runs random histories for some minutes.
 *
 * @module
 */

import { cac } from "cac";
import { onViolation, violationCount } from "../kernel/mod.ts";
import { type SoakAudit } from "./audit.ts";
import { runHistory } from "./history.ts";
import { withPausedClock } from "../testing/mod.ts";

const KEYS = 200;
const LENGTH_MS = 30_000;
const MS_PER_MINUTE = 60_000;

const cli = cac("soak");
cli.command("", "Run random histories")
  .option("--seed <number>", "First seed", { default: 1 })
  .option("--minutes <number>", "Length of the run, in minutes", { default: 1 })
  .option("--histories <number>", "Number of histories, instead of a length")
  .action(soak);
cli.help();
cli.parse();

async function soak(
  flags: { seed: number; minutes: number; histories?: number },
): Promise<void> {
  const endAt = flags.histories === undefined
    ? Date.now() + flags.minutes * MS_PER_MINUTE
    : Infinity;
  const lastSeed = flags.seed + (flags.histories ?? Infinity);
  let seed = flags.seed;
  let total: SoakAudit | undefined;
  onViolation(({ name, detail }) =>
    console.error(`seed=${seed} invariant=${name} ${detail}`)
  );
  for (; Date.now() < endAt && seed < lastSeed; seed += 1) {
    const audit = await withPausedClock(
      () => runHistory({ seed, keys: KEYS, lengthMs: LENGTH_MS }),
      { seed },
    );
    total = add(audit, total);
  }
  const figures = Object.entries(total ?? {})
    .map(([name, value]) => `${name}=${value}`).join(" ");
  console.log(
    `histories=${seed - flags.seed} keys=${(seed - flags.seed) * KEYS} ` +
      `${figures} invariant_violations=${violationCount()}`,
  );
  process.exitCode = violationCount() === 0 ? 0 : 1;
}

function add(audit: SoakAudit, total?: SoakAudit): SoakAudit {
  if (!total) return audit;
  const names = Object.keys(audit) as (keyof SoakAudit)[];
  return Object.fromEntries(
    names.map((name) => [name, audit[name] + total[name]]),
  ) as unknown as SoakAudit;
}
