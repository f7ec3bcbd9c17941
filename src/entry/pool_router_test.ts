import assert from "node:assert/strict";
import { test } from "node:test";
import { seededRandom } from "../kernel/mod.ts";
import { RefusalReason, type Target, TargetKind } from "../model/mod.ts";
import { DEFAULT_HEALTH } from "../routing/mod.ts";
import type { AgentClient } from "../wire/mod.ts";
import { KnownTargets } from "./known_targets.ts";
import { PoolRouter, verdictOf } from "./pool_router.ts";

const DRAWS = 200;
const FAILED = verdictOf(RefusalReason.Silent);

const client = { close: () => Promise.resolve() } as unknown as AgentClient;

const target = (i: number): Target => ({
  id: `t${i}`,
  pool: "p",
  kind: TargetKind.Engine,
  host: `h${i}`,
  domain: `d${i % 3}`,
  agentUrl: `u${i}`,
});

/** Router over a pool of this many targets. */
function routerOver(count: number) {
  const known = new KnownTargets(() => client);
  const router = new PoolRouter({
    self: { name: "e", domain: "d0" },
    known,
    random: seededRandom(1),
  });
  const targets = Array.from({ length: count }, (_, i) => target(i));
  router.follow(targets, []);
  return { router, known, targets };
}

/** Targets that many choices give. */
const chosen = (router: PoolRouter, tried: ReadonlySet<string> = new Set()) =>
  new Set(
    Array.from({ length: DRAWS }, () => router.choose({ tried })?.id ?? "-"),
  );

// Seen to fail without the weight in #isTrusted().
test("PoolRouter gives no work to a target that keeps failing", () => {
  const { router } = routerOver(3);
  assert.ok(chosen(router).has("t0"));
  for (let i = 0; i < DEFAULT_HEALTH.maxFailures; i += 1) {
    router.ended("t0", { verdict: FAILED });
  }
  assert.ok(!chosen(router).has("t0"));
});

test("PoolRouter does not hold a gate's refusals against a target", () => {
  const { router } = routerOver(3);
  for (let i = 0; i < 20; i += 1) {
    router.ended("t0", { verdict: verdictOf(RefusalReason.OverLimit) });
  }
  assert.ok(chosen(router).has("t0"));
});

// Seen to fail without `usable(this.#members)`.
test("PoolRouter goes beyond its subset when nothing else is left", () => {
  const { router, targets } = routerOver(60);
  const followed = new Set(router.subset.map(({ id }) => id));
  assert.ok(followed.size < targets.length);
  const given = chosen(router, followed);
  assert.ok(!given.has("-"));
  assert.ok([...given].every((id) => !followed.has(id)));
});

// Seen to fail without the last choice among the whole subset.
test("PoolRouter gives a suspected target when there is no other", () => {
  const { router, known, targets } = routerOver(2);
  targets.forEach((one) => known.of(one).suspectedUntil = Infinity);
  assert.ok(!chosen(router).has("-"));
});

test("KnownTargets starts anew when a target has moved", () => {
  const known = new KnownTargets(() => client);
  const before = known.of(target(1));
  known.begin(target(1));
  const moved = { ...target(1), agentUrl: "elsewhere" };
  assert.notEqual(known.of(moved), before);
  assert.equal(known.of(moved).outstanding, 0);
});
