import assert from "node:assert/strict";
import { type AddressInfo, createServer, type Server } from "node:net";
import { test, type TestContext } from "node:test";
import type { StageCall } from "../model/mod.ts";
import { EngineClient } from "./engine_client.ts";
import { ServiceClient } from "./service_client.ts";
import type { TargetClient } from "./target_client.ts";

const CALL_TIMEOUT_MS = 2_000;

function callOf(callId: string): StageCall {
  return {
    callId,
    kind: "file",
    pipeline: "p",
    stage: "s",
    priority: "batch",
    input: {},
  } as unknown as StageCall;
}

/** Refusal by a target that did not run the call. */
function refusal(headers = ""): string {
  return `HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\n${headers}Content-Length: 0\r\n\r\n`;
}

/**
 * Answers the first call on each connection with a refusal. Each later call
 * runs for longer than the test; before, the refusal is written once more.
 */
function targetWithCopies() {
  const runs: string[] = [];
  const server = createServer((socket) => {
    let calls = 0;
    socket.on("error", () => {});
    socket.on("data", (chunk) => {
      const id = /x-call-id: *(\S+)/i.exec(chunk.toString())?.[1] ?? "";
      if (!id) return;
      if (calls++ > 0) runs.push(id);
      socket.write(refusal());
    });
  });
  return { server, runs };
}

/** Listens, and connects a client; both end with the test. */
async function connectTo(
  server: Server,
  create: (url: string) => TargetClient,
  t: TestContext,
): Promise<TargetClient> {
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const client = create(`http://127.0.0.1:${port}`);
  t.after(async () => {
    await client.close();
    server.close();
  });
  return client;
}

/** Runs a call; resolves with true if it may have run. */
async function mayHaveRun(client: TargetClient, id: string): Promise<boolean> {
  const signal = AbortSignal.timeout(CALL_TIMEOUT_MS);
  const outcome = await client.run(callOf(id), { signal, onText: () => {} });
  return outcome._unsafeUnwrapErr().mayHaveRun;
}

const CLIENTS: Readonly<Record<string, (url: string) => TargetClient>> = {
  "a plain service": (url) => new ServiceClient(url),
  "an engine": (url) => new EngineClient(url),
};

Object.entries(CLIENTS).forEach(([name, create]) => {
  // Guards against "not run" for a call that the target is running.
  test(`a late copy of a refusal by ${name} does not decide about the next call`, async (t) => {
    const { server, runs } = targetWithCopies();
    const client = await connectTo(server, create, t);
    for (const id of ["c1", "c2", "c3"]) {
      assert.equal(await mayHaveRun(client, id), runs.includes(id), id);
    }
  });

  // Guards against a refusal of another call that is taken for the call's own.
  test(`a refusal by ${name} that names another call may have run`, async (t) => {
    const server = createServer((socket) => {
      socket.on("error", () => {});
      socket.on("data", () => socket.write(refusal("X-Call-Id: other\r\n")));
    });
    const client = await connectTo(server, create, t);
    assert.equal(await mayHaveRun(client, "c1"), true);
  });
});
