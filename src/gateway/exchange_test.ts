import assert from "node:assert/strict";
import { err, ok } from "neverthrow";
import { test } from "node:test";
import { ANY_PROMPT, CallWatch } from "../crashes/mod.ts";
import { monotonicMs, sleep } from "../kernel/mod.ts";
import { Catalog, RouteKind } from "../serving/mod.ts";
import { catalogSpec, pool, route, targetChange } from "../serving/testing.ts";
import { Metrics, SILENT_LOGGER } from "../telemetry/mod.ts";
import { withPausedClock } from "../testing/mod.ts";
import { HeldBytes } from "./answer_body.ts";
import { Exchange } from "./exchange.ts";
import { FirstByteTimes } from "./first_byte_times.ts";
import { PlannedStop } from "./planned_stop.ts";
import {
  type CallerRequest,
  type CallerResponse,
  type CallListener,
  RefusalKind,
  type ResponseHead,
  RunReport,
} from "./ports.ts";
import { ResponseTimes } from "./response_times.ts";

const STREAM = route({
  kind: RouteKind.Stream,
  isResumable: true,
  maxPauseMs: 500,
  timeoutMs: 20_000,
  stages: [{ pool: "parts", after: [], resultBytes: 1 }],
});
const HEAD: ResponseHead = {
  status: 200,
  headers: [],
  isMatching: true,
  isSigned: true,
  report: RunReport.Answered,
};
const REFUSAL: ResponseHead = {
  ...HEAD,
  status: 503,
  report: RunReport.NotRun,
};
/** Silence after which a stream of the route is looked after, in ms. */
const SILENCE_MS = 2_000;

/** Time after which the head of the first response is overdue, in ms. */
const OVERDUE_MS = 800;

const NO_FINDINGS = { survived: () => {}, broke: () => {} };

interface FakeCall {
  readonly target: string;
  readonly listener: CallListener;
  abortedAt?: number;
}

/** Exchange with scripted targets, stages and retry budget. */
class Setup {
  readonly calls: FakeCall[] = [];
  readonly gone = new AbortController();
  text = "";
  isCut = false;
  isEnded = false;
  retriesLeft = 5;
  stageRuns = 0;
  stageMs = 100;
  /** Time until a target permits a request under its limit. */
  permitMs = 0;
  /** Resolves once the origin of a stream is recorded. */
  recorded: Promise<void> | undefined;
  releasedCount = 0;
  areStagesRefused = false;
  /** Reservations that have not ended. */
  reserved = 0;
  readonly done: Promise<void>;

  constructor() {
    const catalog = new Catalog(catalogSpec({ routes: [STREAM] }));
    const req = {
      id: "r1",
      headers: [],
      promptParts: [],
      pieces: [1],
      receivedAt: monotonicMs(),
    } as unknown as CallerRequest;
    this.done = new Exchange(
      {
        req,
        catalog,
        standing: {},
        route: STREAM,
        pool: pool("plain"),
        priority: 0,
        ageMs: 0,
        sizeRank: 0,
        content: { promptParts: [] },
        permit: ANY_PROMPT,
      },
      this.#response(),
      {
        tracker: {
          request: () => {},
          preferredDomain: () => undefined,
          reopensInMs: () => undefined,
          spendRetry: () => this.retriesLeft-- > 0,
          reserve: (_pool, { exclude }) => this.#reserve(exclude),
        },
        chains: {
          run: async () => {
            this.stageRuns += 1;
            await sleep(this.stageMs);
            if (this.areStagesRefused) return err({ reason: "queue" });
            return ok({ results: [], release: () => this.releasedCount++ });
          },
        },
        client: {
          send: ({ target }, listener) => {
            const call: FakeCall = { target: target.id, listener };
            this.calls.push(call);
            return {
              resume: () => {},
              abort: (detail) => {
                call.abortedAt ??= monotonicMs();
                listener.failed({ mayHaveRun: true, detail });
              },
            };
          },
        },
        firstByteTimes: new FirstByteTimes(),
        heldBytes: new HeldBytes(),
        stop: new PlannedStop(),
        responseTimes: new ResponseTimes(),
        rates: {
          acquire: async () => {
            await sleep(this.permitMs);
            return true;
          },
        },
        crashes: { watch: (target) => new CallWatch(target, [], NO_FINDINGS) },
        origins: {
          expect: () => {},
          begun: () => this.recorded,
          find: () => Promise.resolve(undefined),
        },
        log: SILENT_LOGGER,
        metrics: new Metrics(),
      },
    ).run();
  }

  call(i: number): FakeCall {
    const call = this.calls[i];
    assert.ok(call, `call ${i} was made`);
    return call;
  }

  /** Waits until the first target has sent one event and fallen silent. */
  async begin(): Promise<void> {
    await sleep(this.stageMs + 1);
    this.call(0).listener.head(HEAD);
    this.event(0, 1);
  }

  event(call: number, id: number): void {
    this.call(call).listener.data(Buffer.from(`id: ${id}\n\n`));
  }

