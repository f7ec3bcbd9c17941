import assert from "node:assert/strict";
import { test } from "node:test";
import { StageTargets } from "./stage_targets.ts";

const LIMITS = {
  slots: 1,
  queue: 2,
  maxPieces: 4,
  callMs: 100,
  pieceMs: 10,
  roomBytes: 100,
  resultTtlMs: 4_000,
};

function ids(targets: StageTargets, now: number): string[] {
  return targets.free(LIMITS, now).map(({ id }) => id);
}

test("StageTargets.free() excludes busy and paused targets", () => {
  const targets = new StageTargets().withMembers(["a", "b"]);
  assert.deepEqual(ids(targets.sent("a", LIMITS, 4, 0), 0), ["b"]);
  const failed = targets.failed("a", 0);
  assert.deepEqual(ids(failed, 0), ["b"]);
  assert.deepEqual(ids(failed, 10_000).toSorted(), ["a", "b"]);
});

test("StageTargets.isOnTrial() is true after a failure or a slow call", () => {
  const targets = new StageTargets().withMembers(["a", "b"]);
  assert.equal(targets.isOnTrial("a"), false);
  assert.equal(targets.failed("a", 0).isOnTrial("a"), true);
  const slow = targets.answered("a", 9, 0);
  assert.equal(slow.isOnTrial("a"), true);
  assert.equal(slow.answered("a", 1, 5_000).isOnTrial("a"), false);
});

test("StageTargets.capacity() counts slow targets as less than one", () => {
  const targets = new StageTargets().withMembers(["a", "b"]);
  assert.equal(targets.capacity(0), 2);
  assert.ok(targets.answered("a", 3, 0).capacity(10_000) < 2);
});

test("StageTargets.ended() keeps the observed speed of a target", () => {
  const targets = new StageTargets().withMembers(["a", "b"])
    .sent("a", LIMITS, 4, 0).ended("a", 5);
  assert.deepEqual(ids(targets, 5).toSorted(), ["a", "b"]);
  assert.equal(targets.isOnTrial("b"), false);
});

test("StageTargets.capacity() counts targets that resume soon while all are paused", () => {
  const failed = new StageTargets().withMembers(["a", "b"])
    .failed("a", 0).failed("b", 0);
  assert.deepEqual(ids(failed, 1), []);
  assert.equal(failed.capacity(1), 2);
  assert.equal(failed.failed("a", 1).failed("b", 1).capacity(2), 0);
});

test("targets that slow down at the same time are not all paused", () => {
  const targets = new StageTargets().withMembers(["a", "b"])
    .answered("a", 4, 0).answered("b", 4, 0);
  assert.notDeepEqual(ids(targets, 1), []);
  const only = new StageTargets().withMembers(["a"]).answered("a", 4, 0);
  assert.deepEqual(ids(only, 1), ["a"]);
});
