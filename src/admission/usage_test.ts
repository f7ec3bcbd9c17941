import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { setStrictInvariants } from "../kernel/mod.ts";
import { Proof, RefusalReason } from "../model/mod.ts";
import {
  applyUsage,
  decideShare,
  EMPTY_USAGE,
  fleetUsage,
  type UsageEvent,
  type UsageState,
} from "./usage.ts";

setStrictInvariants(true);

const applyAll = (events: readonly UsageEvent[], now = 0): UsageState =>
  events.reduce((state, event) => applyUsage(state, event, now), EMPTY_USAGE);
const enter: UsageEvent = { kind: "enter", organisation: "c" };
const leave: UsageEvent = { kind: "leave", organisation: "c" };
const report = (target: string, inHand: number): UsageEvent => ({
  kind: "report",
  organisation: "c",
  target,
  inHand,
});

test("decideShare() refuses requests above the plan's limit as not run", () => {
  const decide = (state: UsageState) =>
    decideShare(state, { organisation: "c", maxConcurrent: 2 }, 0);
  assert.equal(decide(applyAll([enter])), undefined);
  const refusal = decide(applyAll([enter, enter]));
  assert.equal(refusal?.reason, RefusalReason.OverShare);
  assert.equal(refusal?.proof, Proof.NotRun);
  assert.equal(decide(applyAll([enter, enter, leave])), undefined);
});

test("fleetUsage() counts the calls of other entries at the gates", () => {
  // Fails when fleetUsage() counts the entry's own requests only.
  const state = applyAll([enter, report("t1", 3), report("t2", 4)]);
  assert.equal(fleetUsage(state, "c", 0), 7);
  assert.equal(fleetUsage(state, "other", 0), 0);
});

test("fleetUsage() ignores expired reports", () => {
  // Fails when reports do not expire: their calls would count against the plan
  // for ever.
  assert.equal(fleetUsage(applyAll([enter, report("t1", 9)]), "c", 5_000), 1);
});

test("applyUsage() removes an organisation without requests and reports", () => {
  assert.equal(
    applyAll([enter, report("t", 1), report("t", 0), leave]).size,
    0,
  );
});

test("decideShare() enforces the plan across entries once gates report", () => {
  // Fails when fleetUsage() counts the entry's own requests only.
  const MAX = 10;
  const step = fc.record({
    entry: fc.nat({ max: 3 }),
    leave: fc.nat({ max: 5 }).map((n) => n === 0),
    waitMs: fc.nat({ max: 50 }),
  });
  fc.assert(
    fc.property(fc.array(step, { minLength: 80, maxLength: 200 }), (steps) => {
      let now = 0;
      const entries = Array.from({ length: 4 }, () => EMPTY_USAGE);
      const own = [0, 0, 0, 0];
      const total = () => own.reduce((sum, n) => sum + n, 0);
      const apply = (event: UsageEvent) => (i: number) =>
        entries[i] = applyUsage(entries[i] ?? EMPTY_USAGE, event, now);
      steps.forEach(({ entry, leave: leaves, waitMs }) => {
        now += waitMs;
        const state = entries[entry] ?? EMPTY_USAGE;
        if (leaves && (own[entry] ?? 0) > 0) {
          own[entry] = (own[entry] ?? 0) - 1;
          apply(leave)(entry);
        } else if (
          !decideShare(state, { organisation: "c", maxConcurrent: MAX }, now)
        ) {
          own[entry] = (own[entry] ?? 0) + 1;
          apply(enter)(entry);
        }
        // The responses to every entry carry the gate's count.
        entries.forEach((_, i) => apply(report("t", total()))(i));
        assert.ok(total() <= MAX);
      });
    }),
    { seed: 4, numRuns: 200 },
  );
});
