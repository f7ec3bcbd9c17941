import { install } from "@sinonjs/fake-timers";
import fc from "fast-check";
import { errAsync, okAsync, ResultAsync } from "neverthrow";
import assert from "node:assert/strict";
import { test } from "node:test";
import { sleep } from "../kernel/mod.ts";
import {
  Priority,
  StageKind,
  type Target,
  TargetKind,
  type UseList,
} from "../model/mod.ts";
import {
  PlatformError,
  PlatformErrorKind,
  type WeightStore,
} from "../store/mod.ts";
import { EngineOrders, MemoryTable } from "../standin/mod.ts";
import { createLogger, LogLevel, Metrics } from "../telemetry/mod.ts";
import {
  type EngineControl,
  ORDER_TIMEOUT_MS,
  OrderError,
  OrderErrorKind,
} from "./engine_control.ts";
import { LeaseHolder } from "./lease_holder.ts";
import { EngineReconciler } from "./engine_reconciler.ts";

const SEED = 6;
const LEASE_MS = 10_000;
const log = await createLogger({ level: LogLevel.Silent, fields: {} });

const target: Target = {
  id: "t",
  pool: "pool",
  kind: TargetKind.Engine,
  host: "h",
  domain: "d",
  agentUrl: "u",
};

const useListOf = (...models: string[]): UseList => ({
  plans: [],
  pipelines: [{
    name: "p",
    durable: false,
    priority: Priority.Batch,
    deadlineMs: 1,
    stages: models.map((model) => ({
      name: model,
      kind: StageKind.Generate,
      pool: "pool",
      model,
      idempotent: true,
      expectedMs: 1,
    })),
  }],
});

