import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { ok } from "neverthrow";
import { monotonicMs, sleep } from "../kernel/mod.ts";
import { Metrics, SILENT_LOGGER } from "../telemetry/mod.ts";
import { HttpFront } from "./http_front.ts";
import {
  type CallerRequest,
  type CallerResponse,
  INITIAL_LIMITS,
  type ResponseHead,
  RunReport,
} from "./ports.ts";

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

const EMPTY: ResponseHead = {
  status: 200,
  headers: ["Content-Length", "0"],
  isMatching: true,
  isSigned: true,
  report: RunReport.Answered,
};

function respondEmpty(response: CallerResponse): void {
  response.begin(EMPTY);
  response.end();
}

/** Head of a response without a length. */
const STREAM: ResponseHead = { ...EMPTY, headers: [] };
/** Longer than it takes to answer a request of the tests. */
const SETTLE_MS = 200;
const DRAIN_MS = 5_000;
/** More than the system buffers for a connection. */
const SLOW_BODY_BYTES = 24_000_000;

/** Connection of a caller that counts what it is answered. */
class Caller {
  readonly socket: Socket;
  text = "";

  constructor(port: number) {
    this.socket = connect({ port, host: "127.0.0.1", allowHalfOpen: true });
    this.socket.on("data", (bytes) => this.text += bytes);
    this.socket.on("error", () => {});
  }

  get answers(): number {
    return this.text.match(/HTTP\/1.1 200/g)?.length ?? 0;
  }
}

/**
 * Starts a front that leaves while it has begun a response on each of two
 * connections. The second response keeps it from ending its drain.
 */
async function startLeaving(t: TestContext) {
  const responses: CallerResponse[] = [];
  const { front, port } = await startFront((response) => {
    responses.push(response);
    if (responses.length > 2) return respondEmpty(response);
    response.begin(STREAM);
  });
  const callers = [new Caller(port), new Caller(port)] as const;
  t.after(async () => {
    await front.drain(0);
    callers.forEach(({ socket }) => socket.destroy());
  });
  for (const { socket } of callers) {
    socket.write(REQUEST);
    await once(socket, "data");
  }
  front.leave();
  return { front, caller: callers[0], responses };
}

