import assert from "node:assert/strict";
import { type AddressInfo, connect, createServer } from "node:net";
import { test } from "node:test";
import { Hono } from "hono";
import {
  type CallEvent,
  digest,
  Proof,
  type StageCall,
  type Target,
} from "../model/mod.ts";
import { listen } from "../process/mod.ts";
import { Metrics } from "../telemetry/mod.ts";
import {
  type AgentApi,
  createAgentRouter,
  serveRouter,
  TRPC_PATH,
  TrpcAgentClient,
} from "../wire/mod.ts";
import { Attempt, type TargetDirectory } from "./attempt.ts";

const CALL = {
  callId: "r/one/1",
  requestId: "r",
  organisation: "c",
  pipeline: "p",
  stage: "one",
  kind: "generate",
  idempotent: true,
  fingerprint: "f",
  priority: "interactive",
  weight: 1,
  listsVersion: 1,
  input: null,
  target: "a",
  remainingMs: 3_000,
} as StageCall;
const TARGET: Target = {
  id: "a",
  pool: "x",
  kind: "engine",
  host: "a",
  domain: "d1",
  agentUrl: "http://a",
};
const TEXTS = ["one ", "two ", "three"];
const TEXT = TEXTS.join("");
/** Bytes between two prefixes of the response. */
const STEP_BYTES = 11;
/** Time after which the agent ends the connection, in milliseconds. */
const BREAK_MS = 10;

async function* events(call: StageCall): AsyncGenerator<CallEvent> {
  const { callId } = call;
  for (const [seq, text] of TEXTS.entries()) {
    yield { kind: "chunk", callId, seq, text };
  }
  const output = { text: TEXT };
  yield {
    kind: "result",
    result: {
      callId,
      stage: call.stage,
      fingerprint: call.fingerprint,
      target: call.target,
      output,
      digest: digest(output),
      tokens: 3,
      serviceMs: 1,
      queuedMs: 0,
      replayed: false,
    },
    chunks: TEXTS.length,
    load: { running: 1, queued: 0, limit: 4, cold: false, leaving: false },
  } as CallEvent;
}

/** Runs `body` with a server that answers each connection as `accept` does. */
async function withServer<T>(
  accept: Parameters<typeof createServer>[1],
  body: (url: string) => Promise<T>,
): Promise<T> {
  const server = createServer(accept);
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  try {
    return await body(`http://127.0.0.1:${port}`);
  } finally {
    server.close();
  }
}

/** Runs one attempt; returns its output, if any, and the text passed on. */
async function attempt(url: string) {
  const client = new TrpcAgentClient(url);
  const directory = {
    client: () => client,
    recordLoad: () => {},
    observeLists: () => {},
    suspect: () => {},
  } as unknown as TargetDirectory;
  let text = "";
  const { outcome } = await new Attempt(
    { directory, metrics: new Metrics() },
    CALL,
    TARGET,
  ).run({
    signal: new AbortController().signal,
    onText: (more) => text += more,
  });
  await client.close();
  const output = outcome.isOk() ? outcome.value.output : undefined;
  return { output, text, proof: outcome.isErr() && outcome.error.proof };
}

/** Returns the bytes of the whole response of an agent to the call. */
async function recordResponse(): Promise<Buffer> {
  const router = createAgentRouter({ call: events } as unknown as AgentApi);
  const app = new Hono();
  app.all(`${TRPC_PATH}/*`, (c) => serveRouter(router, c.req.raw));
  const agent = await listen(app, { address: "127.0.0.1", port: 0 });
  const chunks: Buffer[] = [];
  const whole = await withServer((socket) => {
    const upstream = connect(agent.port, "127.0.0.1");
    upstream.on("data", (chunk) => chunks.push(chunk));
    [socket, upstream].forEach((one) => one.on("error", () => {}));
    socket.pipe(upstream).pipe(socket);
  }, attempt);
  assert.deepEqual(whole.output, { text: TEXT });
  await agent.close();
  return Buffer.concat(chunks);
}

test("the answer of an agent that ends at any byte never passes for a whole one", async () => {
  const response = await recordResponse();
  const cuts = Array.from(
    { length: Math.ceil(response.length / STEP_BYTES) },
    (_, i) => i * STEP_BYTES,
  );
  const outcomes = await Promise.all(
    cuts.flatMap((bytes) =>
      [true, false].map((isReset) =>
        withServer((socket) => {
          socket.on("error", () => {});
          socket.once("data", () => {
            socket.write(response.subarray(0, bytes));
            setTimeout(() => {
              if (isReset) socket.resetAndDestroy();
              else socket.end();
            }, BREAK_MS);
          });
        }, attempt)
      )
    ),
  );
  outcomes.forEach(({ output, text, proof }) => {
    assert.ok(TEXT.startsWith(text), text);
    if (output === undefined) assert.equal(proof, Proof.OutcomeUnknown);
    else {assert.deepEqual({ output, text }, {
        output: { text: TEXT },
        text: TEXT,
      });}
  });
  const cut = outcomes.filter(({ output }) => output === undefined);
  assert.ok(cut.length > cuts.length, `${cut.length} of ${outcomes.length}`);
});
