import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { seededRandom } from "../kernel/mod.ts";
import {
  AFFINITY_PRESSURE,
  AFFINITY_RATIO,
  type Candidate,
  type ChoiceOptions,
  chooseTarget,
  MAX_LOCAL_PRESSURE,
} from "./choose.ts";
import { candidate, target } from "./testing.ts";

const SEED = 21;
const DRAWS = 400;

/** Counts how often each target is chosen in repeated choices. */
function draws(
  candidates: readonly Candidate[],
  opts: Partial<ChoiceOptions> = {},
): Map<string, number> {
  const random = seededRandom(SEED);
  const counts = new Map<string, number>();
  for (let i = 0; i < DRAWS; i += 1) {
    const { id } = chooseTarget(candidates, { random, ...opts }) ?? target("-");
    counts.set(id, (counts.get(id) ?? 0) + 1);
  }
  return counts;
}

const anyCandidates = fc.uniqueArray(
  fc.record({
    id: fc.integer({ min: 0, max: 40 }).map((n) => `t${n}`),
    domain: fc.constantFrom("d1", "d2", "d3"),
    running: fc.integer({ min: 0, max: 30 }),
    limit: fc.integer({ min: 1, max: 30 }),
    weight: fc.constantFrom(0, 0.1, 0.5, 1),
    outstanding: fc.integer({ min: 0, max: 20 }),
    startedSinceReport: fc.integer({ min: 0, max: 20 }),
    loadAgeMs: fc.integer({ min: 0, max: 20_000 }),
  }),
  { selector: ({ id }) => id, minLength: 1, maxLength: 12 },
).map((all) => all.map(({ id, ...over }) => candidate(id, over)));

// Fails without the check of `weight` in chooseTarget(), and without the check
// of `exclude`.
test("chooseTarget() chooses no ejected, leaving or excluded target", () => {
  fc.assert(
    fc.property(
      anyCandidates,
      fc.integer(),
      fc.boolean(),
      (all, seed, withPrefix) => {
        const leaving = all.map((one, i) =>
          i % 5 === 4 && one.load
            ? { ...one, load: { ...one.load, leaving: true } }
            : one
        );
        const exclude = new Set(
          leaving.filter((_, i) => i % 3 === 2).map(({ target }) => target.id),
        );
        const chosen = chooseTarget(leaving, {
          random: seededRandom(seed),
          localDomain: "d1",
          exclude,
          prefix: withPrefix ? "k" : undefined,
        });
        const allowed = leaving.filter(({ target, load, weight }) =>
          weight > 0 && !load?.leaving && !exclude.has(target.id)
        ).map(({ target }) => target.id);
        assert.equal(chosen !== undefined, allowed.length > 0);
        if (chosen) assert.ok(allowed.includes(chosen.id));
      },
    ),
    { seed: SEED, numRuns: 300 },
  );
});

// Fails with a single draw (lessLoadedOfTwo() returns `first`).
test("chooseTarget() never chooses the most loaded of three targets", () => {
  const counts = draws([
    candidate("idle", { running: 1 }),
    candidate("some", { running: 3 }),
    candidate("full", { running: 9 }),
  ], { localDomain: "d1" });
  assert.equal(counts.get("full"), undefined);
  assert.ok((counts.get("idle") ?? 0) > (counts.get("some") ?? 0));
});

// Fails with `startedSinceReport` left out of the pressure.
test("chooseTarget() counts calls started since the last report", () => {
  const counts = draws([
    candidate("herd", { running: 0, startedSinceReport: 8, outstanding: 0 }),
    candidate("calm", { running: 4 }),
  ]);
  assert.equal(counts.get("herd"), undefined);
});

// Fails with `reportWeight` fixed at 1.
test("chooseTarget() weights an old report less than a fresh one", () => {
  const all = [
    candidate("old", { running: 0, loadAgeMs: 20_000 }),
    candidate("fresh", { running: 3 }),
    candidate("busy", { running: 9 }),
  ];
  // The mean of the three reports is 0.4; the old report of zero decays to it.
  assert.equal(draws(all.slice(0, 2)).get("fresh") ?? 0, 0);
  assert.equal(draws(all, { exclude: new Set(["busy"]) }).get("fresh") ?? 0, 0);
  assert.ok((draws(all).get("fresh") ?? 0) > DRAWS / 2);
});

