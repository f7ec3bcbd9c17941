import assert from "node:assert/strict";
import { test } from "node:test";
import { DurationHistogram, Metrics } from "./metrics.ts";

test("Metrics.text() contains counters, gauges and summaries", () => {
  const metrics = new Metrics();
  metrics.count("requests_total", { result: "done" });
  metrics.count("requests_total", { result: "done" }, 2);
  metrics.gauge("queued", () => 7);
  metrics.durations("request", { pipeline: "p" }).record(12);
  const lines = metrics.text().split("\n");
  assert.ok(lines.includes('cassiapost_requests_total{result="done"} 3'));
  assert.ok(lines.includes("cassiapost_queued 7"));
  assert.ok(lines.includes('cassiapost_request_ms_count{pipeline="p"} 1'));
});

test("Metrics.total() sums a counter over its label values", () => {
  const metrics = new Metrics();
  metrics.count("retries_total", { stage: "a" });
  metrics.count("retries_total", { stage: "b" }, 2);
  assert.equal(metrics.total("retries_total"), 3);
});

test("DurationHistogram.quantile() keeps two significant digits", () => {
  const durations = new DurationHistogram();
  Array.from({ length: 100 }, (_, i) => durations.record(i + 1));
  assert.ok(Math.abs(durations.quantile(0.95) - 95) <= 1);
});
