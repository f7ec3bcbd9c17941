import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { EMPTY_LISTS, type Lists, type Organisation } from "../model/mod.ts";
import {
  applyChange,
  applyDelta,
  applyOrder,
  applyUpdate,
  describeDiff,
  diffLists,
  EMPTY_LISTS_HISTORY,
  type ListsChange,
  mergeDeltas,
  updateSince,
} from "./mod.ts";

const SEED = 61;

const name = fc.constantFrom("a", "b", "c", "d", "e");
const organisations = fc.uniqueArray(
  fc.record({ id: name, plan: fc.constantFrom("p", "q") }),
  { selector: ({ id }) => id },
).map((list) => ({
  organisations: list
    .map((one): Organisation => ({ ...one, keySha256: one.id }))
    .toSorted((a, b) => a.id < b.id ? -1 : 1),
}));
const availability = fc.record({
  domainsOut: fc.uniqueArray(name),
  hostsOut: fc.uniqueArray(name),
});
const change: fc.Arbitrary<ListsChange> = fc.record(
  { organisations, availability },
  { requiredKeys: [] },
);

const versions = (changes: readonly ListsChange[]): Lists[] =>
  changes.reduce<Lists[]>(
    (all, one) => [...all, applyChange(all.at(-1) ?? EMPTY_LISTS, one)],
    [EMPTY_LISTS],
  );

test("mergeDeltas() yields the same lists as applying each delta", () => {
  // Fails when `mergeDeltas` keeps an organisation that the second delta
  // removes.
  fc.assert(
    fc.property(fc.array(change, { minLength: 1, maxLength: 8 }), (changes) => {
      const all = versions(changes);
      const deltas = all.slice(1).map((after, i) =>
        diffLists(all[i] as Lists, after)
      );
      const merged = applyDelta(EMPTY_LISTS, deltas.reduce(mergeDeltas));
      assert.deepEqual(merged._unsafeUnwrap(), all.at(-1));
    }),
    { seed: SEED, numRuns: 500 },
  );
});

test("applyUpdate() brings readers up to date, never to older lists", () => {
  // Fails when `applyUpdate` does not compare versions.
  const step = fc.record({ change, readers: fc.array(fc.nat(3)) });
  fc.assert(
    fc.property(
      fc.array(step, { maxLength: 100 }),
      fc.array(fc.nat(3)),
      (steps, finalReaders) => {
        const readers = Array.from({ length: 4 }, () => EMPTY_LISTS_HISTORY);
        const source = steps.reduce((history, { change, readers: updated }) => {
          const lists = applyChange(history.lists, change);
          const next = applyUpdate(history, { kind: "lists", lists });
          updated.forEach((i) => pull(i, next));
          return next;
        }, EMPTY_LISTS_HISTORY);
        finalReaders.forEach((i) => pull(i, source));
        finalReaders.forEach((i) =>
          assert.deepEqual(readers[i]?.lists, source.lists)
        );

        function pull(i: number, from: typeof EMPTY_LISTS_HISTORY) {
          const before = readers[i] ?? EMPTY_LISTS_HISTORY;
          const update = updateSince(from, before.lists.version);
          const after = update ? applyUpdate(before, update) : before;
          assert.ok(after.lists.version >= before.lists.version);
          const older = { kind: "lists", lists: before.lists } as const;
          assert.equal(applyUpdate(after, older), after);
          readers[i] = after;
        }
      },
    ),
    { seed: SEED, numRuns: 200 },
  );
});

test("updateSince() returns one changed organisation, not all", () => {
  const many = Array.from({ length: 4_500 }, (_, i): Organisation => ({
    id: `organisation-${String(i).padStart(5, "0")}`,
    plan: "p",
    keySha256: "0".repeat(64),
  }));
  const lists = {
    ...EMPTY_LISTS,
    version: 1,
    organisations: { organisations: many },
  };
  const [first] = many as [Organisation];
  const after = applyChange(lists, {
    organisations: { organisations: many.with(0, { ...first, plan: "q" }) },
  });
  const history = applyUpdate(
    applyUpdate(EMPTY_LISTS_HISTORY, { kind: "lists", lists }),
    { kind: "lists", lists: after },
  );
  const update = updateSince(history, 1);
  assert.ok(JSON.stringify(update).length < 500);
  assert.ok(JSON.stringify(updateSince(history, 0)).length > 400_000);
});

test("describeDiff() returns a line for each difference", () => {
  const before = applyChange(EMPTY_LISTS, {
    organisations: { organisations: [{ id: "a", plan: "p", keySha256: "1" }] },
  });
  const order = { what: "domain", name: "north", out: true } as const;
  const after = applyChange(before, {
    organisations: { organisations: [{ id: "b", plan: "p", keySha256: "2" }] },
    availability: applyOrder(before.availability, order),
  });
  assert.deepEqual(describeDiff(before, after), [
    "+ organisation b plan=p",
    "- organisation a",
    "~ domain north out",
  ]);
});
