import assert from "node:assert/strict";
import { test } from "node:test";
import { Kernel, KernelError, service, serviceKey } from "./kernel.ts";

const A = serviceKey<string>("a");
const B = serviceKey<string>("b");

test("Kernel.start() lets a service find an earlier one", async () => {
  const kernel = await Kernel.start([
    service({ key: A, start: () => "one" }),
    service({ key: B, start: (ctx) => `${ctx.get(A)} two` }),
  ]);
  assert.equal(kernel.get(B), "one two");
});

test("Kernel.start() rejects a service that looks for a later one", async () => {
  const started = Kernel.start([
    service({ key: A, start: (ctx) => ctx.get(B) }),
    service({ key: B, start: () => "late" }),
  ]);
  await assert.rejects(started, KernelError);
});

test("Kernel.stop() drains the newest service first", async () => {
  const drained: string[] = [];
  const drain = (name: string) => {
    drained.push(name);
    return Promise.resolve();
  };
  const kernel = await Kernel.start([
    service({ key: A, start: () => "first", drain }),
    service({ key: B, start: () => "second", drain }),
  ]);
  await kernel.stop();
  assert.deepEqual(drained, ["second", "first"]);
});

// Fails when stop() drains each service right after it announced the stop.
test("Kernel.stop() lets every service announce before any drains", async () => {
  const seen: string[] = [];
  const spec = (key: typeof A) =>
    service({
      key,
      start: () => key.name,
      leave: (name) => void seen.push(`leave ${name}`),
      drain: (name) => Promise.resolve(void seen.push(`drain ${name}`)),
      end: (name) => void seen.push(`end ${name}`),
    });
  const kernel = await Kernel.start([spec(A), spec(B)]);
  await kernel.stop();
  assert.deepEqual(seen, [
    "leave b",
    "leave a",
    "drain b",
    "drain a",
    "end b",
    "end a",
  ]);
});

// Fails when a rejected drain ends the loop over the services.
test("Kernel.stop() drains the others when one fails", async () => {
  const drained: string[] = [];
  const kernel = await Kernel.start([
    service({
      key: A,
      start: () => "a",
      drain: () => Promise.resolve(void drained.push("a")),
    }),
    service({
      key: B,
      start: () => "b",
      drain: () => Promise.reject(new Error("no drain")),
    }),
  ]);
  await assert.rejects(kernel.stop(), AggregateError);
  assert.deepEqual(drained, ["a"]);
});

test("Kernel.draining names the service that a stop waits for", async () => {
  let finish = () => {};
  const kernel = await Kernel.start([
    service({
      key: A,
      start: () => "a",
      drain: () => new Promise<void>((resolve) => finish = resolve),
    }),
    service({ key: B, start: () => "b" }),
  ]);
  const stopped = kernel.stop();
  await new Promise(setImmediate);
  assert.equal(kernel.draining, "a");
  finish();
  await stopped;
  assert.equal(kernel.draining, undefined);
});
