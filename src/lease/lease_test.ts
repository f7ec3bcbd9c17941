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
  maxOrderMs: ORDER_MS,
  checksFencing,
});

const heldBy = (holder: string, fence = 1): LeaseRow => ({
  holder,
  fence,
  durationMs: DURATION_MS,
  released: false,
});

const read = (row: LeaseRow | null, version: number) =>
  ({ kind: "read", row, version }) as const;

test("nextLeaseStep() takes a lease that no process has held", () => {
  const state = applyLease(createLease(cfg("a")), read(null, 0), 0);
  const step = nextLeaseStep(state, 0);
  assert.deepEqual(step, { kind: "write", version: 0, row: heldBy("a") });
});

test("nextLeaseStep() waits for the lapse, counted from first sight", () => {
  const state = applyLease(createLease(cfg("a")), read(heldBy("b"), 3), 500);
  assert.equal(nextLeaseStep(state, 1_500).kind, "wait");
  assert.equal(nextLeaseStep(state, 1_521).kind, "write");
});

// Fails when lapseMs() ignores orders in flight.
test("nextLeaseStep() waits longer when the receiver ignores fencing", () => {
  const initial = createLease(cfg("a", false));
  const state = applyLease(initial, read(heldBy("b"), 3), 0);
  assert.equal(nextLeaseStep(state, 1_021).kind, "wait");
  assert.equal(nextLeaseStep(state, 1_327).kind, "write");
});

test("nextLeaseStep() takes a released lease immediately", () => {
  const row = { ...heldBy("b"), released: true };
  const state = applyLease(createLease(cfg("a")), read(row, 3), 0);
  const step = nextLeaseStep(state, 0);
  assert.deepEqual(step, { kind: "write", version: 3, row: heldBy("a", 2) });
});

test("mayOrder() returns false before the lease lapses for others", () => {
  const event = {
    kind: "written",
    row: heldBy("a"),
    version: 1,
    requestedAt: 0,
  };
  const state = applyLease(createLease(cfg("a")), event as never, 400);
  assert.equal(mayOrder(state, 979), true);
  assert.equal(mayOrder(state, 981), false);
});

/** A process in a simulated history; its clock runs at `rate`. */
interface Process {
  readonly rate: number;
  state: LeaseState;
  /** Time of the response to its last order. */
  busyUntil: number;
}

interface Engine {
  fence: number;
  applied: number[];
}

const action = fc.record({
  who: fc.nat({ max: 2 }),
  what: fc.constantFrom("read", "step", "order", "release", "slow-write"),
  elapsedMs: fc.nat({ max: 700 }),
});

const actions = fc.array(action, { minLength: 20, maxLength: 250 });

/** Returns the engine with the fencing numbers in the order of their effect. */
function simulate(
  history: readonly { who: number; what: string; elapsedMs: number }[],
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
  const inFlight: { at: number; fence: number }[] = [];
  let now = 0;
  const deliver = () => {
    const arrived = inFlight.filter(({ at }) => at <= now)
      .toSorted((a, b) => a.at - b.at);
    arrived.forEach((order) => {
      inFlight.splice(inFlight.indexOf(order), 1);
      if (checksFencing && order.fence < engine.fence) return;
      engine.fence = order.fence;
      engine.applied.push(order.fence);
    });
  };
  const localTime = (process: Process) => now * process.rate;
  const beginWrite = (
    process: Process,
    step: { version: number; row: LeaseRow },
  ) => {
    const requestedAt = localTime(process);
    return () => {
      if (step.version === store.version) {
        store.version += 1;
        store.row = step.row;
        const written = {
          kind: "written",
          requestedAt,
          ...store,
        } as const;
        process.state = applyLease(
          process.state,
          { ...written, row: step.row },
          localTime(process),
        );
      } else {
        const event = read(store.row, store.version);
        process.state = applyLease(process.state, event, localTime(process));
      }
    };
  };
  history.forEach(({ who, what, elapsedMs }, i) => {
    const process = processes[who] as Process;
    const step = what === "release"
      ? (now >= process.busyUntil ? releaseStep(process.state) : undefined)
      : nextLeaseStep(process.state, localTime(process));
    if (what === "read") {
      const event = read(store.row, store.version);
      process.state = applyLease(process.state, event, localTime(process));
    }
    const isWrite = ["step", "release", "slow-write"].includes(what);
    if (isWrite && step?.kind === "write") {
      const finishWrite = beginWrite(process, step);
      if (what === "slow-write") now += elapsedMs;
      deliver();
      finishWrite();
    }
    if (what === "order" && mayOrder(process.state, localTime(process))) {
      const at = now + (i * 37) % ORDER_MS;
      process.busyUntil = Math.max(process.busyUntil, at);
      inFlight.push({ at, fence: fenceOf(process.state) });
    }
    const holders = processes.filter((one) =>
      mayOrder(one.state, localTime(one))
    );
    assert.ok(holders.length <= 1, "two processes may send orders");
    now += elapsedMs;
    deliver();
  });
  now += ORDER_MS;
  deliver();
  return engine;
}

const isSorted = (values: readonly number[]) =>
  values.every((value, i) => i === 0 || value >= (values[i - 1] as number));

// Fails when validUntilOf() counts from the response instead of the request,
// when another process counts the lapse from the row's own time instead of the
// time at which it first saw the row, and when fencing is not checked.
test("applyLease() keeps orders in sequence of their fencing numbers", () => {
  fc.assert(
    fc.property(actions, (history) => {
      assert.ok(isSorted(simulate(history, true).applied));
    }),
    { seed: SEED, numRuns: 1_000 },
  );
});

// Fails when lapseMs() ignores orders in flight.
test("applyLease() keeps orders in sequence when fencing is ignored", () => {
  fc.assert(
    fc.property(actions, (history) => {
      assert.ok(isSorted(simulate(history, false).applied));
    }),
    { seed: SEED, numRuns: 1_000 },
  );
});
