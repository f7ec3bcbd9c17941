import assert from "node:assert/strict";
import { test } from "node:test";
import { CrashWatch, Reachability } from "../crashes/mod.ts";
import { monotonicMs, sleep } from "../kernel/mod.ts";
import {
  type CallEvent,
  digest,
  outcomeUnknown,
  RefusalReason,
  type StageCall,
  StageKind,
  type Target,
} from "../model/mod.ts";
import { NoticeBoard } from "../notices/mod.ts";
import { MIN_CRASHES, SETTLE_MS } from "../quarantine/mod.ts";
import { MAX_ATTEMPTS } from "../retry/mod.ts";
import { Metrics, SILENT_LOGGER, Tracing } from "../telemetry/mod.ts";
import { withPausedClock } from "../testing/mod.ts";
import type { AgentClient } from "../wire/mod.ts";
import type { TargetDirectory } from "./attempt.ts";
import { Dispatcher } from "./dispatcher.ts";
import type { StageRequest } from "./stage_dispatch.ts";

const DEADLINE_MS = 5_000;
const LOAD = { running: 1, queued: 0, limit: 4, cold: false, leaving: false };
/** Member of an input on which every engine crashes. */
const CRASHING = "crashing sheet";

/** Entries whose engines crash on one member of the input. */
class Setup {
  /** Calls that reached engines and crashed them. */
  crashes = 0;
  readonly #boards: NoticeBoard[] = [];
  readonly #dispatchers: Dispatcher[];

  constructor(opts: { entries: number; isWatching: boolean }) {
    this.#dispatchers = Array.from(
      { length: opts.entries },
      (_, i) => this.#dispatcher(`e${i}`, opts.isWatching),
    );
  }

  async dispatch(
    entry: number,
    input: Record<string, unknown>,
    overrides: Partial<StageRequest> = {},
  ): Promise<string> {
    const dispatcher = this.#dispatchers[entry];
    if (!dispatcher) throw new Error(`No entry ${entry}`);
    const outcome = await dispatcher.dispatch({
      requestId: `r${Math.random()}`,
      organisation: "c",
      pipeline: "p",
      stage: "one",
      kind: "generate",
      idempotent: true,
      fingerprint: digest(input),
      priority: "interactive",
      weight: 1,
      listsVersion: 1,
      input: { request: input, previous: null },
      ...overrides,
    }, {
      pool: "x",
      deadlineAt: monotonicMs() + DEADLINE_MS,
      signal: new AbortController().signal,
    });
    await sleep(SETTLE_MS);
    return outcome.match(() => "done", ({ reason }) => reason);
  }

  /** Lets all entries exchange their notices. */
  gossip(): void {
    this.#boards.forEach((board, i) =>
      this.#boards.forEach((other, k) => {
        if (i === k) return;
        const message = board.messageTo(`e${k}`);
        board.handleResponse(`e${k}`, other.respond(`e${i}`, message));
      })
    );
  }

  #dispatcher(name: string, isWatching: boolean): Dispatcher {
    let engines = 0;
    const directory = {
      choose: (): Target => ({
        id: `${name}-t${engines++}`,
        pool: "x",
        kind: "engine",
        host: "h",
        domain: "d1",
        agentUrl: "http://a",
      }),
      begin: () => () => {},
      client: () => this.#client() as AgentClient,
      observeLists: () => {},
      recordLoad: () => {},
      suspect: () => {},
    } satisfies TargetDirectory;
    return new Dispatcher({
      directory,
      metrics: new Metrics(),
      tracing: new Tracing({ to: "none", log: SILENT_LOGGER, process: name }),
      crashes: isWatching ? this.#watch(name) : undefined,
    });
  }

  #watch(name: string): CrashWatch {
    const board = new NoticeBoard({ metrics: new Metrics() });
    this.#boards.push(board);
    return new CrashWatch({
      self: name,
      fleet: { isListed: () => true, processes: () => [name] },
      check: () => Promise.resolve(Reachability.Refuses),
      notices: board,
      log: SILENT_LOGGER,
      metrics: new Metrics(),
    });
  }

  #client(): Pick<AgentClient, "call"> {
    const events = async function* (
      this: Setup,
      call: StageCall,
    ): AsyncGenerator<CallEvent> {
      await sleep(20);
      const ended = { load: LOAD, listsVersion: 1 };
      if (JSON.stringify(call.input).includes(CRASHING)) {
        this.crashes += 1;
        const refusal = outcomeUnknown(RefusalReason.TargetCrashed, "ended");
        yield { kind: "refused", callId: call.callId, refusal, ...ended };
        return;
      }
      const output = { text: "done" };
      const result = {
        ...call,
        output,
        digest: digest(output),
        tokens: 1,
        serviceMs: 1,
        queuedMs: 0,
        replayed: false,
      };
      yield { kind: "result", result, chunks: 0, ...ended };
    };
    return { call: (call) => Promise.resolve(events.call(this, call)) };
  }
}

test("Dispatcher sends content that crashes engines to few of them", () =>
  withPausedClock(async () => {
    const setup = new Setup({ entries: 2, isWatching: true });
    const outcomes: string[] = [];
    for (let i = 0; i < 6; i++) {
      outcomes.push(await setup.dispatch(i % 2, { id: i, sheet: CRASHING }));
      assert.equal(await setup.dispatch(i % 2, { id: i, sheet: "b" }), "done");
      setup.gossip();
    }
    assert.equal(setup.crashes, MAX_ATTEMPTS);
    assert.deepEqual(outcomes.slice(1), Array(5).fill("quarantined"));
  }, { seed: 1 }));

test("Dispatcher without a watch repeats such content without limit", () =>
  withPausedClock(async () => {
    const setup = new Setup({ entries: 2, isWatching: false });
    for (let i = 0; i < 6; i++) {
      await setup.dispatch(i % 2, { id: i, sheet: CRASHING });
    }
    assert.equal(setup.crashes, 6 * MAX_ATTEMPTS);
  }, { seed: 1 }));

test("a keyed call that is repeated under new keys crashes few targets", () =>
  withPausedClock(async () => {
    const setup = new Setup({ entries: 2, isWatching: true });
    const outcomes: string[] = [];
    for (let i = 0; i < 6; i++) {
      const call = {
        kind: StageKind.File,
        idempotent: false,
        idempotencyKey: `key-${i}`,
      };
      outcomes.push(await setup.dispatch(i % 2, { sheet: CRASHING }, call));
      assert.equal(await setup.dispatch(i % 2, { sheet: "b" }, call), "done");
      setup.gossip();
    }
    assert.equal(setup.crashes, MIN_CRASHES);
    assert.deepEqual(outcomes.slice(MIN_CRASHES), Array(3).fill("quarantined"));
  }, { seed: 1 }));
