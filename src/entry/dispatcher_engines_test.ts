import assert from "node:assert/strict";
import { test } from "node:test";
import { monotonicMs } from "../kernel/mod.ts";
import {
  type CallEvent,
  digest,
  type StageCall,
  type Target,
} from "../model/mod.ts";
import { Metrics, SILENT_LOGGER, Tracing } from "../telemetry/mod.ts";
import { withPausedClock } from "../testing/mod.ts";
import type { AgentClient } from "../wire/mod.ts";
import type { TargetDirectory } from "./attempt.ts";
import { Dispatcher } from "./dispatcher.ts";
import type { StageRequest } from "./stage_dispatch.ts";

const DEADLINE_MS = 5_000;
const LOAD = { running: 1, queued: 0, limit: 4, cold: false, leaving: false };

const REQUEST: StageRequest = {
  requestId: "r",
  organisation: "c",
  pipeline: "p",
  stage: "one",
  kind: "generate",
  idempotent: true,
  fingerprint: "f",
  priority: "interactive",
  weight: 1,
  listsVersion: 1,
  input: null,
};

const TARGETS = ["a", "b"].map((id): Target => ({
  id,
  pool: "x",
  kind: "engine",
  host: id,
  domain: "d1",
  agentUrl: `http://${id}`,
}));

const chunk = ({ callId }: StageCall, text: string): CallEvent => ({
  kind: "chunk",
  callId,
  seq: 0,
  text,
});

function result(call: StageCall, text: string): CallEvent {
  const output = { text };
  return {
    kind: "result",
    result: {
      ...call,
      output,
      digest: digest(output),
      tokens: 1,
      serviceMs: 1,
      queuedMs: 0,
      replayed: false,
    },
    chunks: 1,
    load: LOAD,
    listsVersion: 1,
  };
}

/**
 * Dispatches a call to engines `a` and `b`; the one that is tried first breaks
 * off after `streamed`, the other one generates a whole text.
 */
async function dispatch(streamed: (call: StageCall) => readonly CallEvent[]) {
  const calls: string[] = [];
  const texts: string[] = [];
  const client = ({ id }: Target): Pick<AgentClient, "call"> => ({
    call: (call) => Promise.resolve(events(id, call)),
  });
  async function* events(id: string, call: StageCall) {
    calls.push(id);
    if (calls.length > 1) {
      yield chunk(call, `whole text of ${id}`);
      yield result(call, `whole text of ${id}`);
      return;
    }
    yield* streamed(call);
    throw new Error("The connection broke");
  }
  const directory = {
    choose: (_pool, { tried }) => TARGETS.find(({ id }) => !tried.has(id)),
    begin: () => () => {},
    client: (target) => client(target) as AgentClient,
    observeLists: () => {},
    recordLoad: () => {},
    suspect: () => {},
  } satisfies TargetDirectory;
  const dispatcher = new Dispatcher({
    directory,
    metrics: new Metrics(),
    tracing: new Tracing({ to: "none", log: SILENT_LOGGER, process: "e" }),
  });
  const outcome = await dispatcher.dispatch(REQUEST, {
    pool: "x",
    deadlineAt: monotonicMs() + DEADLINE_MS,
    signal: new AbortController().signal,
    onText: (text) => texts.push(text),
  });
  return { calls, texts, isOk: outcome.isOk() };
}

test("Dispatcher never lets another engine go on with text that was passed on", () =>
  withPausedClock(async () => {
    assert.deepEqual(await dispatch((call) => [chunk(call, "first ")]), {
      calls: ["a"],
      texts: ["first "],
      isOk: false,
    });
  }, { seed: 1 }));

test("Dispatcher starts anew at another engine while no text was passed on", () =>
  withPausedClock(async () => {
    assert.deepEqual(await dispatch(() => []), {
      calls: ["a", "b"],
      texts: ["whole text of b"],
      isOk: true,
    });
  }, { seed: 2 }));
