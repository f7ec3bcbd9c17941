import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { ok } from "neverthrow";
import { EMPTY_LISTS, type Lists, sha256 } from "../model/mod.ts";
import { Metrics, SILENT_LOGGER, Tracing } from "../telemetry/mod.ts";
import { Front } from "./front.ts";

const SEED = 20_261;
const RUNS = 2_000;
const KNOWN_STATUSES = [200, 400, 401, 403, 404, 413, 422, 500];

const LISTS: Lists = {
  ...EMPTY_LISTS,
  version: 1,
  organisations: {
    organisations: [{ id: "c", plan: "p", keySha256: sha256("k") }],
  },
  use: {
    plans: [{ name: "p", weight: 1, maxConcurrent: 9, pipelines: ["tags"] }],
    pipelines: [{
      name: "tags",
      durable: false,
      priority: "interactive",
      deadlineMs: 4_000,
      stages: [],
    }],
  },
};

const headerText = fc.string({ maxLength: 40 }).map((text) =>
  text.replace(/[^\x20-\x7e]/g, "")
);

/** Generates the valid value three times out of four, else any text. */
const mostly = (valid: string) =>
  fc.oneof({ weight: 3, arbitrary: fc.constant(valid) }, headerText);

const request = fc.record({
  path: fc.oneof(
    {
      weight: 3,
      arbitrary: fc.constant("/v1/pipelines/tags"),
    },
    fc.constantFrom("/v1/pipelines/", "/", "/v1/pipelines/%"),
    fc.webPath(),
  ),
  method: fc.oneof(
    { weight: 3, arbitrary: fc.constant("POST") },
    fc.constantFrom("GET", "PUT", "DELETE", "PATCH"),
  ),
  headers: fc.record({
    "authorization": mostly("Bearer k"),
    "deadline-ms": mostly("900"),
    "idempotency-key": mostly("key"),
    "accept": mostly("text/event-stream"),
    "traceparent": headerText,
    "content-type": mostly("application/json"),
    "content-length": mostly("11"),
  }, { requiredKeys: [] }),
  body: fc.oneof(
    { weight: 3, arbitrary: fc.constant('{"input":1}') },
    fc.string(),
    fc.json(),
  ),
});

test("Front responds to any request and runs none without a known key", async () => {
  let runs = 0;
  const app = new Front({
    runner: {
      run: () => {
        runs += 1;
        return Promise.resolve(ok([]));
      },
    },
    lists: { current: LISTS, isConfirmed: true },
    metrics: new Metrics(),
    tracing: new Tracing({ to: "none", log: SILENT_LOGGER, process: "e" }),
    log: SILENT_LOGGER,
    maxBodyBytes: 1_000,
  }).app();
  await fc.assert(
    fc.asyncProperty(request, async ({ path, method, headers, body }) => {
      const before = runs;
      const res = await app.request(path, {
        method,
        headers,
        ...(method === "GET" ? {} : { body }),
      });
      await res.text();
      assert.ok(KNOWN_STATUSES.includes(res.status), `status ${res.status}`);
      const knownKey = headers.authorization === "Bearer k";
      assert.ok(runs === before || knownKey);
    }),
    { seed: SEED, numRuns: RUNS },
  );
  assert.ok(runs > 0);
});
