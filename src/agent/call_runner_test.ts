import assert from "node:assert/strict";
import { test } from "node:test";
import { errAsync, okAsync, ResultAsync } from "neverthrow";
import { AsyncQueue, monotonicMs, sleep } from "../kernel/mod.ts";
import { RefusalReason, type StageCall } from "../model/mod.ts";
import { Metrics, SILENT_LOGGER, Tracing } from "../telemetry/mod.ts";
import { withPausedClock } from "../testing/mod.ts";
import { CallRunner, type ResponseStream } from "./call_runner.ts";
import type { ClaimService } from "./claim_service.ts";
import type { TargetClient } from "./target_client.ts";

/** Target that responds after `ms`, without any progress before. */
function silentClient(ms: number): TargetClient {
  return {
    run: (_call, { signal }) =>
      ResultAsync.fromSafePromise(sleep(ms, signal)).andThen(() =>
        signal.aborted
          ? errAsync({
            mayHaveRun: true,
            reason: RefusalReason.TargetUnreachable,
            detail: "aborted",
            cold: false,
          })
          : okAsync({ output: {}, tokens: 0 })
      ),
    close: () => Promise.resolve(),
  };
}

test("an idempotent call goes on while its target is silent", () =>
  withPausedClock(async () => {
    const runner = new CallRunner({
      claims: {} as ClaimService,
      client: silentClient(5_000),
      metrics: new Metrics(),
      tracing: new Tracing({ to: "none", log: SILENT_LOGGER, process: "a" }),
    }, () => undefined);
    const stream: ResponseStream = {
      events: new AsyncQueue(),
      chunks: 0,
      isSilent: false,
    };
    const outcome = runner.run({
      call: { callId: "c", idempotent: true } as StageCall,
      stream,
      signal: new AbortController().signal,
      permit: { queuedMs: 0, reportProgress: () => {}, release: () => {} },
      deadlineAt: monotonicMs() + 8_000,
      traceparent: "",
    });
    await sleep(1_900);
    assert.equal(stream.isSilent, false);
    await sleep(200);
    assert.equal(stream.isSilent, true);
    assert.equal((await outcome).isOk(), true);
  }, { seed: 1 }));