  #reserve(exclude: ReadonlySet<string>) {
    const id = ["t1", "t2"].find((one) => !exclude.has(one));
    const change = id ? targetChange(id, 1, {}) : undefined;
    if (change?.kind !== "target" || !change.target) return undefined;
    this.reserved += 1;
    let isOpen = true;
    const end = () => {
      if (isOpen) this.reserved -= 1;
      isOpen = false;
    };
    return {
      target: change.target,
      maxConnections: 1,
      head: () => {},
      begun: () => {},
      overdue: () => {},
      progressed: () => {},
      done: end,
      failed: end,
      discarded: end,
    };
  }

  #response(): CallerResponse {
    const isBegun = () => this.text.length > 0;
    return {
      gone: this.gone.signal,
      get hasBegun() {
        return isBegun();
      },
      refuse: ({ kind }) => this.text += kind,
      begin: () => this.text += "begin ",
      write: (bytes) => {
        this.text += bytes.toString().trim() + " ";
        return true;
      },
      end: () => this.isEnded = true,
      cut: () => this.isCut = true,
    };
  }
}

function whileSilent(
  body: (setup: Setup) => Promise<void>,
): () => Promise<void> {
  return withSetup(async (setup) => {
    await setup.begin();
    await body(setup);
  });
}

/** Runs `body` once the first target has the request and sent no answer. */
function whileUnanswered(
  body: (setup: Setup) => Promise<void>,
): () => Promise<void> {
  return withSetup(async (setup) => {
    await sleep(setup.stageMs + 1);
    await body(setup);
  });
}

function withSetup(
  body: (setup: Setup) => Promise<void>,
): () => Promise<void> {
  return () =>
    withPausedClock(async () => {
      const setup = new Setup();
      await body(setup);
      await setup.done;
      assert.equal(setup.reserved, 0, "reservations left");
      assert.equal(setup.releasedCount >= setup.stageRuns - 1, true);
    }, { seed: 1 });
}

test(
  "a silent call ends within 400 ms after another target got the request",
  whileSilent(async (setup) => {
    await sleep(SILENCE_MS + 300);
    assert.equal(setup.calls.length, 2);
    const sentAt = monotonicMs();
    await sleep(400);
    assert.ok((setup.call(0).abortedAt ?? Infinity) - sentAt < 400);
    setup.call(1).listener.head(HEAD);
    setup.event(1, 2);
    setup.call(1).listener.ended();
    assert.equal(setup.text, "begin id: 1 id: 2 ");
    assert.equal(setup.isEnded, true);
    assert.equal(setup.retriesLeft, 4);
  }),
);

test(
  "a silent call ends when another target begins its response",
  whileSilent(async (setup) => {
    await sleep(SILENCE_MS + 150);
    setup.call(1).listener.head(HEAD);
    assert.notEqual(setup.call(0).abortedAt, undefined);
    setup.event(1, 2);
    setup.event(0, 2);
    setup.call(1).listener.ended();
    assert.equal(setup.text, "begin id: 1 id: 2 ");
  }),
);

test(
  "a call that goes on during the preparation cancels the handover",
  whileSilent(async (setup) => {
    await sleep(SILENCE_MS + 50);
    setup.event(0, 2);
    await sleep(500);
    assert.equal(setup.calls.length, 1);
    setup.call(0).listener.ended();
    assert.equal(setup.text, "begin id: 1 id: 2 ");
  }),
);

test(
  "a target that sends a byte now and then but no event is replaced",
  whileSilent(async (setup) => {
    const drip = setInterval(
      () => setup.call(0).listener.data(Buffer.from("i")),
      500,
    );
    await sleep(SILENCE_MS + 300);
    clearInterval(drip);
    assert.equal(setup.calls.length, 2);
    setup.call(1).listener.head(HEAD);
    setup.event(1, 2);
    setup.call(1).listener.ended();
    assert.equal(setup.text, "begin id: 1 id: 2 ");
  }),
);

test(
  "a call that goes on before another target answers keeps its request",
  whileSilent(async (setup) => {
    await sleep(SILENCE_MS + 150);
    setup.event(0, 2);
    assert.notEqual(setup.call(1).abortedAt, undefined);
    setup.call(0).listener.ended();
    assert.equal(setup.text, "begin id: 1 id: 2 ");
    assert.equal(setup.isEnded, true);
  }),
);

test(
  "a silent call goes on when another target refuses its request",
  whileSilent(async (setup) => {
    await sleep(SILENCE_MS + 150);
    setup.call(1).listener.head(REFUSAL);
    setup.call(1).listener.ended();
    await sleep(2_000);
    setup.event(0, 2);
    setup.call(0).listener.ended();
    assert.equal(setup.text, "begin id: 1 id: 2 ");
  }),
);

