import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { AsyncQueue, monotonicMs } from "../kernel/mod.ts";
import { RefusalReason, type StageCall } from "../model/mod.ts";
import { Metrics, SILENT_LOGGER, Tracing } from "../telemetry/mod.ts";
import { CallRunner } from "./call_runner.ts";
import type { ClaimService } from "./claim_service.ts";
import { EngineClient } from "./engine_client.ts";

/** Runs a call at an engine that breaks the connection in its answer. */
async function reasonOfCall(opts: { ends: boolean }): Promise<string> {
  const server = createServer((_req, res) => {
    res.writeHead(200, { "content-type": "text/event-stream" });
    res.write('data: {"choices":[{"text":"a"}]}\n\n');
    setImmediate(() => {
      if (opts.ends) server.close();
      res.socket?.destroy();
    });
  }).listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const client = new EngineClient(`http://127.0.0.1:${port}`);
  const runner = new CallRunner({
    claims: {} as ClaimService,
    client,
    metrics: new Metrics(),
    tracing: new Tracing({ to: "none", log: SILENT_LOGGER, process: "a" }),
  }, () => undefined);
  const call = { callId: "c", kind: "generate", idempotent: true, input: {} };
  const outcome = await runner.run({
    call: call as StageCall,
    stream: { events: new AsyncQueue(), chunks: 0, isSilent: false },
    signal: new AbortController().signal,
    permit: { queuedMs: 0, reportProgress: () => {}, release: () => {} },
    deadlineAt: monotonicMs() + 8_000,
    traceparent: "",
  });
  await client.close();
  server.close();
  return outcome.match(() => "done", ({ reason }) => reason);
}

test("an agent reports that its target has ended during a call", async () => {
  assert.equal(
    await reasonOfCall({ ends: true }),
    RefusalReason.TargetCrashed,
  );
});

test("a target that only breaks the connection has not crashed", async () => {
  assert.notEqual(
    await reasonOfCall({ ends: false }),
    RefusalReason.TargetCrashed,
  );
});
