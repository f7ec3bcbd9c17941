import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { setStrictInvariants } from "../kernel/mod.ts";
import {
  applyLease,
  createLease,
  fenceOf,
  type LeaseConfig,
  type LeaseRow,
  type LeaseState,
  mayOrder,
  nextLeaseStep,
  releaseStep,
} from "./lease.ts";

const SEED = 6;
const DURATION_MS = 1_000;
const ORDER_MS = 300;
const DRIFT = 0.02;

setStrictInvariants(true);

const cfg = (holder: string, checksFencing = true): LeaseConfig => ({
  holder,
  durationMs: DURATION_MS,
  maxDrift: DRIFT,
  orderMs: ORDER_MS,
  checksFencing,
});

const held = (holder: string, fence = 1): LeaseRow => ({
  holder,
  fence,
  durationMs: DURATION_MS,
  released: false,
});

const read = (row: LeaseRow | null, version: number) =>
  ({ kind: "read", row, version }) as const;

test("nextLeaseStep() takes a lease that nobody held", () => {
  const state = applyLease(createLease(cfg("a")), read(null, 0), 0);
  const step = nextLeaseStep(state, 0);
  assert.deepEqual(step, { kind: "write", version: 0, row: held("a") });
});

test("nextLeaseStep() waits out another holder from first sight", () => {
  const state = applyLease(createLease(cfg("a")), read(held("b"), 3), 500);
  assert.equal(nextLeaseStep(state, 1_500).kind, "wait");
  assert.equal(nextLeaseStep(state, 1_521).kind, "write");
});

// Fails when lapseMs() leaves out the orders that are under way.
test("nextLeaseStep() waits longer where fencing is ignored", () => {
  const open = createLease(cfg("a", false));
  const state = applyLease(open, read(held("b"), 3), 0);
  assert.equal(nextLeaseStep(state, 1_021).kind, "wait");
  assert.equal(nextLeaseStep(state, 1_327).kind, "write");
});

test("nextLeaseStep() takes a released lease at once", () => {
  const row = { ...held("b"), released: true };
  const state = applyLease(createLease(cfg("a")), read(row, 3), 0);
  const step = nextLeaseStep(state, 0);
  assert.deepEqual(step, { kind: "write", version: 3, row: held("a", 2) });
});

test("mayOrder() ends before the lease lapses for others", () => {
  const event = { kind: "written", row: held("a"), version: 1, askedAt: 0 };
  const state = applyLease(createLease(cfg("a")), event as never, 400);
  assert.equal(mayOrder(state, 979), true);
  assert.equal(mayOrder(state, 981), false);
});

/** One process of a history. Its clock runs at `rate`. */
interface Process {
  readonly rate: number;
  state: LeaseState;
  /** Time at which its last order is answered. */
  busyUntil: number;
}

interface Engine {
  fence: number;
  applied: number[];
}

const move = fc.record({
  who: fc.nat({ max: 2 }),
  what: fc.constantFrom("read", "step", "order", "release", "slow-write"),
  passMs: fc.nat({ max: 700 }),
});

const moves = fc.array(move, { minLength: 20, maxLength: 250 });

/** Plays a history; gives the fencing numbers in the order of their effect. */
function play(
  history: readonly { who: number; what: string; passMs: number }[],
  checksFencing: boolean,
): Engine {
  const processes = [1 - DRIFT / 4, 1, 1 + DRIFT / 4].map((
    rate,
    i,
  ): Process => ({
    rate,
    state: createLease(cfg(`p${i}`, checksFencing)),
    busyUntil: 0,
  }));
  const store = { version: 0, row: null as LeaseRow | null };
  const engine: Engine = { fence: 0, applied: [] };
  const underWay: { at: number; fence: number }[] = [];
  let now = 0;
  const land = () => {
    const due = underWay.filter(({ at }) => at <= now)
      .toSorted((a, b) => a.at - b.at);
    due.forEach((order) => {
      underWay.splice(underWay.indexOf(order), 1);
      if (checksFencing && order.fence < engine.fence) return;
      engine.fence = order.fence;
      engine.applied.push(order.fence);
    });
  };
  const local = (process: Process) => now * process.rate;
  const commit = (
    process: Process,
    step: { version: number; row: LeaseRow },
  ) => {
    const askedAt = local(process);
    return () => {
      if (step.version === store.version) {
        store.version += 1;
        store.row = step.row;
        const written = { kind: "written", askedAt, ...store } as const;
        process.state = applyLease(
          process.state,
          { ...written, row: step.row },
          local(process),
        );
      } else {
        const event = read(store.row, store.version);
        process.state = applyLease(process.state, event, local(process));
      }
    };
  };
  history.forEach(({ who, what, passMs }, i) => {
    const process = processes[who] as Process;
    const step = what === "release"
      ? (now >= process.busyUntil ? releaseStep(process.state) : undefined)
      : nextLeaseStep(process.state, local(process));
    if (what === "read") {
      const event = read(store.row, store.version);
      process.state = applyLease(process.state, event, local(process));
    }
    const writes = ["step", "release", "slow-write"].includes(what);
    if (writes && step?.kind === "write") {
      const done = commit(process, step);
      if (what === "slow-write") now += passMs;
      land();
      done();
    }
    if (what === "order" && mayOrder(process.state, local(process))) {
      const at = now + (i * 37) % ORDER_MS;
      process.busyUntil = Math.max(process.busyUntil, at);
      underWay.push({ at, fence: fenceOf(process.state) });
    }
    const holders = processes.filter((one) => mayOrder(one.state, local(one)));
    assert.ok(holders.length <= 1, "two processes may order");
    now += passMs;
    land();
  });
  now += ORDER_MS;
  land();
  return engine;
}

const isSorted = (values: readonly number[]) =>
  values.every((value, i) => i === 0 || value >= (values[i - 1] as number));

// Fails when validFrom() counts from the answer in place of the question, when
// a taker counts from the row's own time, and when fencing is not checked.
test("applyLease() keeps orders in the order of their fencing numbers", () => {
  fc.assert(
    fc.property(moves, (history) => {
      assert.ok(isSorted(play(history, true).applied));
    }),
    { seed: SEED, numRuns: 1_000 },
  );
});

// Fails when lapseMs() leaves out the orders that are under way.
test("applyLease() keeps that order where fencing is ignored", () => {
  fc.assert(
    fc.property(moves, (history) => {
      assert.ok(isSorted(play(history, false).applied));
    }),
    { seed: SEED, numRuns: 1_000 },
  );
});
