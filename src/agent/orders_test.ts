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
  ORDER_MS,
  OrderError,
  OrderErrorKind,
} from "./engine_control.ts";
import { LeaseHolder } from "./lease_holder.ts";
import { Orders } from "./orders.ts";

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

const use = (...models: string[]): UseList => ({
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

/** Link to an engine; orders arrive after `delayMs`. */
class Link implements EngineControl {
  delayMs = 0;
  readonly #engine: EngineOrders;
  constructor(engine: EngineOrders) {
    this.#engine = engine;
  }
  role() {
    return okAsync(this.#engine.current);
  }
  order(order: Parameters<EngineControl["order"]>[0]) {
    const sent = sleep(this.delayMs).then(() => this.#engine.obey(order));
    return ResultAsync.fromSafePromise(sent).andThen((obeyed) =>
      obeyed
        ? okAsync(this.#engine.current)
        : errAsync(new OrderError(OrderErrorKind.Fenced, "old"))
    );
  }
}

const freeWeights: WeightStore = {
  reserve: () => okAsync({ bytes: 1, waitMs: 0 }),
};

interface Made {
  readonly orders: Orders;
  readonly link: Link;
  readonly lease: LeaseHolder;
  readonly metrics: Metrics;
}

function agentOn(
  world: { table: MemoryTable; engine: EngineOrders },
  opts: {
    name: string;
    checksFencing: boolean;
    use: () => UseList;
    weights?: WeightStore;
  },
): Made {
  const link = new Link(world.engine);
  const lease = new LeaseHolder({
    table: world.table,
    key: "lease/t",
    cfg: {
      holder: opts.name,
      durationMs: LEASE_MS,
      maxDrift: 0.01,
      orderMs: ORDER_MS,
      checksFencing: opts.checksFencing,
    },
  });
  const metrics = new Metrics();
  const orders = new Orders({
    target,
    control: link,
    lease,
    weights: opts.weights ?? freeWeights,
    use: opts.use,
    onCold: () => {},
    metrics,
    log,
  });
  return { orders, link, lease, metrics };
}

const world = (checksFencing: boolean) => ({
  table: new MemoryTable(),
  engine: new EngineOrders({ checksFencing }),
});

async function underClock(
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

test("Orders.run() brings the engine to the setup of the lists", () =>
  underClock(async (clock, signal) => {
    const here = world(true);
    const models = () => use("a", "a", "b", "c");
    const { orders } = agentOn(here, {
      name: "x",
      checksFencing: true,
      use: models,
    });
    orders.run(signal);
    await clock.tickAsync(60_000);
    assert.equal(here.engine.current.model, "a");
    assert.deepEqual([...here.engine.current.adapters].sort(), ["b", "c"]);
    const { writes } = here.table.calls;
    await clock.tickAsync(600_000);
    assert.equal(here.table.calls.writes, writes);
  }));

// Fails when the engine's check of fencing numbers is switched off.
test("Orders.round() is refused when its order arrives after a newer lease", () =>
  underClock(async (clock, signal) => {
    const here = world(true);
    const paused = agentOn(here, {
      name: "paused",
      checksFencing: true,
      use: () => use("old"),
    });
    paused.link.delayMs = 30_000;
    const late = paused.orders.round(signal);
    await clock.tickAsync(1_000);
    const fresh = agentOn(here, {
      name: "fresh",
      checksFencing: true,
      use: () => use("new"),
    });
    const taken = fresh.orders.round(signal);
    await clock.tickAsync(15_000);
    await taken;
    assert.equal(here.engine.current.model, "new");
    await clock.tickAsync(30_000);
    await late;
    assert.equal(here.engine.current.model, "new");
    assert.equal(here.engine.stale, 0);
  }));

// Fails when the role is not read back in every round.
test("Orders.run() repairs what a late order did to an engine without fencing", () =>
  underClock(async (clock, signal) => {
    const here = world(false);
    const paused = agentOn(here, {
      name: "paused",
      checksFencing: false,
      use: () => use("old"),
    });
    paused.link.delayMs = 60_000;
    void paused.orders.round(signal);
    await clock.tickAsync(1_000);
    const fresh = agentOn(here, {
      name: "fresh",
      checksFencing: false,
      use: () => use("new"),
    });
    fresh.orders.run(signal);
    await clock.tickAsync(30_000);
    assert.equal(here.engine.current.model, "new");
    await clock.tickAsync(60_000);
    assert.equal(here.engine.stale, 1);
    assert.equal(here.engine.current.model, "new");
  }));

// Fails when round() sends without a look at mayOrder.
test("Orders.round() sends nothing when the lease lapsed in a pause", () =>
  underClock(async (clock, signal) => {
    const here = world(false);
    const resumed = { now: false };
    const { orders, metrics } = agentOn(here, {
      name: "x",
      checksFencing: false,
      use: () => use("a"),
      weights: {
        reserve: () => {
          // The process is stopped here; its clock runs on.
          if (!resumed.now) clock.jump(LEASE_MS * 2);
          resumed.now = true;
          return okAsync({ bytes: 1, waitMs: 0 });
        },
      },
    });
    const round = orders.round(signal);
    await clock.tickAsync(1_000);
    await round;
    assert.equal(here.engine.current.model, "default");
    assert.match(metrics.text(), /result="lease-lapsed"\} 1/);
  }));

// Fails when the pauses do not grow.
test("Orders.run() spreads its tries while the weight store is at its limit", () =>
  underClock(async (clock, signal) => {
    let tries = 0;
    let busiest = 0;
    let inSecond = 0;
    const weights: WeightStore = {
      reserve: () => {
        tries += 1;
        inSecond += 1;
        return errAsync(
          new PlatformError(PlatformErrorKind.RateLimited, "limit"),
        );
      },
    };
    const agents = Array.from({ length: 50 }, (_, i) =>
      agentOn(world(true), {
        name: `x${i}`,
        checksFencing: true,
        use: () => use("a"),
        weights,
      }));
    agents.forEach(({ orders }) => orders.run(signal));
    await clock.tickAsync(120_000);
    const before = tries;
    for (let second = 0; second < 60; second += 1) {
      inSecond = 0;
      await clock.tickAsync(1_000);
      busiest = Math.max(busiest, inSecond);
    }
    assert.ok(tries > before);
    assert.ok(busiest <= 10, `${busiest} of 50 agents tried in one second`);
  }));

// Fails when nextLeaseStep() does not wait for another holder's lease.
test("Orders.run() of racing agents never acts under two leases at once", async () => {
  const history = fc.record({
    delays: fc.array(fc.nat({ max: ORDER_MS - 1 }), {
      minLength: 3,
      maxLength: 3,
    }),
    startsMs: fc.array(fc.nat({ max: 20_000 }), { minLength: 3, maxLength: 3 }),
    checksFencing: fc.boolean(),
  });
  await fc.assert(
    fc.asyncProperty(
      history,
      ({ delays, startsMs, checksFencing }) =>
        underClock(async (clock, signal) => {
          const here = world(checksFencing);
          const agents = delays.map((delayMs, i) => {
            const made = agentOn(here, {
              name: `x${i}`,
              checksFencing,
              use: () => use(`m${i}`),
            });
            made.link.delayMs = delayMs;
            void sleep(startsMs[i] as number, signal)
              .then(() => made.orders.run(signal));
            return made;
          });
          for (let at = 0; at < 120; at += 1) {
            await clock.tickAsync(500);
            const holders = agents.filter(({ lease }) => lease.mayOrder);
            assert.ok(holders.length <= 1);
          }
          assert.equal(here.engine.stale, 0);
        }),
    ),
    { seed: SEED, numRuns: 15 },
  );
});
