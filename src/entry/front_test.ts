import assert from "node:assert/strict";
import { test } from "node:test";
import { err, ok } from "neverthrow";
import {
  digest,
  EMPTY_LISTS,
  type Lists,
  notRun,
  RefusalReason,
  sha256,
  type StageResult,
} from "../model/mod.ts";
import { Metrics, SILENT_LOGGER, Tracing } from "../telemetry/mod.ts";
import { Front, type FrontParts } from "./front.ts";
import type { PipelineRequest } from "./runner.ts";

const MAX_BODY_BYTES = 500;
const LISTS: Lists = {
  ...EMPTY_LISTS,
  version: 1,
  organisations: {
    organisations: [{ id: "c", plan: "p", keySha256: sha256("secret") }],
  },
  use: {
    plans: [{ name: "p", weight: 1, maxConcurrent: 9, pipelines: ["tags"] }],
    pipelines: ["tags", "other"].map((name) => ({
      name,
      durable: false,
      priority: "interactive",
      deadlineMs: 4_000,
      stages: [{
        name: "one",
        kind: "encode",
        pool: "x",
        idempotent: true,
        expectedMs: 1,
      }],
    })),
  },
};

const RESULT: StageResult = {
  callId: "r/one/1",
  stage: "one",
  fingerprint: "f",
  target: "t",
  output: { text: "hello" },
  digest: digest({ text: "hello" }),
  tokens: 2,
  serviceMs: 1,
  queuedMs: 0,
  replayed: false,
};

const app = (over: Partial<FrontParts> = {}) =>
  new Front({
    runner: { run: () => Promise.resolve(ok([RESULT])) },
    lists: { current: LISTS, isConfirmed: true },
    metrics: new Metrics(),
    tracing: new Tracing({ to: "none", log: SILENT_LOGGER, process: "e" }),
    log: SILENT_LOGGER,
    maxBodyBytes: MAX_BODY_BYTES,
    ...over,
  }).app();

interface Sent {
  pipeline?: string;
  key?: string;
  body?: string;
  headers?: Record<string, string>;
  over?: Partial<FrontParts>;
}

const send = (sent: Sent = {}) =>
  app(sent.over).request(`/v1/pipelines/${sent.pipeline ?? "tags"}`, {
    method: "POST",
    headers: {
      authorization: `Bearer ${sent.key ?? "secret"}`,
      ...sent.headers,
    },
    body: sent.body ?? JSON.stringify({ input: { text: "t" } }),
  });

interface Body {
  requestId?: string;
  type: string;
  outcome?: string;
  detail?: string;
  output?: unknown;
}

const bodyOf = async (res: Response) => await res.json() as Body;

const problem = async (sent: Sent) => {
  const res = await send(sent);
  const body = await bodyOf(res);
  return {
    status: res.status,
    reason: body.type.split(":").at(-1),
    outcome: body.outcome,
    text: JSON.stringify(body),
  };
};

test("Front answers with the whole result and the request's identifiers", async () => {
  const res = await send({ headers: { "idempotency-key": "k1" } });
  const body = await bodyOf(res);
  assert.equal(res.status, 200);
  assert.deepEqual(body.output, { text: "hello" });
  assert.equal(res.headers.get("idempotency-key"), "k1");
  assert.equal(res.headers.get("x-request-id"), body.requestId);
});

const REFUSED: readonly [string, Sent, number, string][] = [
  ["an unknown key", { key: "wrong" }, 401, "unauthenticated"],
  ["no key", { headers: { authorization: "" } }, 401, "unauthenticated"],
  ["an unknown pipeline", { pipeline: "nope" }, 404, "unknown-pipeline"],
  ["a pipeline outside the plan", { pipeline: "other" }, 403, "not-permitted"],
  ["text that is not JSON", { body: "{" }, 400, "bad-request"],
  ["a body without input", { body: "{}" }, 400, "bad-request"],
  ["an oversized body", { body: "x".repeat(501) }, 413, "body-too-large"],
  [
    "a deadline of zero",
    { headers: { "deadline-ms": "0" } },
    400,
    "bad-request",
  ],
  [
    "a deadline in words",
    { headers: { "deadline-ms": "soon" } },
    400,
    "bad-request",
  ],
  [
    "a deadline of days",
    { headers: { "deadline-ms": "1e9" } },
    400,
    "bad-request",
  ],
  [
    "an endless key",
    { headers: { "idempotency-key": "k".repeat(201) } },
    400,
    "bad-request",
  ],
];

REFUSED.forEach(([what, sent, status, reason]) =>
  test(`Front refuses ${what} as not run`, async () => {
    const answer = await problem(sent);
    assert.deepEqual(
      [answer.status, answer.reason, answer.outcome],
      [status, reason, "not-run"],
    );
  })
);

test("Front refuses new work while its lists are not confirmed", async () => {
  const lists = { current: LISTS, isConfirmed: false };
  const res = await send({ over: { lists } });
  assert.equal(res.status, 503);
  assert.equal(res.headers.get("retry-after"), "1");
});

test("Front passes a refusal on as a problem document", async () => {
  const refusal = notRun(RefusalReason.OverLimit, "Full", 2_500);
  const run = () => Promise.resolve(err(refusal));
  const res = await send({ over: { runner: { run } } });
  assert.equal(res.headers.get("content-type"), "application/problem+json");
  assert.equal(res.headers.get("retry-after"), "3");
  assert.equal((await bodyOf(res)).detail, "Full");
});

test("Front says that the outcome is unknown when the run throws", async () => {
  const run = () => Promise.reject(new Error("boom"));
  const answer = await problem({ over: { runner: { run } } });
  assert.deepEqual([answer.status, answer.outcome], [500, "outcome-unknown"]);
  assert.ok(!answer.text.includes("boom"));
});

test("Front streams text and ends with the result", async () => {
  const run = (req: PipelineRequest) => {
    req.onText?.("one", "hel");
    req.onText?.("one", "lo");
    return Promise.resolve(ok([RESULT]));
  };
  const res = await send({
    headers: { accept: "text/event-stream" },
    over: { runner: { run } },
  });
  const events = (await res.text()).trim().split("\n\n")
    .map((event) => event.split("\n")[0]);
  assert.deepEqual(events, ["event: text", "event: text", "event: result"]);
});

test("Front ends a stream whose run throws with a problem", async () => {
  const run = () => Promise.reject(new Error("boom"));
  const res = await send({
    headers: { accept: "text/event-stream" },
    over: { runner: { run } },
  });
  assert.match(await res.text(), /event: problem/);
});
