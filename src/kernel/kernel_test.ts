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
