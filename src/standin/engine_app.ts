/**
 * HTTP interface of the engine stand-in.
 *
 * @module
 */

import { type Context, Hono } from "hono";
import { streamSSE } from "hono/streaming";
import { ColdStartMode, type Engine } from "./engine.ts";
import type { CacheEvent } from "./engine_cache.ts";
import type { EngineOrder } from "./engine_orders.ts";
import { type Faults, withFaults } from "./faults.ts";

/** Body of a completion request. */
interface CompletionBody {
  readonly prompt: string;
  readonly max_tokens: number;
  readonly priority?: number;
  readonly resume_from?: number;
}

/**
 * Serves completions (`POST /v1/completions`), the load report (`GET /load`),
 * cache events (`GET /cache-events`), transfers of the KV cache
 * (`POST /kv/export`, `POST /kv/import`) and orders (`POST /orders`,
 * `GET /role`). `POST /turn-cold` and `GET /counts` are for tests.
 */
export function createEngineApp(
  engine: Engine,
  opts: { faults: Faults; seed: number },
): Hono {
  const app = new Hono();
  app.post("/v1/completions", (c) => complete(c, engine));
  app.get(
    "/load",
    (c) => engine.load ? c.json(engine.load) : c.text("no report yet\n", 503),
  );
  app.get("/cache-events", (c) => {
    const after = Number(c.req.query("after") ?? -1);
    const events = engine.events.published()
      .filter((event) => (event as CacheEvent).seq > after);
    return c.json(events);
  });
  app.post("/kv/export", async (c) => {
    const { prompt } = await c.req.json<{ prompt: string }>();
    return c.json({ blocks: engine.cache.held(prompt) });
  });
  app.post("/kv/import", async (c) => {
    const { blocks } = await c.req.json<{ blocks: string[] }>();
    engine.cache.store(blocks);
    return c.json({ blocks: blocks.length });
  });
  app.post("/orders", async (c) => {
    const order = await c.req.json<EngineOrder>();
    return engine.orders.execute(order)
      ? c.json(engine.orders.current)
      : c.json(engine.orders.current, 409);
  });
  app.get("/role", (c) => c.json(engine.orders.current));
  app.post("/turn-cold", (c) => {
    const keep = c.req.query("in-hand") === ColdStartMode.Keep;
    engine.turnCold(keep ? ColdStartMode.Keep : ColdStartMode.Cut);
    return c.json({});
  });
  app.get(
    "/counts",
    (c) =>
      c.json({ ...engine.counts, staleOrders: engine.orders.staleApplied }),
  );
  return withFaults(app, opts);
}

async function complete(c: Context, engine: Engine): Promise<Response> {
  const body = await c.req.json<CompletionBody>();
  const abort = new AbortController();
  const { marksCold } = engine;
  const tokens = engine.complete({
    prompt: body.prompt,
    maxTokens: body.max_tokens,
    priority: body.priority,
    resumeFrom: body.resume_from,
  }, abort.signal);
  if (marksCold) c.header("x-cold-start", "1");
  if (!tokens) return c.text("busy\n", 503, { "x-not-run": "1" });
  return streamSSE(c, async (stream) => {
    stream.onAbort(() => abort.abort());
    let produced = 0;
    for await (const text of tokens) {
      produced += 1;
      const choices = [{ text, finish_reason: null }];
      await stream.writeSSE({ data: JSON.stringify({ choices }) });
    }
    if (produced === body.max_tokens - (body.resume_from ?? 0)) {
      const usage = { completion_tokens: produced };
      await stream.writeSSE({ data: JSON.stringify({ choices: [], usage }) });
      await stream.writeSSE({ data: "[DONE]" });
    }
  });
}
