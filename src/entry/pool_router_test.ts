import assert from "node:assert/strict";
import { test } from "node:test";
import { seededRandom } from "../kernel/mod.ts";
import { RefusalReason, type Target, TargetKind } from "../model/mod.ts";
import { DEFAULT_HEALTH } from "../routing/mod.ts";
import type { AgentClient } from "../wire/mod.ts";
import { KnownTargets } from "./known_targets.ts";
import { healthOutcomeOf, PoolRouter } from "./pool_router.ts";

const CHOICES = 200;
const FAILURE = healthOutcomeOf(RefusalReason.Silent);

const client = { close: () => Promise.resolve() } as unknown as AgentClient;

const target = (i: number): Target => ({
  id: `t${i}`,
  pool: "p",
  kind: TargetKind.Engine,
  host: `h${i}`,
  domain: `d${i % 3}`,
  agentUrl: `u${i}`,
});

/** Creates a router over a pool of `count` targets. */
function createRouter(count: number) {
  const known = new KnownTargets(() => client);
  const router = new PoolRouter({
    self: { name: "e", domain: "d0" },
    known,
    random: seededRandom(1),
  });
  const targets = Array.from({ length: count }, (_, i) => target(i));
  router.setMembership(targets, []);
  return { router, known, targets };
}

/** Distinct targets of many choices; `-` stands for no target. */
const chosenTargets = (
  router: PoolRouter,
  tried: ReadonlySet<string> = new Set(),
) =>
  new Set(
    Array.from({ length: CHOICES }, () => router.choose({ tried })?.id ?? "-"),
  );

// Guards against a choice that ignores the health weight in #isUsable().
test("PoolRouter does not choose a target that fails repeatedly", () => {
  const { router } = createRouter(3);
  assert.ok(chosenTargets(router).has("t0"));
  for (let i = 0; i < DEFAULT_HEALTH.maxConsecutiveFailures; i += 1) {
    router.recordOutcome("t0", { healthOutcome: FAILURE });
  }
  assert.ok(!chosenTargets(router).has("t0"));
});

test("PoolRouter does not count refusals by a gate as target failures", () => {
  const { router } = createRouter(3);
  for (let i = 0; i < 20; i += 1) {
    router.recordOutcome("t0", {
      healthOutcome: healthOutcomeOf(RefusalReason.OverLimit),
    });
  }
  assert.ok(chosenTargets(router).has("t0"));
});

// Guards against a choice that never looks outside the subset, as without
// `pickUsable(this.#members)`.
test("PoolRouter chooses outside its subset once it is exhausted", () => {
  const { router, targets } = createRouter(60);
  const tracked = new Set(router.subset.map(({ id }) => id));
  assert.ok(tracked.size < targets.length);
  const chosen = chosenTargets(router, tracked);
  assert.ok(!chosen.has("-"));
  assert.ok([...chosen].every((id) => !tracked.has(id)));
});

// Guards against refusing a call when every target is suspected: the last
// choice is among the whole subset.
test("PoolRouter chooses a suspected target when there is no other", () => {
  const { router, known, targets } = createRouter(2);
  targets.forEach((one) => known.of(one).suspectedUntil = Infinity);
  assert.ok(!chosenTargets(router).has("-"));
});

test("KnownTargets replaces the state of a target that has moved", () => {
  const known = new KnownTargets(() => client);
  const before = known.of(target(1));
  known.begin(target(1));
  const moved = { ...target(1), agentUrl: "elsewhere" };
  assert.notEqual(known.of(moved), before);
  assert.equal(known.of(moved).outstanding, 0);
});
