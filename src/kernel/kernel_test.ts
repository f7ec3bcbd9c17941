import assert from "node:assert/strict";
import { test } from "node:test";
import { Kernel, KernelError, service, serviceKey } from "./kernel.ts";

const A = serviceKey<string>("a");
const B = serviceKey<string>("b");

test("Kernel.start() lets a service get an earlier one", async () => {
  const kernel = await Kernel.start([
    service({ key: A, start: () => "one" }),
    service({ key: B, start: (ctx) => `${ctx.get(A)} two` }),
  ]);
  assert.equal(kernel.get(B), "one two");
});

test("Kernel.start() rejects a service that gets a later one", async () => {
  const started = Kernel.start([
    service({ key: A, start: (ctx) => ctx.get(B) }),
    service({ key: B, start: () => "late" }),
  ]);
  await assert.rejects(started, KernelError);
});

test("Kernel.stop() drains services in reverse start order", async () => {
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

// Fails when stop() drains each service right after its own announcement.
test("Kernel.stop() lets all services announce before the first one drains", async () => {
  const calls: string[] = [];
  const spec = (key: typeof A) =>
    service({
      key,
      start: () => key.name,
      leave: (name) => void calls.push(`leave ${name}`),
      drain: (name) => Promise.resolve(void calls.push(`drain ${name}`)),
      end: (name) => void calls.push(`end ${name}`),
    });
  const kernel = await Kernel.start([spec(A), spec(B)]);
  await kernel.stop();
  assert.deepEqual(calls, [
    "leave b",
    "leave a",
    "drain b",
    "drain a",
    "end b",
    "end a",
  ]);
});

// Fails when a rejected drain aborts the loop over the services.
test("Kernel.stop() drains the other services when one fails", async () => {
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

test("Kernel.draining is the name of the service that is draining", async () => {
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
