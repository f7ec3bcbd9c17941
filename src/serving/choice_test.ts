import assert from "node:assert/strict";
import { test } from "node:test";
import {
  chooseTarget,
  type ServingCandidate,
  type TargetLoad,
} from "./choice.ts";
import { listedTarget } from "./testing.ts";

function candidate(
  id: string,
  overrides: Partial<TargetLoad> = {},
  failureDomain = "d1",
): ServingCandidate {
  return {
    target: listedTarget(id, { failureDomain }),
    load: {
      own: 0,
      reported: 0,
      slots: 10,
      weight: 1,
      failureShare: 0,
      isOpen: true,
      ...overrides,
    },
  };
}

const OPTS = { failureDomain: "d1", random: () => 0.5 };

test("chooseTarget() prefers low load, then its own failure domain", () => {
  const loaded = [candidate("a", { own: 5 }), candidate("b", { reported: 1 })];
  assert.equal(chooseTarget(loaded, OPTS)?.id, "b");
  const equal = [candidate("a", {}, "d2"), candidate("b")];
  assert.equal(chooseTarget(equal, OPTS)?.id, "b");
});

test("chooseTarget() excludes closed and ejected targets", () => {
  const all = [
    candidate("a", { isOpen: false }),
    candidate("b", { weight: 0 }),
  ];
  assert.equal(chooseTarget(all, OPTS), undefined);
});

test("chooseTarget() prefers targets with fewer failures", () => {
  const all = [
    candidate("a", { failureShare: 0.4 }),
    candidate("b", { own: 3 }),
  ];
  assert.equal(chooseTarget(all, OPTS)?.id, "b");
});

test("chooseTarget() keeps a prefix on one target, bounded by load", () => {
  const ids = ["a", "b", "c", "d"];
  const opts = { ...OPTS, affinity: "prefix" };
  const first = chooseTarget(ids.map((id) => candidate(id)), opts)?.id;
  const again = chooseTarget(
    ids.map((id) => candidate(id, { own: id === first ? 1 : 0 })),
    opts,
  );
  assert.equal(again?.id, first);
  const busy = chooseTarget(
    ids.map((id) => candidate(id, { own: id === first ? 8 : 0 })),
    opts,
  );
  assert.notEqual(busy?.id, first);
});
