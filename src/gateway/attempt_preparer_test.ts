import assert from "node:assert/strict";
import { test } from "node:test";
import { err } from "neverthrow";
import { monotonicMs } from "../kernel/mod.ts";
import { Catalog } from "../serving/mod.ts";
import { catalogSpec, pool, route } from "../serving/testing.ts";
import { withPausedClock } from "../testing/mod.ts";
import { AttemptPreparer } from "./attempt_preparer.ts";
import type { ChainRefusal, ChainRequest } from "./chain_client.ts";
import { FirstByteTimes } from "./first_byte_times.ts";
import type { CallerRequest } from "./ports.ts";
import type { Admitted } from "./relay.ts";

const ROUTE = route({
  stages: [{ pool: "parts", after: [], resultBytes: 1 }],
  timeoutMs: 6_000,
});

/** Preparer whose chains are refused with `refusal`. */
function setup(
  opts: {
    req?: Partial<CallerRequest>;
    admitted?: Partial<Admitted>;
    refusal?: ChainRefusal;
    remainingMs?: number;
    reopensInMs?: number;
  } = {},
) {
  const chains: ChainRequest[] = [];
  const spec = catalogSpec({ routes: [ROUTE] });
  const admitted: Admitted = {
    req: {
      id: "r",
      method: "POST",
      hostname: "api.example",
      path: "/r/",
      headers: [],
      body: Buffer.alloc(0),
      pieces: [1],
      promptParts: [],
      receivedAt: monotonicMs(),
      ...opts.req,
    },
    catalog: new Catalog(spec),
    standing: {},
    route: ROUTE,
    pool: pool("plain"),
    priority: 0,
    ageMs: 0,
    sizeRank: 1,
    content: { promptParts: [], fingerprint: "f" },
    permit: { refusal: () => undefined },
    ...opts.admitted,
  };
  const preparer = new AttemptPreparer(
    admitted,
    monotonicMs() + (opts.remainingMs ?? 6_000),
    {
      tracker: {
        reserve: () => undefined,
        preferredDomain: () => undefined,
        reopensInMs: () => opts.reopensInMs,
      },
      chains: {
        run: (request) => {
          chains.push(request);
          return Promise.resolve(err(opts.refusal ?? { reason: "refused" }));
        },
      },
      firstByteTimes: new FirstByteTimes(),
      rates: { acquire: () => Promise.resolve(true) },
    },
  );
  return { preparer, chains };
}

const gone = () => new AbortController().signal;
const NO_TARGETS = { exclude: new Set<string>() };

test("prepare() tells the owner that a stream is resumed or sent again", () =>
  withPausedClock(async () => {
    const fresh = setup();
    await fresh.preparer.prepare(NO_TARGETS, gone());
    assert.equal(fresh.chains[0]?.isResumed, false);
    assert.equal(fresh.chains[0]?.isRetry, false);
    const resumed = setup({ req: { lastEventId: "7" } });
    await resumed.preparer.prepare(NO_TARGETS, gone());
    assert.equal(resumed.chains[0]?.isResumed, true);
    const broken = setup();
    await broken.preparer
      .prepare({ ...NO_TARGETS, sameBuildAs: { build: "b" } }, gone());
    assert.equal(broken.chains[0]?.isResumed, true);
    const again = setup({ admitted: { ageMs: 900 } });
    await again.preparer.prepare(NO_TARGETS, gone());
    assert.equal(again.chains[0]?.isRetry, true);
  }, { seed: 1 }));

test("prepare() names the time at which the owner expects a place", () =>
  withPausedClock(async () => {
    const refusal = {
      reason: "the queue is too long",
      waitMs: 40,
      refusedShare: 0.5,
    };
    const slow = { route: { ...ROUTE, latencyGoalMs: 1_600 } };
    const { preparer } = setup({ refusal, admitted: slow });
    const soon = await preparer.prepare(NO_TARGETS, gone());
    assert.ok(soon._unsafeUnwrapErr().retryAfterMs < 100);
    // With 300 ms to the goal, nothing that is sent again can be on time.
    const tight = setup({ refusal: { ...refusal, waitMs: 400 } });
    const late = await tight.preparer.prepare(NO_TARGETS, gone());
    const { retryAfterMs } = late._unsafeUnwrapErr();
    assert.ok(retryAfterMs > 1_000 && retryAfterMs <= 2_000);
    const burst = setup({ refusal: { ...refusal, refusedShare: 0.1 } });
    const over = await burst.preparer.prepare(NO_TARGETS, gone());
    assert.ok(over._unsafeUnwrapErr().retryAfterMs > 1_000);
  }, { seed: 1 }));

test("prepare() runs no stages for a target that cannot begin in time", () =>
  withPausedClock(async () => {
    // The first byte is expected after 200 ms.
    const late = setup({ remainingMs: 210 });
    const refused = await late.preparer.prepare(NO_TARGETS, gone());
    assert.equal(refused._unsafeUnwrapErr().reason, "its time has passed");
    assert.equal(late.chains.length, 0);
    const closed = setup({ remainingMs: 1_000, reopensInMs: 900 });
    const waiting = await closed.preparer.prepare(NO_TARGETS, gone());
    assert.equal(waiting._unsafeUnwrapErr().reason, "no target is open");
    assert.equal(closed.chains.length, 0);
    const opens = setup({ remainingMs: 1_000, reopensInMs: 700 });
    await opens.preparer.prepare(NO_TARGETS, gone());
    assert.equal(opens.chains.length, 1);
  }, { seed: 1 }));
