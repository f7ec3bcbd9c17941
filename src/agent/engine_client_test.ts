import assert from "node:assert/strict";
import { test } from "node:test";
import { Hono } from "hono";
import { listen } from "../process/mod.ts";
import type { StageCall } from "../model/mod.ts";
import { EngineClient } from "./engine_client.ts";

const CALL = {
  callId: "r/draft/1",
  pipeline: "p",
  stage: "draft",
  priority: "batch",
  input: {},
} as StageCall;
const chunk = (text: string) => ({ choices: [{ text, finish_reason: null }] });
const usage = (tokens: number) => ({
  choices: [],
  usage: { completion_tokens: tokens },
});

/**
 * Returns the number of tokens of a completion that the engine sends as
 * `stream`, or why it failed.
 */
const runCompletion = async (...stream: (object | string)[]) => {
  const text = stream.map((data) =>
    `data: ${typeof data === "string" ? data : JSON.stringify(data)}\n\n`
  ).join("");
  const app = new Hono();
  app.post("/v1/completions", (c) => c.body(text));
  const server = await listen(app, { address: "127.0.0.1", port: 0 });
  const client = new EngineClient(`http://127.0.0.1:${server.port}`);
  const signal = new AbortController().signal;
  const response = await client.run(CALL, { signal, onText: () => {} });
  await client.close();
  await server.close();
  return response.match(
    ({ tokens }): number | string => tokens,
    ({ detail, mayHaveRun }) => `${detail}, ${mayHaveRun}`,
  );
};

// Guards against a truncated stream that passes for a whole completion. Fails
// without the check for the end of the stream.
test("EngineClient.run() accepts only a complete stream", async () => {
  const [a, b, end] = [chunk("a"), chunk("b"), "[DONE]"];
  assert.equal(await runCompletion(a, b, end), 2);
  assert.equal(await runCompletion(a, b), "The stream has no end mark, true");
});

test("EngineClient.run() uses the engine's own count of tokens", async () => {
  assert.equal(await runCompletion(chunk("a b"), usage(2), "[DONE]"), 2);
});
