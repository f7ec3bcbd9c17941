import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import {
  applyCache,
  BELIEF_MS,
  type CacheEvent,
  type CacheView,
  EMPTY_CACHE_VIEW,
  isHolder,
  MAX_BELIEFS,
} from "./cache_view.ts";

const SEED = 41;
const KEYS = ["a", "b", "c", "d"];

const used = (key: string): CacheEvent => ({ kind: "used", target: "t", key });
const reported = (
  seq: number,
  added: readonly string[],
  removed: readonly string[] = [],
): CacheEvent => ({ kind: "reported", target: "t", seq, added, removed });

const after = (...events: readonly CacheEvent[]): CacheView =>
  events.reduce((view, event) => applyCache(view, event, 0), EMPTY_CACHE_VIEW);

const holds = (view: CacheView, key: string, now = 0) =>
  isHolder(view, { target: "t", key, now });

interface Change {
  readonly key: string;
  readonly add: boolean;
}

// Seen to fail with `hasGap` always false.
test("applyCache() believes nothing false that a report could have denied", () => {
  const change = fc.record({
    key: fc.constantFrom(...KEYS),
    add: fc.boolean(),
    lost: fc.boolean(),
  });
  fc.assert(
    fc.property(fc.array(change, { maxLength: 40 }), (changes) => {
      const truth = new Set<string>();
      let view: CacheView = EMPTY_CACHE_VIEW;
      changes.forEach(({ key, add, lost }, i) => {
        truth[add ? "add" : "delete"](key);
        if (lost) return;
        view = applyCache(view, reportOf(i, { key, add }), 0);
        KEYS.filter((one) => holds(view, one))
          .forEach((one) => assert.ok(truth.has(one)));
      });
    }),
    { seed: SEED, numRuns: 300 },
  );
});

// Seen to fail without the comparison of `event.seq` with `seq`.
test("applyCache() ignores a report that was overtaken", () => {
  const view = after(reported(1, ["a"]), reported(2, [], ["a"]));
  assert.equal(holds(applyCache(view, reported(1, ["a"]), 0), "a"), false);
});

test("applyCache() drops every belief when the target lost its memory", () => {
  const view = after(used("a"), { kind: "cleared", target: "t" });
  assert.equal(holds(view, "a"), false);
});

test("isHolder() lets beliefs expire", () => {
  const view = after(used("a"));
  assert.equal(holds(view, "a", BELIEF_MS - 1), true);
  assert.equal(holds(view, "a", BELIEF_MS), false);
});

test("applyCache() bounds the beliefs about one target", () => {
  let view: CacheView = EMPTY_CACHE_VIEW;
  for (let i = 0; i < MAX_BELIEFS + 10; i += 1) {
    view = applyCache(view, used(`k${i}`), i);
  }
  assert.equal(view.get("t")?.held.size, MAX_BELIEFS);
  assert.equal(view.get("t")?.held.has("k0"), false);
});

function reportOf(seq: number, { key, add }: Change): CacheEvent {
  return reported(seq, add ? [key] : [], add ? [] : [key]);
}