/** Control of an engine stand-in; orders arrive after `delayMs`. */
class DelayedControl implements EngineControl {
  delayMs = 0;
  readonly #engine: EngineOrders;
  constructor(engine: EngineOrders) {
    this.#engine = engine;
  }
  role() {
    return okAsync(this.#engine.current);
  }
  order(order: Parameters<EngineControl["order"]>[0]) {
    const sent = sleep(this.delayMs).then(() => this.#engine.execute(order));
    return ResultAsync.fromSafePromise(sent).andThen((applied) =>
      applied
        ? okAsync(this.#engine.current)
        : errAsync(new OrderError(OrderErrorKind.Fenced, "old"))
    );
  }
}

const unlimitedWeights: WeightStore = {
  reserve: () => okAsync({ bytes: 1, waitMs: 0 }),
};

interface TestAgent {
  readonly reconciler: EngineReconciler;
  readonly delayedControl: DelayedControl;
  readonly lease: LeaseHolder;
  readonly metrics: Metrics;
}

function createAgent(
  env: { table: MemoryTable; engine: EngineOrders },
  opts: {
    name: string;
    checksFencing: boolean;
    use: () => UseList;
    weights?: WeightStore;
  },
): TestAgent {
  const delayedControl = new DelayedControl(env.engine);
  const lease = new LeaseHolder({
    table: env.table,
    key: "lease/t",
    cfg: {
      holder: opts.name,
      durationMs: LEASE_MS,
      maxDrift: 0.01,
      maxOrderMs: ORDER_TIMEOUT_MS,
      checksFencing: opts.checksFencing,
    },
  });
  const metrics = new Metrics();
  const reconciler = new EngineReconciler({
    target,
    control: delayedControl,
    lease,
    weights: opts.weights ?? unlimitedWeights,
    use: opts.use,
    onCold: () => {},
    metrics,
    log,
  });
  return { reconciler, delayedControl, lease, metrics };
}

const createEnvironment = (checksFencing: boolean) => ({
  table: new MemoryTable(),
  engine: new EngineOrders({ checksFencing }),
});

async function withFakeClock(
  body: (
    clock: ReturnType<typeof install>,
    signal: AbortSignal,
  ) => Promise<void>,
): Promise<void> {
  const clock = install();
  const stop = new AbortController();
  try {
    await body(clock, stop.signal);
  } finally {
    stop.abort();
    clock.uninstall();
  }
}

test("EngineReconciler.run() brings the engine to the setup of the lists", () =>
  withFakeClock(async (clock, signal) => {
    const env = createEnvironment(true);
    const currentUse = () => useListOf("a", "a", "b", "c");
    const { reconciler } = createAgent(env, {
      name: "x",
      checksFencing: true,
      use: currentUse,
    });
    reconciler.run(signal);
    await clock.tickAsync(60_000);
    assert.equal(env.engine.current.model, "a");
    assert.deepEqual([...env.engine.current.adapters].sort(), ["b", "c"]);
    const { writes } = env.table.calls;
    await clock.tickAsync(600_000);
    assert.equal(env.table.calls.writes, writes);
  }));

// Guards against an order that was sent under an old lease and takes effect
// after a newer one. Fails when the engine does not check fencing numbers.
test("EngineReconciler.reconcile() is refused when its order arrives after a newer lease", () =>
  withFakeClock(async (clock, signal) => {
    const env = createEnvironment(true);
    const paused = createAgent(env, {
      name: "paused",
      checksFencing: true,
      use: () => useListOf("old"),
    });
    paused.delayedControl.delayMs = 30_000;
    const pausedRound = paused.reconciler.reconcile(signal);
    await clock.tickAsync(1_000);
    const successor = createAgent(env, {
      name: "successor",
      checksFencing: true,
      use: () => useListOf("new"),
    });
    const successorRound = successor.reconciler.reconcile(signal);
    await clock.tickAsync(15_000);
    await successorRound;
    assert.equal(env.engine.current.model, "new");
    await clock.tickAsync(30_000);
    await pausedRound;
    assert.equal(env.engine.current.model, "new");
    assert.equal(env.engine.staleApplied, 0);
  }));

// Without a check of fencing numbers, the delayed order of an old holder takes
// effect. Fails when the role is not read again in every round.
test("EngineReconciler.run() repairs the effect of a delayed order on an engine without fencing", () =>
  withFakeClock(async (clock, signal) => {
    const env = createEnvironment(false);
    const paused = createAgent(env, {
      name: "paused",
      checksFencing: false,
      use: () => useListOf("old"),
    });
    paused.delayedControl.delayMs = 60_000;
    void paused.reconciler.reconcile(signal);
    await clock.tickAsync(1_000);
    const successor = createAgent(env, {
      name: "successor",
      checksFencing: false,
      use: () => useListOf("new"),
    });
    successor.reconciler.run(signal);
    await clock.tickAsync(30_000);
    assert.equal(env.engine.current.model, "new");
    await clock.tickAsync(60_000);
    assert.equal(env.engine.staleApplied, 1);
    assert.equal(env.engine.current.model, "new");
  }));

// Guards against an order from a process that was paused for longer than its
// lease. Fails when reconcile() sends an order without checking mayOrder.
test("EngineReconciler.reconcile() sends nothing when the lease lapsed in a pause", () =>
  withFakeClock(async (clock, signal) => {
    const env = createEnvironment(false);
    const clockState = { hasJumped: false };
    const { reconciler, metrics } = createAgent(env, {
      name: "x",
      checksFencing: false,
      use: () => useListOf("a"),
      weights: {
        reserve: () => {
          // Simulates a pause of the process while its clock advances.
          if (!clockState.hasJumped) clock.jump(LEASE_MS * 2);
          clockState.hasJumped = true;
          return okAsync({ bytes: 1, waitMs: 0 });
        },
      },
    });
    const round = reconciler.reconcile(signal);
    await clock.tickAsync(1_000);
    await round;
    assert.equal(env.engine.current.model, "default");
    assert.match(metrics.text(), /result="lease-lapsed"\} 1/);
  }));

// Fails when the pauses do not grow with each failed reservation.
test("EngineReconciler.run() spreads its attempts while the weight store is at its limit", () =>
  withFakeClock(async (clock, signal) => {
    let attempts = 0;
    let maxPerSecond = 0;
    let attemptsInSecond = 0;
    const weights: WeightStore = {
      reserve: () => {
        attempts += 1;
        attemptsInSecond += 1;
        return errAsync(
          new PlatformError(PlatformErrorKind.RateLimited, "limit"),
        );
      },
    };
    const agents = Array.from(
      { length: 50 },
      (_, i) =>
        createAgent(createEnvironment(true), {
          name: `x${i}`,
          checksFencing: true,
          use: () => useListOf("a"),
          weights,
        }),
    );
    agents.forEach(({ reconciler }) => reconciler.run(signal));
    await clock.tickAsync(120_000);
    const before = attempts;
    for (let second = 0; second < 60; second += 1) {
      attemptsInSecond = 0;
      await clock.tickAsync(1_000);
      maxPerSecond = Math.max(maxPerSecond, attemptsInSecond);
    }
    assert.ok(attempts > before);
    assert.ok(
      maxPerSecond <= 10,
      `${maxPerSecond} of 50 agents tried in one second`,
    );
  }));

// Guards against two holders at once. Fails when nextLeaseStep() does not wait
// for another holder's lease to lapse.
test("EngineReconciler.run() of racing agents never acts under two leases at once", async () => {
  const schedule = fc.record({
    delays: fc.array(fc.nat({ max: ORDER_TIMEOUT_MS - 1 }), {
      minLength: 3,
      maxLength: 3,
    }),
    startsMs: fc.array(fc.nat({ max: 20_000 }), { minLength: 3, maxLength: 3 }),
    checksFencing: fc.boolean(),
  });
  await fc.assert(
    fc.asyncProperty(
      schedule,
      ({ delays, startsMs, checksFencing }) =>
        withFakeClock(async (clock, signal) => {
          const env = createEnvironment(checksFencing);
          const agents = delays.map((delayMs, i) => {
            const agent = createAgent(env, {
              name: `x${i}`,
              checksFencing,
              use: () => useListOf(`m${i}`),
            });
            agent.delayedControl.delayMs = delayMs;
            void sleep(startsMs[i] as number, signal)
              .then(() => agent.reconciler.run(signal));
            return agent;
          });
          for (let tick = 0; tick < 120; tick += 1) {
            await clock.tickAsync(500);
            const holders = agents.filter(({ lease }) => lease.mayOrder);
            assert.ok(holders.length <= 1);
          }
          assert.equal(env.engine.staleApplied, 0);
        }),
    ),
    { seed: SEED, numRuns: 15 },
  );
});
