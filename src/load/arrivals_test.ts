import assert from "node:assert/strict";
import { test } from "node:test";
import { planArrivals } from "./arrivals.ts";
import type { LoadSettings } from "./settings.ts";

const settings = (overrides: Partial<LoadSettings> = {}): LoadSettings => ({
  entryUrls: ["http://127.0.0.1:1"],
  organisations: [{ id: "c", key: "k", weight: 1 }],
  mix: [{ pipeline: "p", weight: 1, deadlineMs: 1_000, files: false }],
  ratePerS: 100,
  durationS: 60,
  seed: 5,
  ...overrides,
});

test("planArrivals() keeps the mean rate and returns the same plan for a seed", () => {
  const plan = planArrivals(settings());
  assert.ok(Math.abs(plan.length - 6_000) < 300);
  assert.deepEqual(plan, planArrivals(settings()));
});

// Guards against ignoring bursts, that is, factorAt() being 1 at all times.
test("planArrivals() plans bursts at a multiple of the rate outside them", () => {
  const bursts = { everyS: 10, lengthS: 2, factor: 4 };
  const plan = planArrivals(settings({ bursts }));
  const inBurst = plan.filter(({ atMs }) => atMs % 10_000 < 2_000).length;
  const outside = plan.length - inBurst;
  assert.ok(Math.abs(inBurst / 12 - 400) < 40);
  assert.ok(Math.abs(outside / 48 - 100) < 10);
});

test("planArrivals() shares the configured number of documents", () => {
  const documents = { count: 3, chars: 500 };
  const plan = planArrivals(settings({ documents }));
  const texts = new Set(plan.map(({ document }) => document));
  assert.equal(texts.size, 3);
  assert.ok([...texts].every((text) => text?.length === 500));
});
