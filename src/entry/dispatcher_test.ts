import assert from "node:assert/strict";
import { test } from "node:test";
import { monotonicMs, sleep } from "../kernel/mod.ts";
import {
  type CallEvent,
  digest,
  notRun,
  outcomeUnknown,
  RefusalReason,
  type StageCall,
  type Target,
  type TargetLoad,
} from "../model/mod.ts";
import { Metrics, SILENT_LOGGER, Tracing } from "../telemetry/mod.ts";
import { withPausedClock } from "../testing/mod.ts";
import type { AgentClient } from "../wire/mod.ts";
import type { TargetDirectory } from "./attempt.ts";
import { Dispatcher } from "./dispatcher.ts";
import type { KeyRecord } from "./key_record.ts";
import type { StageRequest } from "./stage_dispatch.ts";

const LOAD = {} as TargetLoad;
const DEADLINE_MS = 8_000;

/** Events of one target's response to a call. */
type Script = (call: StageCall) => AsyncIterable<CallEvent>;

function result(call: StageCall, text: string, chunks: number): CallEvent {
  const output = { text };
  return {
    kind: "result",
    chunks,
    load: LOAD,
    listsVersion: 1,
    result: {
      callId: call.callId,
      stage: call.stage,
      fingerprint: call.fingerprint,
      target: call.target,
      output,
      digest: digest(output),
      tokens: 1,
      serviceMs: 1,
      queuedMs: 0,
      replayed: false,
    },
  };
}

/** Sends one chunk and, after a silence, the result. */
function silentFor(ms: number): Script {
  return async function* (call) {
    yield { kind: "chunk", callId: call.callId, seq: 0, text: "a" };
    await sleep(ms);
    yield result(call, "a", 1);
  };
}

const refuse: Script = async function* (call) {
  await sleep(1);
  yield {
    kind: "refused",
    callId: call.callId,
    refusal: notRun(RefusalReason.OverLimit, "full", 1),
    load: LOAD,
    listsVersion: 1,
  };
};

function setup(scripts: readonly Script[], record?: KeyRecord) {
  const aborted: string[] = [];
  const targets = scripts.map((script, i) => ({
    script,
    target: { id: `t${i}` } as Target,
  }));
  const directory: TargetDirectory = {
    begin: () => () => {},
    choose: (_pool, { tried }) =>
      targets.find(({ target }) => !tried.has(target.id))?.target,
    client: ({ id }) => ({
      call: (call: StageCall, signal: AbortSignal) => {
        signal.addEventListener("abort", () => aborted.push(id));
        const script = targets.find(({ target }) => target.id === id)?.script;
        return Promise.resolve((script ?? refuse)(call));
      },
    } as unknown as AgentClient),
    observeLists: () => {},
    recordLoad: () => {},
    suspect: () => {},
  };
  const dispatcher = new Dispatcher({
    directory,
    record,
    metrics: new Metrics(),
    tracing: new Tracing({ to: "none", log: SILENT_LOGGER, process: "p" }),
  });
  return { dispatcher, aborted };
}

function dispatch(
  dispatcher: Dispatcher,
  overrides: Partial<StageRequest> = {},
  onText?: (text: string) => void,
) {
  return dispatcher.dispatch({
    requestId: "r",
    organisation: "o",
    pipeline: "p",
    stage: "s",
    kind: "generate",
    idempotent: true,
    fingerprint: "f",
    priority: "interactive",
    weight: 1,
    listsVersion: 1,
    input: null,
    ...overrides,
  } as StageRequest, {
    pool: "p",
    deadlineAt: monotonicMs() + DEADLINE_MS,
    signal: new AbortController().signal,
    onText,
  });
}

const simulate = (task: () => Promise<void>) =>
  withPausedClock(task, { seed: 1 });

test("a call that is silent for a while is done though its repeat is refused", () =>
  simulate(async () => {
    const { dispatcher } = setup([silentFor(2_500), refuse, refuse]);
    const outcome = await dispatch(dispatcher);
    assert.equal(outcome._unsafeUnwrap().target, "t0");
  }));

test("a silence inside a text that the caller reads does not end it", () =>
  simulate(async () => {
    const { dispatcher } = setup([silentFor(2_500), silentFor(0)]);
    const outcome = await dispatch(dispatcher, {}, () => {});
    assert.equal(outcome._unsafeUnwrap().target, "t0");
  }));

test("the repeat of a call ends its silent attempt when it is done", () =>
  simulate(async () => {
    const { dispatcher, aborted } = setup([silentFor(7_000), silentFor(100)]);
    const startedAt = monotonicMs();
    const outcome = await dispatch(dispatcher);
    assert.equal(outcome._unsafeUnwrap().target, "t1");
    assert.ok(monotonicMs() - startedAt < 2_000);
    assert.ok(aborted.includes("t0"));
  }));

test("a filing that goes on while its record is read keeps its result", () =>
  simulate(async () => {
    const refusal = outcomeUnknown(RefusalReason.KeyRunning, "running", 1);
    const record = {
      settle: async () => {
        await sleep(1_000);
        return { kind: "refused", refusal };
      },
    } as unknown as KeyRecord;
    const { dispatcher } = setup([silentFor(2_000)], record);
    const outcome = await dispatch(dispatcher, {
      idempotent: false,
      idempotencyKey: "k",
    });
    assert.equal(outcome._unsafeUnwrap().target, "t0");
  }));

test("calls whose targets stay silent end at their deadline", () =>
  simulate(async () => {
    const { dispatcher } = setup([silentFor(60_000), silentFor(60_000)]);
    const startedAt = monotonicMs();
    const outcome = await dispatch(dispatcher);
    assert.equal(outcome._unsafeUnwrapErr().reason, RefusalReason.Silent);
    assert.ok(monotonicMs() - startedAt <= DEADLINE_MS + 100);
  }));
