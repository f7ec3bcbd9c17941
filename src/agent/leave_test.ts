import { install } from "@sinonjs/fake-timers";
import { okAsync, ResultAsync } from "neverthrow";
import assert from "node:assert/strict";
import { test } from "node:test";
import { sleep } from "../kernel/mod.ts";
import {
  EMPTY_LISTS,
  Priority,
  type StageCall,
  StageKind,
  type Target,
  TargetKind,
} from "../model/mod.ts";
import type { ListsSync } from "../process/mod.ts";
import { MemoryTable } from "../standin/mod.ts";
import { Metrics, SILENT_LOGGER, Tracing } from "../telemetry/mod.ts";
import { Agent } from "./agent.ts";
import { ClaimService } from "./claim_service.ts";
import { GateService } from "./gate_service.ts";

const RUN_MS = 3_000;

const target: Target = {
  id: "t",
  pool: "p",
  kind: TargetKind.Service,
  host: "h",
  domain: "d",
  agentUrl: "u",
};

const lists = {
  current: { ...EMPTY_LISTS, version: 1 },
  isConfirmed: true,
  observeVersion: () => {},
} as unknown as ListsSync;

const callOf = (callId: string): StageCall => ({
  callId,
  requestId: callId,
  organisation: "c",
  pipeline: "p",
  stage: "s",
  kind: StageKind.LookUp,
  target: "t",
  idempotent: true,
  fingerprint: "f",
  priority: Priority.Interactive,
  weight: 1,
  remainingMs: 10_000,
  listsVersion: 1,
  input: null,
});

/** Creates an agent whose target takes 3 s for each call. */
function createAgent(signal: AbortSignal): Agent {
  const metrics = new Metrics();
  return new Agent({
    target,
    gate: new GateService({
      coldLimit: 8,
      maxLimit: 8,
      maxQueued: 8,
      minSuccesses: 4,
      streamsProgress: false,
    }, signal),
    claims: new ClaimService(new MemoryTable(), { metrics }),
    client: {
      run: () =>
        ResultAsync.fromSafePromise(sleep(RUN_MS))
          .andThen(() => okAsync({ output: "done", tokens: 0 })),
      close: () => Promise.resolve(),
    },
    lists,
    metrics,
    tracing: new Tracing({ to: "none", log: SILENT_LOGGER, process: "agent" }),
  });
}

/** Returns the kind of a call's last event, or a refusal's proof and reason. */
async function lastEventOf(agent: Agent, callId: string): Promise<string> {
  let last = "";
  const events = agent.call(callOf(callId), new AbortController().signal);
  for await (const event of events) {
    last = event.kind === "refused"
      ? `${event.refusal.proof} ${event.refusal.reason}`
      : event.kind;
  }
  return last;
}

async function withFakeClock(
  body: (
    clock: ReturnType<typeof install>,
    agent: Agent,
  ) => Promise<void>,
): Promise<void> {
  const clock = install();
  const stop = new AbortController();
  try {
    await body(clock, createAgent(stop.signal));
  } finally {
    stop.abort();
    clock.uninstall();
  }
}

// Guards against a leaving agent that refuses calls before the entries are
// notified, and against one that never refuses them.
test("Agent.leave() gives notice, then refuses new calls as not run", () =>
  withFakeClock(async (clock, agent) => {
    agent.leave();
    assert.equal(agent.targetState().load.leaving, true);
    assert.equal(agent.isReady, false);
    await clock.tickAsync(1_000);
    const duringNotice = lastEventOf(agent, "early");
    await clock.tickAsync(600);
    const afterNotice = lastEventOf(agent, "late");
    await clock.tickAsync(RUN_MS);
    assert.equal(await duringNotice, "result");
    assert.equal(await afterNotice, "not-run leaving");
  }));

// Fails when drain() does not wait for the calls in flight.
test("Agent.drain() waits for the results of calls in flight", () =>
  withFakeClock(async (clock, agent) => {
    const call = lastEventOf(agent, "in-hand");
    await clock.tickAsync(500);
    let drained = false;
    const draining = agent.drain().then(() => drained = true);
    await clock.tickAsync(1_000);
    assert.equal(drained, false);
    await clock.tickAsync(RUN_MS);
    await draining;
    assert.equal(await call, "result");
  }));

// Fails when the agent does not check its registration.
test("Agent.setRegistration() refuses calls while a newer agent holds the name", () =>
  withFakeClock(async (clock, agent) => {
    const registration = { isSuperseded: true };
    agent.setRegistration(registration);
    const refused = lastEventOf(agent, "one");
    await clock.tickAsync(RUN_MS);
    assert.equal(await refused, "not-run leaving");
    registration.isSuperseded = false;
    const accepted = lastEventOf(agent, "two");
    await clock.tickAsync(RUN_MS);
    assert.equal(await accepted, "result");
  }));
