import assert from "node:assert/strict";
import { after, test } from "node:test";
import { Hono } from "hono";
import { streamSSE } from "hono/streaming";
import { Agent } from "undici";
import { monotonicMs } from "../kernel/mod.ts";
import { listen, type ListeningServer } from "../process/mod.ts";
import type { Arrival } from "./arrivals.ts";
import { type CallerOptions, ReportedOutcome, sendOne } from "./caller.ts";

const dispatcher = new Agent();
const servers: ListeningServer[] = [];
after(async () => {
  await dispatcher.destroy();
  servers.forEach((server) => void server.close());
});

const MARKER = "m1-0";
const DONE = { requestId: "r", output: { marker: MARKER }, stages: [] };
const NOT_RUN = { type: "over-limit", outcome: "not-run", retryAfterMs: 1 };

const arrival: Arrival = {
  atMs: 0,
  marker: MARKER,
  key: "k",
  organisation: { id: "c", key: "secret", weight: 1 },
  workload: { pipeline: "p", weight: 1, deadlineMs: 60_000, files: false },
};

/** Starts an entry that sends the responses in turn and records the keys. */
async function startEntry(...responses: readonly object[]) {
  const keys: (string | undefined)[] = [];
  const app = new Hono();
  app.post("/v1/pipelines/p", (c) => {
    keys.push(c.req.header("idempotency-key"));
    return c.json(responses[keys.length - 1] ?? {});
  });
  return { url: await serve(app), keys };
}

async function serve(app: Hono): Promise<string> {
  const server = await listen(app, { address: "127.0.0.1", port: 0 });
  servers.push(server);
  return `http://127.0.0.1:${server.port}`;
}

/** Returns the URL of a server that has been closed. */
async function closedUrl(): Promise<string> {
  const server = await listen(new Hono(), { address: "127.0.0.1", port: 0 });
  await server.close();
  return `http://127.0.0.1:${server.port}`;
}

const send = (
  entryUrls: readonly string[],
  overrides: Partial<CallerOptions> = {},
) =>
  sendOne(arrival, {
    dispatcher,
    entryUrls,
    firstEntry: 0,
    plannedAt: monotonicMs(),
    ...overrides,
  });

// Guards against sendOnce() ending at a refused connection as at other errors.
test("sendOne() tries the next entry when a connection is refused", async () => {
  const { url } = await startEntry(DONE);
  const outcome = await send([await closedUrl(), url]);
  assert.equal(outcome.reported, ReportedOutcome.Done);
});

test("sendOne() reports no response when no entry listens", async () => {
  const outcome = await send([await closedUrl(), await closedUrl()]);
  assert.equal(outcome.reported, ReportedOutcome.NoResponse);
});

// Guards against requests that are never repeated.
test("sendOne() repeats a request that did not run under the same key", async () => {
  const { url, keys } = await startEntry(NOT_RUN, DONE);
  const outcome = await send([url], { repeats: { notRun: 1, lost: 0 } });
  assert.equal(outcome.reported, ReportedOutcome.Done);
  assert.equal(outcome.sendCount, 2);
  assert.deepEqual(keys, ["k", "k"]);
});

test("sendOne() repeats only as often as the settings allow", async () => {
  const { url, keys } = await startEntry(NOT_RUN, NOT_RUN, DONE);
  const outcome = await send([url], { repeats: { notRun: 1, lost: 0 } });
  assert.equal(outcome.reported, ReportedOutcome.NotRun);
  assert.equal(keys.length, 2);
});

test("sendOne() detects the response to another request", async () => {
  const { url } = await startEntry({ ...DONE, output: { marker: "m1-9" } });
  assert.equal((await send([url])).misdelivered, true);
});

test("sendOne() reads a stream and measures the times of its text", async () => {
  const app = new Hono();
  app.post("/v1/pipelines/p", (c) =>
    streamSSE(c, async (stream) => {
      for (const text of ["a", "b", "c"]) {
        await stream.writeSSE({
          event: "text",
          data: JSON.stringify({ stage: "s", text }),
        });
      }
      await stream.writeSSE({ event: "result", data: JSON.stringify(DONE) });
    }));
  const outcome = await send([await serve(app)], { streaming: true });
  assert.equal(outcome.reported, ReportedOutcome.Done);
  assert.ok(outcome.firstTextMs !== undefined);
  assert.equal(outcome.textGapsMs.length, 2);
});
