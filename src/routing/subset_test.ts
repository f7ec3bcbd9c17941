import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { setStrictInvariants } from "../kernel/mod.ts";
import type { Target } from "../model/mod.ts";
import {
  DEFAULT_SUBSET,
  type EntryLocation,
  maxEntriesPerTarget,
  subsetOf,
} from "./subset.ts";

setStrictInvariants(true);

const SEED = 11;
const RUNS = 12;
const DOMAINS = ["d1", "d2", "d3", "d4", "d5", "d6"];

const entriesFor = (count: number, salt = 0): EntryLocation[] =>
  Array.from({ length: count }, (_, i) => ({
    name: `entry-${salt}-${i}`,
    domain: DOMAINS[i % DOMAINS.length] as string,
  }));

const targetsFor = (count: number, salt = 0): Target[] =>
  Array.from({ length: count }, (_, i) => ({
    id: `target-${salt}-${i}`,
    pool: "p",
    kind: "engine",
    host: `h${i}`,
    domain: DOMAINS[i % DOMAINS.length] as string,
    agentUrl: "",
  }));

/** Returns all assignments of the fleet as `entry>target`. */
const assignmentsOf = (
  entries: readonly EntryLocation[],
  targets: readonly Target[],
) =>
  new Set(
    entries.flatMap((self) =>
      subsetOf(targets, { self, entries }).map(({ id }) => `${self.name}>${id}`)
    ),
  );

const fleet = fc.record({
  entries: fc.integer({ min: 6, max: 90 }),
  targets: fc.integer({ min: 30, max: 90 }),
  salt: fc.integer({ min: 0, max: 10_000 }),
});

const entryCountOf = (assignments: ReadonlySet<string>, target: string) =>
  [...assignments].filter((one) => one.endsWith(`>${target}`)).length;

// Fails with `isBelowBound` always true.
test("subsetOf() bounds the number of entries per target", () => {
  fc.assert(
    fc.property(fleet, ({ entries: e, targets: t, salt }) => {
      const entries = entriesFor(e, salt);
      const targets = targetsFor(t, salt);
      const assignments = assignmentsOf(entries, targets);
      targets.forEach(({ id, domain }) => {
        const inDomain = targets.filter((one) => one.domain === domain).length;
        const local = entries.filter((one) => one.domain === domain).length;
        const bound = (count: number, want: number) =>
          count === 0 ? 0 : maxEntriesPerTarget({
            entries: count,
            targets: inDomain,
            want: Math.min(want, inDomain),
          });
        // One more each for local and remote entries, since the last entries in
        // order may exceed the bound.
        const most = bound(local, DEFAULT_SUBSET.local) +
          bound(e - local, DEFAULT_SUBSET.remote) + 2;
        assert.ok(entryCountOf(assignments, id) <= most);
      });
    }),
    { seed: SEED, numRuns: RUNS },
  );
});

// Fails with one subset over all domains instead of one per domain.
test("subsetOf() includes targets of every failure domain", () => {
  fc.assert(
    fc.property(fleet, ({ entries: e, targets: t, salt }) => {
      const entries = entriesFor(e, salt);
      const targets = targetsFor(t, salt);
      entries.slice(0, 6).forEach((self) => {
        const subset = subsetOf(targets, { self, entries });
        DOMAINS.forEach((domain) => {
          const want = domain === self.domain
            ? DEFAULT_SUBSET.local
            : DEFAULT_SUBSET.remote;
          const inDomain = targets.filter((one) =>
            one.domain === domain
          ).length;
          assert.equal(
            subset.filter((one) => one.domain === domain).length,
            Math.min(want, inDomain),
          );
        });
      });
    }),
    { seed: SEED, numRuns: RUNS },
  );
});

test("subsetOf() does not depend on the order of entries and targets", () => {
  fc.assert(
    fc.property(fleet, ({ entries: e, targets: t, salt }) => {
      const entries = entriesFor(e, salt);
      const targets = targetsFor(t, salt);
      const self = entries[0] as EntryLocation;
      const ids = (es: readonly EntryLocation[], ts: readonly Target[]) =>
        subsetOf(ts, { self, entries: es }).map(({ id }) => id).sort();
      assert.deepEqual(
        ids([...entries].reverse(), [...targets].reverse()),
        ids(entries, targets),
      );
    }),
    { seed: SEED, numRuns: RUNS },
  );
});

/** Share of new assignments after one member is removed. */
function churnOf(e: number, t: number, salt: number, gone: "entry" | "target") {
  const entries = entriesFor(e, salt);
  const targets = targetsFor(t, salt);
  const before = assignmentsOf(entries, targets);
  const after = gone === "entry"
    ? assignmentsOf(entries.slice(1), targets)
    : assignmentsOf(entries, targets.slice(1));
  const added = [...after].filter((one) => !before.has(one)).length;
  return added / before.size;
}

// Fails with an order that depends on the number of targets (key
// `${name}/${targets.length}`) instead of rendezvous hashing.
test("subsetOf() moves few assignments when one member leaves", () => {
  const runs = Array.from({ length: 4 }, (_, salt) => salt);
  (["entry", "target"] as const).forEach((gone) => {
    const total = runs.reduce(
      (sum, salt) => sum + churnOf(60 + salt, 72 + salt, salt, gone),
      0,
    );
    // One target of 72 has 1.4% of all assignments; the bound is twice that.
    assert.ok(total / runs.length < 0.03, `${gone}: ${total / runs.length}`);
  });
});

test("subsetOf() returns all targets of a small pool", () => {
  const targets = targetsFor(8);
  const entries = entriesFor(3);
  const self = entries[0] as EntryLocation;
  assert.equal(subsetOf(targets, { self, entries }).length, 8);
});