/** Starts a front that answers each request by `respond`. */
async function startFront(
  respond: (response: CallerResponse) => void = respondEmpty,
): Promise<{ front: HttpFront; port: number }> {
  const front = new HttpFront({
    codec: {
      requestId: () => undefined,
      decode: () => ok({} as CallerRequest),
      encodeRefusal: () => ({ status: 503, headers: [], body: "" }),
    },
    handler: {
      serve: (_req, response) => {
        respond(response);
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

test("a request that crosses the close of a draining process is not served", async (t) => {
  const { front, caller, responses } = await startLeaving(t);
  void front.drain(DRAIN_MS);
  responses[0]?.end();
  await once(caller.socket, "end");
  caller.socket.write(REQUEST);
  await sleep(SETTLE_MS);
  assert.equal(responses.length, 2);
});

test("a request that waits to be read when its connection is to be closed is answered", async (t) => {
  const { front, caller, responses } = await startLeaving(t);
  void front.drain(DRAIN_MS);
  caller.socket.write(REQUEST);
  responses[0]?.end();
  await sleep(SETTLE_MS);
  assert.equal(caller.answers, 2);
  assert.match(caller.text, /connection: close/i);
});

test("a request after a stream that ends while the process lingers is answered", async (t) => {
  const { caller, responses } = await startLeaving(t);
  responses[0]?.end();
  await sleep(SETTLE_MS);
  caller.socket.write(REQUEST);
  await sleep(SETTLE_MS);
  assert.equal(caller.answers, 2);
  assert.match(caller.text, /connection: close/i);
});

test("a response that a slow caller still reads is sent whole while draining", async (t) => {
  const body = Buffer.alloc(SLOW_BODY_BYTES, "x");
  const { front, port } = await startFront((response) => {
    response.begin(STREAM);
    response.write(body, () => {});
    response.end();
  });
  const { socket } = new Caller(port);
  t.after(async () => {
    await front.drain(0);
    socket.destroy();
  });
  let size = 0;
  socket.on("data", (bytes) => size += bytes.length);
  socket.write(REQUEST);
  await once(socket, "data");
  socket.pause();
  front.leave();
  const drained = front.drain(DRAIN_MS);
  await sleep(SETTLE_MS);
  socket.resume();
  await once(socket, "end");
  assert.ok(size > SLOW_BODY_BYTES, `got ${size} bytes`);
  await drained;
});

test("a draining process closes idle connections while a response is in flight", async (t) => {
  const { front, caller, responses } = await startLeaving(t);
  responses[0]?.end();
  await sleep(SETTLE_MS);
  let hasEnded = false;
  caller.socket.on("end", () => hasEnded = true);
  void front.drain(DRAIN_MS);
  await sleep(SETTLE_MS);
  assert.equal(hasEnded, true);
  assert.equal(front.inHand, 1);
});

test("a response that begins after the process began to leave announces the close", async (t) => {
  const responses: CallerResponse[] = [];
  const { front, port } = await startFront((res) => responses.push(res));
  const caller = new Caller(port);
  t.after(async () => {
    await front.drain(0);
    caller.socket.destroy();
  });
  caller.socket.write(REQUEST);
  await sleep(SETTLE_MS);
  front.leave();
  responses.forEach(respondEmpty);
  await sleep(SETTLE_MS);
  assert.equal(caller.answers, 1);
  assert.match(caller.text, /connection: close/i);
});

test("a pipelined request is answered when the process began to leave before its turn", async (t) => {
  const responses: CallerResponse[] = [];
  const { front, port } = await startFront((res) => responses.push(res));
  const caller = new Caller(port);
  t.after(async () => {
    await front.drain(0);
    caller.socket.destroy();
  });
  caller.socket.write(REQUEST + REQUEST);
  await sleep(SETTLE_MS);
  front.leave();
  responses.forEach(respondEmpty);
  await sleep(SETTLE_MS);
  assert.equal(caller.answers, 2);
  assert.match(caller.text, /connection: close/i);
});

test("a request behind a response that announced the close is not served", async (t) => {
  const responses: CallerResponse[] = [];
  const { front, port } = await startFront((response) => {
    responses.push(response);
    response.begin(STREAM);
  });
  const caller = new Caller(port);
  t.after(async () => {
    await front.drain(0);
    caller.socket.destroy();
  });
  front.leave();
  caller.socket.write(REQUEST);
  await once(caller.socket, "data");
  caller.socket.write(REQUEST);
  await sleep(SETTLE_MS);
  assert.equal(responses.length, 1);
  responses[0]?.end();
  await sleep(SETTLE_MS);
  assert.equal(caller.answers, 1);
  assert.equal(front.inHand, 0);
});

test("pipelined requests of a caller that disconnects are not in hand", async (t) => {
  const responses: CallerResponse[] = [];
  const { front, port } = await startFront((response) => {
    responses.push(response);
  });
  t.after(() => front.drain(0));
  const socket = connect(port, "127.0.0.1");
  socket.on("error", () => {});
  socket.write(REQUEST + REQUEST + REQUEST);
  await sleep(SETTLE_MS);
  assert.equal(responses.length, 3);
  socket.resetAndDestroy();
  await sleep(SETTLE_MS);
  assert.equal(front.inHand, 0);
  assert.deepEqual(responses.map(({ gone }) => gone.aborted), [
    true,
    true,
    true,
  ]);
});

test("a request whose caller left while it waited to be read is not served", async (t) => {
  const responses: CallerResponse[] = [];
  const { front, port } = await startFront((response) => {
    responses.push(response);
    respondEmpty(response);
  });
  t.after(() => front.drain(0));
  const callers = [1, 2, 3].map(() => connect(port, "127.0.0.1"));
  await Promise.all(callers.map((socket) => once(socket, "connect")));
  await sleep(SETTLE_MS);
  callers.forEach((socket) => {
    socket.on("error", () => {});
    socket.end(REQUEST);
  });
  stall(STALL_MS);
  await sleep(SETTLE_MS);
  assert.equal(responses.length, 0);
  assert.equal(front.inHand, 0);
});

const UNFINISHED = "GET / HTTP/1.1\r\nHost: a";
const GARBAGE = "\x00garbage\r\n\r\n";
const CONNECT = "CONNECT a:1 HTTP/1.1\r\nHost: a:1\r\n\r\n";

// Guards against REFUSED by a timer that runs before the sockets are read.
test("a head that is finished during a stall past its time is read", async (t) => {
  const { front, port } = await startFront();
  const caller = new Caller(port);
  t.after(async () => {
    await front.drain(0);
    caller.socket.destroy();
  });
  front.setLimits({ ...INITIAL_LIMITS, headerTimeoutMs: STALL_MS / 2 });
  caller.socket.write(UNFINISHED);
  await sleep(SETTLE_MS);
  caller.socket.write("\r\n\r\n");
  stall(STALL_MS);
  await sleep(2 * STALL_MS);
  assert.equal(caller.answers, 1, caller.text);
  assert.doesNotMatch(caller.text, /408/);
});

test("a head that goes on during a stall, and then stops, is refused", async (t) => {
  const { front, port } = await startFront();
  const caller = new Caller(port);
  t.after(async () => {
    await front.drain(0);
    caller.socket.destroy();
  });
  front.setLimits({ ...INITIAL_LIMITS, headerTimeoutMs: STALL_MS / 2 });
  caller.socket.write(UNFINISHED);
  await sleep(SETTLE_MS);
  caller.socket.write("\r\n");
  stall(STALL_MS);
  await sleep(SETTLE_MS);
  assert.equal(caller.text, "");
  await sleep(2 * STALL_MS);
  assert.match(caller.text, /^HTTP\/1.1 408/);
});

[GARBAGE, CONNECT].forEach((next) =>
  test(`a slow caller gets the whole response that ${JSON.stringify(next)} follows`, async (t) => {
    const body = Buffer.alloc(SLOW_BODY_BYTES, "x");
    let hasResumed = false;
    const { front, port } = await startFront((response) => {
      response.begin(STREAM);
      const finish = () => {
        hasResumed = true;
        response.end();
      };
      if (response.write(body, finish)) finish();
    });
    const { socket } = new Caller(port);
    t.after(async () => {
      await front.drain(0);
      socket.destroy();
    });
    let size = 0;
    socket.on("data", (bytes) => size += bytes.length);
    socket.write(REQUEST);
    await once(socket, "data");
    socket.pause();
    socket.write(next);
    await sleep(SETTLE_MS);
    socket.resume();
    await once(socket, "end");
    assert.ok(size > SLOW_BODY_BYTES, `got ${size} bytes`);
    assert.equal(hasResumed, true);
    await sleep(SETTLE_MS);
    assert.equal(front.inHand, 0);
  })
);

// Guards against GONE: bytes without end that hide the end of a connection.
test("a caller that leaves behind a flood of garbage is gone", async (t) => {
  const responses: CallerResponse[] = [];
  const { front, port } = await startFront((res) => responses.push(res));
  const { socket } = new Caller(port);
  t.after(() => front.drain(0));
  socket.write(REQUEST);
  await sleep(SETTLE_MS);
  const flood = setInterval(() => socket.write(GARBAGE.repeat(10_000)), 10);
  await sleep(SETTLE_MS);
  assert.equal(responses[0]?.gone.aborted, false);
  clearInterval(flood);
  socket.resetAndDestroy();
  await sleep(SETTLE_MS);
  assert.equal(responses[0]?.gone.aborted, true);
  assert.equal(front.inHand, 0);
});

test("a stop closes a connection on which nothing more can be read", async (t) => {
  const responses: CallerResponse[] = [];
  const { front, port } = await startFront((res) => responses.push(res));
  const caller = new Caller(port);
  t.after(() => caller.socket.destroy());
  caller.socket.write(REQUEST + GARBAGE);
  await sleep(SETTLE_MS);
  front.leave();
  const drained = front.drain(DRAIN_MS);
  await sleep(SETTLE_MS);
  assert.equal(front.inHand, 1);
  responses.forEach(respondEmpty);
  await once(caller.socket, "end");
  assert.equal(caller.answers, 1);
  await drained;
  assert.equal(front.inHand, 0);
});
