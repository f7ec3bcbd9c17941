import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, connect, createServer } from "node:net";
import { test } from "node:test";
import { withPausedClock } from "../testing/mod.ts";
import { monotonicMs, sleep } from "./sleep.ts";
import { Watchdog } from "./watchdog.ts";

/** Keeps the event loop busy. */
function stall(ms: number): void {
  const endAt = monotonicMs() + ms;
  while (monotonicMs() < endAt);
}

test("a watchdog expires after its time without progress", () =>
  withPausedClock(async () => {
    const watchdog = new Watchdog(1_000);
    await sleep(600);
    watchdog.recordProgress();
    await sleep(999);
    assert.equal(watchdog.isExpired, false);
    await sleep(2);
    assert.equal(watchdog.isExpired, true);
    assert.equal(watchdog.signal.aborted, true);
  }, { seed: 1 }));

test("bytes that arrived during a stall of the process are no silence", async (t) => {
  const server = createServer((socket) => {
    socket.write("a");
    stall(300);
  }).listen(0, "127.0.0.1");
  t.after(() => server.close());
  await once(server, "listening");
  const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
  t.after(() => socket.destroy());
  const watchdog = new Watchdog(100);
  const seen = once(socket, "data");
  socket.on("data", () => watchdog.recordProgress());
  await seen;
  assert.equal(watchdog.isExpired, false);
  watchdog.end();
});

test("a stall of the process leaves the peer time to answer", async () => {
  const watchdog = new Watchdog(400);
  stall(500);
  await sleep(150);
  assert.equal(watchdog.isExpired, false);
  await sleep(300);
  assert.equal(watchdog.isExpired, true);
});

test("time in which the reader is paused is no silence", () =>
  withPausedClock(async () => {
    const watchdog = new Watchdog(1_000);
    watchdog.suspend();
    watchdog.recordProgress();
    await sleep(5_000);
    assert.equal(watchdog.isExpired, false);
    watchdog.resume();
    await sleep(999);
    assert.equal(watchdog.isExpired, false);
    await sleep(2);
    assert.equal(watchdog.isExpired, true);
  }, { seed: 1 }));
