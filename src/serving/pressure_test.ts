import assert from "node:assert/strict";
import { test } from "node:test";
import { Pressure } from "./pressure.ts";

function after(count: number, isRefused: (i: number) => boolean): Pressure {
  return Array.from({ length: count }, (_, i) => isRefused(i))
    .reduce((pressure, one) => pressure.observe(one), new Pressure());
}

test("Pressure.waitShare() is 1 while no request is refused", () => {
  assert.equal(after(100, () => false).waitShare(0), 1);
});

test("Pressure.waitShare() reduces small requests as refusals grow", () => {
  const some = after(200, (i) => i % 10 === 0);
  const many = after(200, (i) => i % 2 === 0);
  assert.ok(some.waitShare(0) < 1);
  assert.ok(many.waitShare(0) < some.waitShare(0));
  assert.ok(many.waitShare(0.5) > many.waitShare(0));
  assert.equal(many.waitShare(1), 1);
});

test("Pressure.waitShare() recovers when requests are admitted again", () => {
  const before = after(100, () => true);
  const later = Array.from({ length: 100 })
    .reduce<Pressure>((pressure) => pressure.observe(false), before);
  assert.ok(later.waitShare(0) > 0.95);
});