test(
  "a refusal of the silent target does not cancel the handover",
  whileUnanswered(async (setup) => {
    await sleep(OVERDUE_MS + 50);
    setup.call(0).listener.head(REFUSAL);
    setup.call(0).listener.ended();
    await sleep(setup.stageMs);
    assert.equal(setup.calls.length, 2);
    setup.call(1).listener.head(HEAD);
    setup.event(1, 1);
    setup.call(1).listener.ended();
    assert.equal(setup.text, "begin id: 1 ");
    assert.equal(setup.retriesLeft, 4);
  }),
);

test(
  "an answer to another request does not cancel the handover",
  whileUnanswered(async (setup) => {
    await sleep(OVERDUE_MS + 50);
    setup.call(0).listener.head({ ...HEAD, isMatching: false });
    await sleep(setup.stageMs);
    setup.call(1).listener.head(HEAD);
    setup.event(1, 1);
    setup.call(1).listener.ended();
    assert.equal(setup.text, "begin id: 1 ");
    assert.equal(setup.retriesLeft, 4);
  }),
);

test(
  "a silent call that breaks during the preparation is continued",
  whileSilent(async (setup) => {
    await sleep(SILENCE_MS + 50);
    setup.call(0).listener.failed({ mayHaveRun: true, detail: "reset" });
    await sleep(100);
    setup.call(1).listener.head(HEAD);
    setup.event(1, 2);
    setup.call(1).listener.ended();
    assert.equal(setup.text, "begin id: 1 id: 2 ");
    assert.equal(setup.stageRuns, 2);
    assert.equal(setup.retriesLeft, 4);
  }),
);

test(
  "no stages run for a silent call without a retry in the budget",
  whileSilent(async (setup) => {
    setup.retriesLeft = 0;
    await sleep(3 * SILENCE_MS);
    assert.equal(setup.stageRuns, 1);
    setup.call(0).listener.ended();
    assert.equal(setup.isEnded, true);
  }),
);

test(
  "a silent call goes on when the stages are refused",
  whileSilent(async (setup) => {
    setup.areStagesRefused = true;
    await sleep(2 * SILENCE_MS);
    setup.event(0, 2);
    setup.call(0).listener.ended();
    assert.equal(setup.text, "begin id: 1 id: 2 ");
  }),
);

test(
  "a caller that leaves ends the calls and the preparation",
  whileSilent(async (setup) => {
    await sleep(SILENCE_MS + 50);
    setup.gone.abort();
    await sleep(1_000);
    assert.equal(setup.calls.length, 1);
    assert.notEqual(setup.call(0).abortedAt, undefined);
  }),
);

test(
  "the deadline cuts a stream that is silent to its end",
  whileSilent(async (setup) => {
    await sleep(STREAM.timeoutMs);
    assert.equal(setup.isCut, true);
  }),
);

// Guards against a request that is refused as not run and sent afterwards.
test(
  "no request is sent once its deadline has passed while a permit is awaited",
  whileUnanswered(async (setup) => {
    setup.permitMs = STREAM.timeoutMs;
    await sleep(OVERDUE_MS + setup.stageMs + 50);
    setup.call(0).listener.head(REFUSAL);
    setup.call(0).listener.ended();
    await sleep(STREAM.timeoutMs);
    assert.equal(setup.text, RefusalKind.NotRun);
    await sleep(setup.permitMs);
    assert.equal(setup.calls.length, 1);
  }),
);

// Guards against a deadline of zero or less at a target, after a stall.
test(
  "no request is sent whose time has passed while a permit was awaited",
  withSetup(async (setup) => {
    setup.permitMs = STREAM.timeoutMs - setup.stageMs - 10;
    await sleep(STREAM.timeoutMs);
    assert.equal(setup.calls.length, 0);
    assert.equal(setup.text, RefusalKind.NotRun);
  }),
);

// Guards against ORDER: a caller reads a stream whose build is then forgotten.
test(
  "a caller sees the first event once the origin of its stream is recorded",
  withSetup(async (setup) => {
    setup.recorded = sleep(300);
    await setup.begin();
    setup.event(0, 2);
    await sleep(setup.stageMs);
    assert.equal(setup.text, "begin ");
    await sleep(200);
    assert.equal(setup.text, "begin id: 1 id: 2 ");
    setup.call(0).listener.ended();
    assert.equal(setup.isEnded, true);
  }),
);

test(
  "a stream that ends while it is held back is complete",
  withSetup(async (setup) => {
    setup.recorded = sleep(300);
    await setup.begin();
    setup.call(0).listener.ended();
    assert.equal(setup.isEnded, false);
    await sleep(300);
    assert.equal(setup.text, "begin id: 1 ");
    assert.equal(setup.isEnded, true);
  }),
);

test(
  "a stream that breaks while it is held back goes on after what was held",
  withSetup(async (setup) => {
    setup.recorded = sleep(300);
    await setup.begin();
    setup.call(0).listener.failed({ mayHaveRun: true, detail: "reset" });
    await sleep(setup.stageMs + 1);
    setup.call(1).listener.head(HEAD);
    setup.event(1, 2);
    setup.call(1).listener.ended();
    await sleep(300);
    assert.equal(setup.text, "begin id: 1 id: 2 ");
    assert.equal(setup.isEnded, true);
  }),
);
