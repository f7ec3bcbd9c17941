import { install } from "@sinonjs/fake-timers";
import assert from "node:assert/strict";
import { Hono } from "hono";
import { once } from "node:events";
import { Agent, get, type IncomingMessage } from "node:http";
import { connect } from "node:net";
import { test } from "node:test";
import { sleep } from "../kernel/mod.ts";
import { LINGER_MS, listen, type ListeningServer } from "./server.ts";

const BODY_BYTES = 32 * 1024 * 1024;
const PAUSE_MS = 200;
const LISTEN_OPTIONS = { address: "127.0.0.1", port: 0 };

function sendRequest(
  server: ListeningServer,
  agent: Agent,
): Promise<IncomingMessage> {
  return new Promise((resolve, reject) => {
    const url = `http://127.0.0.1:${server.port}/`;
    get(url, { agent }, (res) => {
      res.resume();
      res.once("end", () => resolve(res));
    }).once("error", reject);
  });
}

function pausedClock() {
  return install({ toFake: ["setTimeout", "clearTimeout", "performance"] });
}

const app = () => new Hono().get("/", (c) => c.text("ok"));

test("ListeningServer.leave() closes connections with their next response", async () => {
  const server = await listen(app(), LISTEN_OPTIONS);
  const agent = new Agent({ keepAlive: true });
  const { headers } = await sendRequest(server, agent);
  assert.equal(headers.connection, "keep-alive");
  assert.equal(headers["keep-alive"], "timeout=4");
  server.leave();
  assert.equal((await sendRequest(server, agent)).headers.connection, "close");
  agent.destroy();
  const clock = pausedClock();
  const closed = server.close();
  await clock.tickAsync(3 * LINGER_MS);
  clock.uninstall();
  await closed;
});

// Fails when close() does not wait out the keep-alive time after leave().
test("ListeningServer.close() serves idle connections for the whole linger time", async () => {
  const server = await listen(app(), LISTEN_OPTIONS);
  const agent = new Agent({ keepAlive: true });
  await sendRequest(server, agent);
  const clock = pausedClock();
  server.leave();
  const closed = server.close();
  await clock.tickAsync(LINGER_MS - 1);
  assert.equal((await sendRequest(server, agent)).statusCode, 200);
  await clock.tickAsync(3 * LINGER_MS);
  await closed;
  clock.uninstall();
  agent.destroy();
});

// Fails when close() closes all connections without checking `inHand`.
test("ListeningServer.close() waits for the requests in flight", async () => {
  let finish = () => {};
  const slow = new Promise<void>((resolve) => finish = resolve);
  let markArrived = () => {};
  const arrived = new Promise<void>((resolve) => markArrived = resolve);
  const server = await listen(
    new Hono().get("/", async (c) => {
      markArrived();
      await slow;
      return c.text("ok");
    }),
    LISTEN_OPTIONS,
  );
  const agent = new Agent();
  const response = sendRequest(server, agent);
  await arrived;
  assert.equal(server.inHand, 1);
  const clock = pausedClock();
  const closed = server.close();
  await clock.tickAsync(60_000);
  clock.uninstall();
  finish();
  assert.equal((await response).statusCode, 200);
  await closed;
});

/** Server whose only response waits for `finish`. */
async function listenSlowly() {
  let finish = () => {};
  const slow = new Promise<void>((resolve) => finish = resolve);
  let runs = 0;
  const server = await listen(
    new Hono().post("/", async (c) => {
      runs += 1;
      await slow;
      return c.text("done");
    }),
    LISTEN_OPTIONS,
  );
  return { server, finish: () => finish(), runs: () => runs };
}

const POST = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n";
const SETTLE_MS = 200;

// Guards against 400, 408 or 431 in the place of a request at work.
[
  { kind: "garbage", next: "\x00garbage\r\n\r\n" },
  { kind: "a bad length", next: POST.replace("0", "-1") },
  {
    kind: "an overlong head",
    next: `GET / HTTP/1.1\r\nHost: ${"a".repeat(100_000)}\r\n\r\n`,
  },
  { kind: "CONNECT", next: "CONNECT a:1 HTTP/1.1\r\nHost: a:1\r\n\r\n" },
].forEach(({ kind, next }) =>
  test(`${kind} after a request at work doesn't take the place of its response`, async () => {
    const { server, finish, runs } = await listenSlowly();
    const socket = connect({ port: server.port, host: "127.0.0.1" });
    let text = "";
    socket.on("data", (bytes) => text += bytes);
    socket.on("error", () => {});
    socket.write(POST);
    await sleep(SETTLE_MS);
    socket.write(next);
    await sleep(SETTLE_MS);
    assert.equal(text, "");
    finish();
    await sleep(2 * SETTLE_MS);
    assert.match(text, /^HTTP\/1.1 200[^]*connection: close[^]*done$/i);
    assert.equal(runs(), 1);
    assert.equal(socket.readyState, "closed");
    await server.close();
  })
);
// Guards against a response that is cut off since its caller reads slowly.
test("ListeningServer.close() sends a response whole to a slow caller", async () => {
  const body = "x".repeat(BODY_BYTES);
  const server = await listen(
    new Hono().get("/", (c) => c.text(body)),
    LISTEN_OPTIONS,
  );
  const agent = new Agent({ keepAlive: true });
  const res = await new Promise<IncomingMessage>((resolve, reject) => {
    get(`http://127.0.0.1:${server.port}/`, { agent }, resolve)
      .once("error", reject);
  });
  res.pause();
  res.on("error", () => {});
  const ended = new Promise((resolve) => res.once("close", resolve));
  await sleep(PAUSE_MS);
  const closed = server.close();
  await sleep(PAUSE_MS);
  let length = 0;
  res.on("data", (chunk: Buffer) => length += chunk.length);
  res.resume();
  await ended;
  await closed;
  agent.destroy();
  assert.equal(length, BODY_BYTES);
});

// Guards against a stop that waits for connections without a request.
test("ListeningServer.close() does not wait for an unused connection", async () => {
  const server = await listen(app(), LISTEN_OPTIONS);
  const socket = connect(server.port, "127.0.0.1");
  await once(socket, "connect");
  await sleep(PAUSE_MS);
  const clock = pausedClock();
  server.leave();
  let isClosed = false;
  const closed = server.close().then(() => isClosed = true);
  await clock.tickAsync(LINGER_MS + PAUSE_MS);
  clock.uninstall();
  await sleep(PAUSE_MS);
  assert.equal(isClosed, true);
  socket.destroy();
  await closed;
});
