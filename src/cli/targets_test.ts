import assert from "node:assert/strict";
import { test } from "node:test";
import type { TargetLoad } from "../model/mod.ts";
import type { TargetRow } from "../process/mod.ts";
import { statusOf, type TargetObservations } from "./targets.ts";

const target: TargetRow = {
  id: "t",
  pool: "p",
  kind: "service",
  host: "h",
  domain: "d",
  agentUrl: "u",
};

const load: TargetLoad = {
  running: 0,
  queued: 0,
  limit: 4,
  cold: false,
  leaving: false,
};

const status = (overrides: Partial<TargetObservations>, of = target) =>
  statusOf(of, {
    availability: { domainsOut: [], hostsOut: [] },
    leavingHosts: new Set(),
    load,
    ...overrides,
  });

test("statusOf() returns the reason why a target gets no new work", () => {
  const out = { domainsOut: ["d"], hostsOut: ["h"] };
  assert.equal(status({}), "serving");
  assert.equal(status({ load: { ...load, cold: true } }), "cold");
  assert.equal(status({ load: undefined }), "unreachable");
  assert.equal(status({ load: { ...load, leaving: true } }), "leaving");
  assert.equal(status({ leavingHosts: new Set(["h"]) }), "host-leaving");
  assert.equal(
    status({ availability: { ...out, domainsOut: [] } }),
    "host-out",
  );
  assert.equal(status({ availability: out, load: undefined }), "domain-out");
});

test("statusOf() reports a target with a leaving registration as leaving", () => {
  const stamp = { instance: "i", incarnation: 1, leaving: true };
  assert.equal(status({}, { ...target, stamp }), "leaving");
});
