import assert from "node:assert/strict";
import { test } from "node:test";
import { err, ok } from "neverthrow";
import {
  digest,
  EMPTY_LISTS,
  type Lists,
  notRun,
  outcomeUnknown,
  RefusalReason,
  sha256,
  type StageResult,
} from "../model/mod.ts";
import { sleep } from "../kernel/mod.ts";
import { Metrics, SILENT_LOGGER, Tracing } from "../telemetry/mod.ts";
import { Front, type FrontDeps } from "./front.ts";
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

const app = (overrides: Partial<FrontDeps> = {}) =>
  new Front({
    runner: { run: () => Promise.resolve(ok([RESULT])) },
    lists: { current: LISTS, isConfirmed: true },
    metrics: new Metrics(),
    tracing: new Tracing({ to: "none", log: SILENT_LOGGER, process: "e" }),
    log: SILENT_LOGGER,
    maxBodyBytes: MAX_BODY_BYTES,
    ...overrides,
  }).app();

interface TestRequest {
  pipeline?: string;
  key?: string;
  body?: string;
  headers?: Record<string, string>;
  deps?: Partial<FrontDeps>;
}

const send = (req: TestRequest = {}) =>
  app(req.deps).request(`/v1/pipelines/${req.pipeline ?? "tags"}`, {
    method: "POST",
    headers: {
      authorization: `Bearer ${req.key ?? "secret"}`,
      ...req.headers,
    },
    body: req.body ?? JSON.stringify({ input: { text: "t" } }),
  });

interface Body {
  requestId?: string;
  type: string;
  outcome?: string;
  detail?: string;
  output?: unknown;
}

const bodyOf = async (res: Response) => await res.json() as Body;

const problem = async (req: TestRequest) => {
  const res = await send(req);
  const body = await bodyOf(res);
  return {
    status: res.status,
    reason: body.type.split(":").at(-1),
    outcome: body.outcome,
    text: JSON.stringify(body),
  };
};

/** Sends a request and changes the lists before its body has ended. */
async function sendSlowly(after: Partial<FrontDeps["lists"]>) {
  const lists: { current: Lists; isConfirmed: boolean } = {
    current: LISTS,
    isConfirmed: true,
  };
  let hasRun = false;
  const run = () => {
    hasRun = true;
    return Promise.resolve(ok([RESULT]));
  };
  const text = '{"input": {}}';
  const body = new ReadableStream<Uint8Array>({
    async pull(controller) {
      await sleep(20);
      Object.assign(lists, after);
      controller.enqueue(new TextEncoder().encode(text));
      controller.close();
    },
  }, { highWaterMark: 0 });
  const res = await app({ lists, runner: { run } }).request(
    "/v1/pipelines/tags",
    {
      method: "POST",
      headers: {
        authorization: "Bearer secret",
        "content-length": String(text.length),
      },
      body,
      duplex: "half",
    } as RequestInit,
  );
  return { status: res.status, hasRun };
}

test("a request whose key is revoked while its body is read does not run", async () => {
  const current = {
    ...LISTS,
    version: 2,
    organisations: { organisations: [] },
  };
  assert.deepEqual(await sendSlowly({ current }), {
    status: 401,
    hasRun: false,
  });
});

test("a request does not run under lists that expired while its body was read", async () => {
  assert.deepEqual(await sendSlowly({ isConfirmed: false }), {
    status: 503,
    hasRun: false,
  });
});

test("Front responds with the result and the request's identifiers", async () => {
  const res = await send({ headers: { "idempotency-key": "k1" } });
  const body = await bodyOf(res);
  assert.equal(res.status, 200);
  assert.deepEqual(body.output, { text: "hello" });
  assert.equal(res.headers.get("idempotency-key"), "k1");
  assert.equal(res.headers.get("x-request-id"), body.requestId);
});

const REFUSED: readonly [string, TestRequest, number, string][] = [
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
    "a deadline that is no number",
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
    "an overlong key",
    { headers: { "idempotency-key": "k".repeat(201) } },
    400,
    "bad-request",
  ],
];

REFUSED.forEach(([fault, req, status, reason]) =>
  test(`Front refuses ${fault} as not run`, async () => {
    const response = await problem(req);
    assert.deepEqual(
      [response.status, response.reason, response.outcome],
      [status, reason, "not-run"],
    );
  })
);

test("Front refuses new work while its lists are not confirmed", async () => {
  const lists = { current: LISTS, isConfirmed: false };
  const res = await send({ deps: { lists } });
  assert.equal(res.status, 503);
  assert.equal(res.headers.get("retry-after"), "1");
});

test("Front returns a refusal as a problem document", async () => {
  const refusal = notRun(RefusalReason.OverLimit, "Full", 2_500);
  const run = () => Promise.resolve(err(refusal));
  const res = await send({ deps: { runner: { run } } });
  assert.equal(res.headers.get("content-type"), "application/problem+json");
  assert.equal(res.headers.get("retry-after"), "3");
  assert.equal((await bodyOf(res)).detail, "Full");
});

// Guards against "not run" for a key of which an earlier request has run.
test("Front confirms that an oversized request with a key has not run", async () => {
  const runner = {
    run: () => Promise.reject(new Error("not expected")),
    confirm: () =>
      Promise.resolve(outcomeUnknown(RefusalReason.KeyRunning, "It ran")),
  };
  const res = await send({ body: "x".repeat(501), deps: { runner } });
  assert.equal((await bodyOf(res)).outcome, "outcome-unknown");
  assert.equal(res.status, 409);
});

// Guards against REFUSED: 503 for a filing whose target crashed with it.
test("Front reports no unknown outcome with a status that says not run", async () => {
  const statuses = await Promise.all(
    Object.values(RefusalReason).map(async (reason) => {
      const refusal = outcomeUnknown(reason, "Lost", 1_000);
      const run = () => Promise.resolve(err(refusal));
      const res = await send({ deps: { runner: { run } } });
      assert.equal((await bodyOf(res)).outcome, "outcome-unknown");
      return [reason, res.status] as const;
    }),
  );
  assert.deepEqual(
    statuses.filter(([, status]) => [408, 421, 429, 503].includes(status)),
    [],
  );
});

test("Front reports an unknown outcome when the run throws", async () => {
  const run = () => Promise.reject(new Error("boom"));
  const response = await problem({ deps: { runner: { run } } });
  assert.deepEqual([response.status, response.outcome], [
    500,
    "outcome-unknown",
  ]);
  assert.ok(!response.text.includes("boom"));
});

test("Front streams text and ends with the result", async () => {
  const run = (req: PipelineRequest) => {
    req.onText?.("one", "hel");
    req.onText?.("one", "lo");
    return Promise.resolve(ok([RESULT]));
  };
  const res = await send({
    headers: { accept: "text/event-stream" },
    deps: { runner: { run } },
  });
  const events = (await res.text()).trim().split("\n\n")
    .map((event) => event.split("\n")[0]);
  assert.deepEqual(events, ["event: text", "event: text", "event: result"]);
});

test("Front ends a stream with a problem when the run throws", async () => {
  const run = () => Promise.reject(new Error("boom"));
  const res = await send({
    headers: { accept: "text/event-stream" },
    deps: { runner: { run } },
  });
  assert.match(await res.text(), /event: problem/);
});
