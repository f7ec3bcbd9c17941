import assert from "node:assert/strict";
import { test } from "node:test";
import type { StageCall } from "../model/mod.ts";
import { type Flood, FloodServer } from "../testing/mod.ts";
import { EngineClient } from "./engine_client.ts";
import { HttpEngineControl } from "./engine_control.ts";
import { ServiceClient } from "./service_client.ts";

const MIB = 1024 * 1024;
/** Most bytes that a client and the kernel take from one connection. */
const MAX_TAKEN_BYTES = 48 * MIB;
/** Time after which the calls are given up, in milliseconds. */
const TIMEOUT_MS = 10_000;

const OK = "HTTP/1.1 200 OK\r\n";
const FLOODS: Readonly<Record<string, Flood>> = {
  "blank lines for a head": { start: "", repeat: "\r\n" },
  "interim heads": { start: "", repeat: "HTTP/1.1 103 Hints\r\n\r\n" },
  "a body": { start: `${OK}\r\n`, repeat: "x" },
  "an event": { start: `${OK}\r\ndata: `, repeat: "x" },
  "lines of an event": { start: `${OK}\r\n`, repeat: "data: x\n" },
  "comments": { start: `${OK}\r\n`, repeat: ": x\n\n" },
  "an error": { start: "HTTP/1.1 500 Failed\r\n\r\n", repeat: "x" },
};
const CALL = {
  callId: "r/draft/1",
  kind: "draft",
  pipeline: "p",
  stage: "draft",
  priority: "batch",
  input: {},
} as unknown as StageCall;

/** Runs `send` against a target that floods and checks that it is cut. */
async function assertCut(
  flood: Flood,
  send: (url: string) => Promise<unknown>,
): Promise<void> {
  const target = await new FloodServer(() => flood).start();
  const startedAt = performance.now();
  try {
    await send(`http://${target.address}`);
    const [taken] = target.flooded;
    const seen = `${((taken?.takenBytes ?? 0) / MIB).toFixed(1)} MiB`;
    assert.ok(taken && taken.takenBytes < MAX_TAKEN_BYTES, seen);
    assert.ok(performance.now() - startedAt < TIMEOUT_MS, "given up");
  } finally {
    target.stop();
  }
}

const OPTIONS = () => ({
  signal: AbortSignal.timeout(TIMEOUT_MS),
  onText: () => {},
});

Object.entries(FLOODS).forEach(([name, flood]) => {
  test(`EngineClient.run() fails when the engine sends ${name} without end`, () =>
    assertCut(flood, async (url) => {
      const client = new EngineClient(url);
      const failure = (await client.run(CALL, OPTIONS()))._unsafeUnwrapErr();
      assert.equal(failure.mayHaveRun, true);
      await client.close();
    }));

  test(`ServiceClient.run() fails when the service sends ${name} without end`, () =>
    assertCut(flood, async (url) => {
      const client = new ServiceClient(url);
      const failure = (await client.run(CALL, OPTIONS()))._unsafeUnwrapErr();
      assert.equal(failure.mayHaveRun, true);
      await client.close();
    }));

  test(`an order fails when the engine sends ${name} without end`, () =>
    assertCut(flood, async (url) => {
      assert.ok((await new HttpEngineControl(url).role()).isErr());
    }));
});
