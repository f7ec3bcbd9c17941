import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, connect, createServer } from "node:net";
import { test } from "node:test";
import { ok } from "neverthrow";
import { monotonicMs, sleep } from "../kernel/mod.ts";
import { Metrics, SILENT_LOGGER } from "../telemetry/mod.ts";
import { HttpFront } from "./http_front.ts";
import { type CallerRequest, INITIAL_LIMITS } from "./ports.ts";

const REQUEST = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
const IDLE_TIMEOUT_MS = 100;
/** Longer than the idle timeout and what Node adds to it. */
const STALL_MS = 1_500;

/** Keeps the event loop busy. */
function stall(ms: number): void {
  const endAt = monotonicMs() + ms;
  while (monotonicMs() < endAt);
}

async function freePort(): Promise<number> {
  const server = createServer().listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  server.close();
  return port;
}

/** Starts a front that answers each request with 200. */
async function startFront(): Promise<{ front: HttpFront; port: number }> {
  const front = new HttpFront({
    codec: {
      requestId: () => undefined,
      decode: () => ok({} as CallerRequest),
      encodeRefusal: () => ({ status: 503, headers: [], body: "" }),
    },
    handler: {
      serve: (_req, response) => {
        response.begin({
          status: 200,
          headers: ["Content-Length", "0"],
          isMatching: true,
          isSigned: true,
          isNotRun: false,
          isOtherTarget: false,
        });
        response.end();
        return Promise.resolve();
      },
    },
    log: SILENT_LOGGER,
    metrics: new Metrics(),
  });
  front.setLimits({ ...INITIAL_LIMITS, idleTimeoutMs: IDLE_TIMEOUT_MS });
  const port = await freePort();
  await front.listen({ host: "127.0.0.1", port });
  return { front, port };
}

test("a request that arrived during a stall on an idle connection is answered", async (t) => {
  const { front, port } = await startFront();
  t.after(() => front.drain(0));
  const socket = connect(port, "127.0.0.1");
  t.after(() => socket.destroy());
  let text = "";
  socket.on("data", (bytes) => text += bytes);
  socket.on("error", () => {});
  socket.write(REQUEST);
  await once(socket, "data");
  await sleep(IDLE_TIMEOUT_MS / 2);
  socket.write(REQUEST);
  stall(STALL_MS);
  await sleep(IDLE_TIMEOUT_MS / 2);
  assert.equal(text.match(/HTTP\/1.1 200/g)?.length, 2);
});

test("an idle connection is closed after its time", async (t) => {
  const { front, port } = await startFront();
  t.after(() => front.drain(0));
  const socket = connect(port, "127.0.0.1");
  t.after(() => socket.destroy());
  socket.write(REQUEST);
  await once(socket, "data");
  const startedAt = monotonicMs();
  await once(socket, "close");
  assert.ok(monotonicMs() - startedAt < 20 * IDLE_TIMEOUT_MS);
});

test("a raised idle timeout holds for connections that are already idle", async (t) => {
  const { front, port } = await startFront();
  t.after(() => front.drain(0));
  const socket = connect(port, "127.0.0.1");
  t.after(() => socket.destroy());
  let isClosed = false;
  socket.on("close", () => isClosed = true);
  socket.write(REQUEST);
  await once(socket, "data");
  front.setLimits({ ...INITIAL_LIMITS, idleTimeoutMs: 2 * STALL_MS });
  await sleep(1.6 * STALL_MS);
  assert.equal(isClosed, false);
  await sleep(STALL_MS);
  assert.equal(isClosed, true);
});