// Fails without the branch that returns `local` below MAX_LOCAL_PRESSURE.
test("chooseTarget() chooses a local target while there is headroom", () => {
  fc.assert(
    fc.property(
      fc.integer({ min: 0, max: 10 }),
      fc.integer({ min: 0, max: 10 }),
      (localLoad, remoteLoad) => {
        const counts = draws([
          candidate("local", { domain: "d1", running: localLoad }),
          candidate("remote", { domain: "d2", running: remoteLoad }),
        ], { localDomain: "d1" });
        if (localLoad / 10 < MAX_LOCAL_PRESSURE) {
          assert.equal(counts.get("remote"), undefined);
        }
        if (localLoad === 10 && remoteLoad <= 5) {
          assert.equal(counts.get("local"), undefined);
        }
      },
    ),
    { seed: SEED, numRuns: 30 },
  );
});

test("chooseTarget() prefers failure domains outside avoidDomains", () => {
  const counts = draws([
    candidate("same", { domain: "d1" }),
    candidate("other", { domain: "d2", running: 9 }),
  ], { localDomain: "d1", avoidDomains: new Set(["d1"]) });
  assert.equal(counts.get("same"), undefined);
});

// Fails without the draw against `weight` in lessLoadedOfTwo().
test("chooseTarget() sends few calls to a target of low weight", () => {
  const counts = draws([
    candidate("returning", { weight: 0.1 }),
    candidate("steady", { running: 5 }),
  ]);
  const share = (counts.get("returning") ?? 0) / DRAWS;
  assert.ok(share > 0.03 && share < 0.2, `${share}`);
});

const KEYS = Array.from({ length: 60 }, (_, i) => `k${i}`);

// Fails with chooseByPrefix() returning undefined.
test("chooseTarget() sends calls with the same prefix to one target", () => {
  KEYS.forEach((prefix) => {
    const all = ["a", "b", "c", "d"].map((id) => candidate(id));
    assert.equal(draws(all, { prefix, localDomain: "d1" }).size, 1);
  });
});

// Fails with `bound` set to Infinity.
test("chooseTarget() bounds the load that prefix affinity causes", () => {
  fc.assert(
    fc.property(anyCandidates, fc.constantFrom(...KEYS), (all, prefix) => {
      const steady = all.map((one) => ({ ...one, weight: 1, loadAgeMs: 0 }));
      const chosen = chooseTarget(steady, {
        random: seededRandom(SEED),
        prefix,
        localDomain: "d1",
      });
      const pressures = steady.map(pressure);
      const mean = pressures.reduce((sum, p) => sum + p, 0) / pressures.length;
      const bound = Math.max(AFFINITY_PRESSURE, AFFINITY_RATIO * mean);
      const at = steady.findIndex(({ target }) => target.id === chosen?.id);
      const anyBelow = pressures.some((p) => p < bound);
      if (anyBelow) assert.ok((pressures[at] ?? Infinity) < bound);
    }),
    { seed: SEED, numRuns: 300 },
  );
});

// Fails without the holders at the start of `ranked`.
test("chooseTarget() prefers a target that holds the prefix", () => {
  KEYS.forEach((prefix) => {
    const counts = draws([
      candidate("a"),
      candidate("b"),
      candidate("holder", { domain: "d2", holdsPrefix: true }),
    ], { prefix, localDomain: "d1" });
    assert.deepEqual([...counts.keys()], ["holder"]);
  });
});

// Fails with a rendezvous order that hashes positions instead of names.
test("chooseTarget() moves only the prefixes of a target that left", () => {
  const all = ["a", "b", "c", "d", "e"].map((id) => candidate(id));
  const choose = (from: readonly Candidate[], prefix: string) =>
    chooseTarget(from, { random: seededRandom(SEED), prefix })?.id;
  KEYS.forEach((prefix) => {
    const before = choose(all, prefix);
    const after = choose(all.slice(1), prefix);
    assert.ok(before === "a" || before === after);
  });
});

function pressure(
  { load, outstanding, startedSinceReport }: Candidate,
): number {
  const limit = load?.limit ?? 1;
  return Math.max(
    outstanding / limit,
    ((load?.running ?? 0) + startedSinceReport) / limit,
  );
}
