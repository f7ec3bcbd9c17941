import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import {
  applyCache,
  type CacheEvent,
  type CacheView,
  EMPTY_CACHE_VIEW,
  isHolder,
  MAX_PREFIXES_PER_TARGET,
  PREFIX_TTL_MS,
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

// Fails when `hasGap` is always false.
test("applyCache() keeps no prefix that a lost report may have removed", () => {
  const change = fc.record({
    key: fc.constantFrom(...KEYS),
    add: fc.boolean(),
    lost: fc.boolean(),
  });
  fc.assert(
    fc.property(fc.array(change, { maxLength: 40 }), (changes) => {
      const cached = new Set<string>();
      let view: CacheView = EMPTY_CACHE_VIEW;
      changes.forEach(({ key, add, lost }, i) => {
        cached[add ? "add" : "delete"](key);
        if (lost) return;
        view = applyCache(view, reportOf(i, { key, add }), 0);
        KEYS.filter((one) => holds(view, one))
          .forEach((one) => assert.ok(cached.has(one)));
      });
    }),
    { seed: SEED, numRuns: 300 },
  );
});

// Fails without the comparison of `event.seq` with `seq`.
test("applyCache() ignores a report that arrives after a newer one", () => {
  const view = after(reported(1, ["a"]), reported(2, [], ["a"]));
  assert.equal(holds(applyCache(view, reported(1, ["a"]), 0), "a"), false);
});

test("applyCache() discards all prefixes of a cleared target", () => {
  const view = after(used("a"), { kind: "cleared", target: "t" });
  assert.equal(holds(view, "a"), false);
});

test("isHolder() returns false once a prefix has expired", () => {
  const view = after(used("a"));
  assert.equal(holds(view, "a", PREFIX_TTL_MS - 1), true);
  assert.equal(holds(view, "a", PREFIX_TTL_MS), false);
});

test("applyCache() bounds the number of prefixes per target", () => {
  let view: CacheView = EMPTY_CACHE_VIEW;
  for (let i = 0; i < MAX_PREFIXES_PER_TARGET + 10; i += 1) {
    view = applyCache(view, used(`k${i}`), i);
  }
  assert.equal(view.get("t")?.held.size, MAX_PREFIXES_PER_TARGET);
  assert.equal(view.get("t")?.held.has("k0"), false);
});

function reportOf(seq: number, { key, add }: Change): CacheEvent {
  return reported(seq, add ? [key] : [], add ? [] : [key]);
}
