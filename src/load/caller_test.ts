import assert from "node:assert/strict";
import { after, test } from "node:test";
import { Hono } from "hono";
import { streamSSE } from "hono/streaming";
import { Agent } from "undici";
import { monotonicMs } from "../kernel/mod.ts";
import { listen, type Listening } from "../process/mod.ts";
import type { Arrival } from "./arrivals.ts";
import { type CallerOptions, sendOne, Told } from "./caller.ts";

const dispatcher = new Agent();
const servers: Listening[] = [];
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
  work: { pipeline: "p", weight: 1, deadlineMs: 60_000, files: false },
};

/** Entry that gives the answers in turn and notes the keys it saw. */
async function entry(...answers: readonly object[]) {
  const keys: (string | undefined)[] = [];
  const app = new Hono();
  app.post("/v1/pipelines/p", (c) => {
    keys.push(c.req.header("idempotency-key"));
    return c.json(answers[keys.length - 1] ?? {});
  });
  return { url: await serve(app), keys };
}

async function serve(app: Hono): Promise<string> {
  const server = await listen(app, { address: "127.0.0.1", port: 0 });
  servers.push(server);
  return `http://127.0.0.1:${server.port}`;
}

/** URL on which nothing listens any more. */
async function closedUrl(): Promise<string> {
  const server = await listen(new Hono(), { address: "127.0.0.1", port: 0 });
  await server.close();
  return `http://127.0.0.1:${server.port}`;
}

const send = (
  entryUrls: readonly string[],
  over: Partial<CallerOptions> = {},
) =>
  sendOne(arrival, {
    dispatcher,
    entryUrls,
    first: 0,
    dueAt: monotonicMs(),
    ...over,
  });

// Seen to fail with `break` after any error in exchangeOne().
test("sendOne() takes the next entry when a connection is refused", async () => {
  const { url } = await entry(DONE);
  const outcome = await send([await closedUrl(), url]);
  assert.equal(outcome.told, Told.Done);
});

test("sendOne() reports nothing told when no entry listens", async () => {
  const outcome = await send([await closedUrl(), await closedUrl()]);
  assert.equal(outcome.told, Told.Nothing);
});

// Seen to fail with `mayRepeat` always false.
test("sendOne() repeats a request that did not run under the same key", async () => {
  const { url, keys } = await entry(NOT_RUN, DONE);
  const outcome = await send([url], { repeats: { notRun: 1, lost: 0 } });
  assert.equal(outcome.told, Told.Done);
  assert.equal(outcome.sends, 2);
  assert.deepEqual(keys, ["k", "k"]);
});

test("sendOne() repeats only as often as it is told", async () => {
  const { url, keys } = await entry(NOT_RUN, NOT_RUN, DONE);
  const outcome = await send([url], { repeats: { notRun: 1, lost: 0 } });
  assert.equal(outcome.told, Told.NotRun);
  assert.equal(keys.length, 2);
});

test("sendOne() finds another request's answer", async () => {
  const { url } = await entry({ ...DONE, output: { marker: "m1-9" } });
  assert.equal((await send([url])).misdelivered, true);
});

test("sendOne() reads a stream and times its text", async () => {
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
  assert.equal(outcome.told, Told.Done);
  assert.ok(outcome.firstTextMs !== undefined);
  assert.equal(outcome.textGapsMs.length, 2);
});
