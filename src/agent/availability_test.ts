import { install } from "@sinonjs/fake-timers";
import assert from "node:assert/strict";
import { test } from "node:test";
import { type Availability, type Target, TargetKind } from "../model/mod.ts";
import { keepColdWhileOut } from "./availability.ts";

const target: Target = {
  id: "t",
  pool: "pool",
  kind: TargetKind.Service,
  host: "h",
  domain: "d",
  agentUrl: "u",
};

// Fails when keepColdWhileOut() checks the lists only once, or never.
test("keepColdWhileOut() keeps a target cold as long as it is out of service", async () => {
  const clock = install();
  const stop = new AbortController();
  const coldAt: number[] = [];
  let availability: Availability = { domainsOut: [], hostsOut: [] };
  keepColdWhileOut({
    target,
    availability: () => availability,
    markCold: () => coldAt.push(performance.now()),
    signal: stop.signal,
  });
  await clock.tickAsync(1_100);
  assert.deepEqual(coldAt, []);
  availability = { domainsOut: ["d"], hostsOut: [] };
  await clock.tickAsync(1_000);
  availability = { domainsOut: [], hostsOut: [] };
  await clock.tickAsync(1_000);
  stop.abort();
  clock.uninstall();
  assert.deepEqual(coldAt, [1_250, 1_500, 1_750, 2_000]);
});
