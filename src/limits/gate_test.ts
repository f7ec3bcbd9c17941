import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { setStrictInvariants } from "../kernel/mod.ts";
import { Priority } from "../model/mod.ts";
import { AGEING_MS, type GateCall } from "./fair_queue.ts";
import { applyGate, createGate } from "./gate.ts";
import type {
  CallOutcome,
  GateConfig,
  GateEffect,
  GateEvent,
  GateState,
} from "./gate_state.ts";

setStrictInvariants(true);

const CFG: GateConfig = {
  coldLimit: 2,
  maxLimit: 8,
  minSuccesses: 4,
  maxQueued: 6,
  streamsProgress: false,
};

/** Applies events to a gate and collects the effects. */
class Driver {
  state: GateState;
  now = 0;
  readonly started: string[] = [];
  readonly refused: string[] = [];

  constructor(cfg: Partial<GateConfig> = {}) {
    this.state = createGate({ ...CFG, ...cfg }, 0);
  }

  apply(event: GateEvent): readonly GateEffect[] {
    const { state, effects } = applyGate(this.state, event, this.now);
    this.state = state;
    effects.forEach(({ kind, callId }) =>
      (kind === "start" ? this.started : this.refused).push(callId)
    );
    return effects;
  }

  arrive(callId: string, opts: Partial<GateCall> = {}): void {
    this.apply({ kind: "arrive", call: callOf(callId, this.now, opts) });
  }

  finish(callId: string, outcome: CallOutcome = ok()): void {
    this.apply({ kind: "finish", callId, outcome });
  }

  /** Makes the target warm and records service times of the work class. */
  warmUp(serviceMs = 10): void {
    this.now += 1;
    this.apply({ kind: "report", sampledAt: this.now, cold: false });
    for (let i = 0; i < 12; i += 1) {
      this.arrive(`w${i}a`);
      this.arrive(`w${i}b`);
      this.now += serviceMs;
      [...this.state.running.keys()].forEach((id) => {
        this.apply({ kind: "progress", callId: id, cold: false });
        this.finish(id, ok(serviceMs));
      });
    }
    this.started.length = 0;
    this.refused.length = 0;
  }
}

function callOf(
  callId: string,
  now: number,
  opts: Partial<GateCall> = {},
): GateCall {
  return {
    callId,
    organisation: "a",
    weight: 1,
    priority: Priority.Interactive,
    workClass: "p/s",
    arrivedAt: now,
    deadlineAt: now + 4_000,
    ...opts,
  };
}

function ok(serviceMs = 10): CallOutcome {
  return { kind: "ok", serviceMs };
}

test("applyGate() starts no more calls than a cold target can sustain", () => {
  const gate = new Driver();
  ["1", "2", "3"].forEach((id) => gate.arrive(id));
  assert.deepEqual(gate.started, ["1", "2"]);
});

test("applyGate() starts calls by deadline within an organisation", () => {
  const gate = new Driver();
  ["1", "2"].forEach((id) => gate.arrive(id));
  gate.arrive("late", { deadlineAt: 3_000 });
  gate.arrive("soon", { deadlineAt: 1_000 });
  gate.finish("1");
  assert.equal(gate.started.at(-1), "soon");
});

test("applyGate() refuses at once a call that cannot meet its deadline", () => {
  // Fails when cannotMeetDeadline() is always false.
  const gate = new Driver();
  gate.warmUp(100);
  gate.arrive("unmeetable", { deadlineAt: gate.now + 50 });
  assert.deepEqual(gate.refused, ["unmeetable"]);
});

test("applyGate() starts calls of a class again once its estimate is stale", () => {
  // Fails when estimates do not decay: calls would be refused for ever after a
  // slow phase.
  const gate = new Driver();
  gate.warmUp(1_000);
  gate.now += 30_000;
  gate.arrive("probe", { deadlineAt: gate.now + 300 });
  assert.deepEqual(gate.started, ["probe"]);
});

test("applyGate() sheds from the organisation with the longest queue", () => {
  // Fails when onArrival() refuses the arriving call instead.
  const gate = new Driver();
  for (let i = 0; i < 8; i += 1) {
    gate.arrive(`g${i}`, { organisation: "greedy" });
  }
  gate.arrive("m", { organisation: "modest" });
  assert.equal(gate.refused.length, 1);
  assert.ok(gate.refused[0]?.startsWith("g"));
});

test("applyGate() keeps an abandoned call's slot until the target detects it", () => {
  // Fails when holdSlot() frees the slot at once.
  const gate = new Driver();
  ["1", "2", "3"].forEach((id) => gate.arrive(id));
  gate.finish("1", { kind: "abandoned" });
  assert.deepEqual(gate.started, ["1", "2"]);
  gate.now += 200;
  gate.apply({ kind: "tick" });
  assert.deepEqual(gate.started, ["1", "2", "3"]);
});

test("applyGate() prefers interactive calls without starving batch calls", () => {
  // Fails when isUrgent() ignores the age of a call.
  const gate = new Driver({ coldLimit: 1, maxLimit: 1 });
  gate.arrive("first");
  gate.arrive("batch", { organisation: "b", priority: Priority.Batch });
  let previous = "first";
  for (let i = 0; i < 200 && !gate.started.includes("batch"); i += 1) {
    gate.arrive(`i${i}`);
    gate.now += 10;
    gate.finish(previous);
    previous = gate.started.at(-1) ?? "";
  }
  assert.ok(gate.started.includes("i0"));
  assert.ok(gate.started.includes("batch"));
  assert.ok(gate.now <= AGEING_MS + 20);
});

test("applyGate() gives aged batch calls a fifth beside interactive ones", () => {
  // Fails when flowWeight() or flowKey() ignores the priority.
  const gate = new Driver({ coldLimit: 1, maxLimit: 1, maxQueued: 60 });
  const deadlineAt = 900_000;
  for (let i = 0; i < 30; i += 1) {
    gate.arrive(`b${i}`, { priority: Priority.Batch, deadlineAt: 10_000 });
  }
  gate.now = 2 * AGEING_MS;
  for (let i = 0; i < 100; i += 1) {
    gate.arrive(`i${i}`, { deadlineAt });
    const running = [...gate.state.running.keys()][0] ?? "";
    gate.now += 10;
    gate.finish(running);
  }
  const batch = gate.started.filter((id) => id.startsWith("b")).length;
  assert.ok(batch >= 18 && batch <= 24, `batch=${batch}`);
});

test("applyGate() sheds batch calls first when the queue is full", () => {
  // Fails when callToShed() considers deadlines only.
  const gate = new Driver();
  const batch = { priority: Priority.Batch, deadlineAt: 1_000 };
  for (let i = 0; i < 8; i += 1) gate.arrive(`b${i}`, batch);
  gate.arrive("i");
  assert.equal(gate.refused.length, 1);
  assert.ok(gate.refused[0]?.startsWith("b"));
});

test("applyGate() shares a busy target by weight and lends an idle share", () => {
  // Fails when startTime() ignores finish times (first come, first served).
  const gate = new Driver({ coldLimit: 1, maxLimit: 1, maxQueued: 40 });
  const weights = { heavy: 3, light: 1 };
  const count = (organisation: string, from = 0) =>
    gate.started.slice(from).filter((id) => id.startsWith(organisation)).length;
  const drive = (organisations: readonly (keyof typeof weights)[]) => {
    for (let i = 0; i < 80; i += 1) {
      organisations.forEach((organisation) =>
        gate.arrive(`${organisation}-${gate.now}`, {
          organisation,
          weight: weights[organisation],
        })
      );
      const running = [...gate.state.running.keys()][0] ?? "";
      gate.now += 10;
      gate.finish(running);
    }
  };
  drive(["light"]);
  assert.ok(count("light") >= 80);
  const from = gate.started.length;
  drive(["light", "heavy"]);
  const ratio = count("heavy", from) / count("light", from);
  assert.ok(ratio > 2.5 && ratio < 3.5, `ratio=${ratio}`);
});

/** A target that turns cold without notice and loses the calls in flight. */
class SilentTarget {
  readonly coldCapacity: number;
  inHand = new Set<string>();
  lost = new Set<string>();
  cold = false;
  overfills = 0;

  constructor(coldCapacity: number) {
    this.coldCapacity = coldCapacity;
  }

  receive(callId: string): void {
    this.inHand.add(callId);
    if (this.cold && this.inHand.size > this.coldCapacity) this.overfills += 1;
  }

  turnCold(): void {
    this.cold = true;
    this.lost = new Set([...this.lost, ...this.inHand]);
    this.inHand = new Set();
  }
}

const stepArb = fc.record({
  waitMs: fc.integer({ min: 0, max: 40 }),
  arrivals: fc.integer({ min: 0, max: 4 }),
  finishes: fc.integer({ min: 0, max: 3 }),
  signs: fc.integer({ min: 0, max: 4 }),
  turnCold: fc.nat({ max: 30 }).map((n) => n === 0),
  slow: fc.nat({ max: 20 }).map((n) => n === 0),
  fail: fc.nat({ max: 20 }).map((n) => n === 0),
});

test("applyGate() never overloads a target that turns cold without notice", () => {
  // Fails when freeSlots() ignores the calls without progress.
  fc.assert(
    fc.property(fc.array(stepArb, { maxLength: 150 }), (steps) => {
      const gate = new Driver({ streamsProgress: true, maxLimit: 16 });
      const target = new SilentTarget(CFG.coldLimit);
      gate.warmUp();
      let delivered = 0;
      const deliverStarted = () => {
        gate.started.slice(delivered).forEach((id) => target.receive(id));
        delivered = gate.started.length;
      };
      steps.forEach((step, i) => {
        gate.now += step.waitMs;
        gate.apply({ kind: "tick" });
        deliverStarted();
        if (step.turnCold) target.turnCold();
        for (let n = 0; n < step.arrivals; n += 1) gate.arrive(`${i}-${n}`);
        deliverStarted();
        [...target.inHand].filter((id) =>
          !gate.state.running.get(id)?.progressSeen
        )
          .slice(0, target.cold ? 0 : step.signs)
          .forEach((callId) => {
            gate.apply({ kind: "progress", callId, cold: false });
            deliverStarted();
          });
        [...target.inHand].slice(0, target.cold ? 0 : step.finishes)
          .forEach((id) => {
            target.inHand.delete(id);
            gate.finish(
              id,
              step.fail
                ? { kind: "failed", serviceMs: 5, cold: false }
                : ok(step.slow ? 500 : 10),
            );
            deliverStarted();
          });
      });
      assert.equal(target.overfills, 0);
    }),
    { seed: 7, numRuns: 300 },
  );
});

/** A target whose restart breaks its calls and never reports cold start. */
class UnmarkedTarget {
  readonly inHand: string[] = [];
  done = 0;
  overfills = 0;

  get isCold(): boolean {
    return this.done < WARM_AFTER;
  }

  receive(callId: string): void {
    this.inHand.push(callId);
    if (this.isCold && this.inHand.length > CFG.coldLimit) this.overfills += 1;
  }

  finishOldest(): string | undefined {
    const callId = this.inHand.shift();
    if (callId !== undefined) this.done += 1;
    return callId;
  }

  /** Restarts the target and returns the calls that this broke. */
  restart(): readonly string[] {
    this.done = 0;
    return this.inHand.splice(0);
  }
}

const WARM_AFTER = 3;

test("applyGate() never overloads a target whose restarts only break its calls", () => {
  // Fails when detectIdle() does nothing: restarts of an idle target would go
  // undetected.
  const arb = fc.array(
    fc.record({
      waitMs: fc.integer({ min: 0, max: 300 }),
      arrivals: fc.integer({ min: 0, max: 6 }),
      signs: fc.integer({ min: 0, max: 4 }),
      finishes: fc.integer({ min: 0, max: 6 }),
      restart: fc.nat({ max: 9 }).map((n) => n === 0),
    }),
    { maxLength: 150 },
  );
  fc.assert(
    fc.property(arb, (steps) => {
      const gate = new Driver({ streamsProgress: true, maxQueued: 30 });
      const target = new UnmarkedTarget();
      let delivered = 0;
      const deliverStarted = () => {
        gate.started.slice(delivered).forEach((id) => target.receive(id));
        delivered = gate.started.length;
      };
      steps.forEach((step, i) => {
        gate.now += step.waitMs;
        gate.apply({ kind: "tick" });
        deliverStarted();
        if (step.restart) {
          target.restart().forEach((id) =>
            gate.finish(id, { kind: "failed", serviceMs: 5, cold: true })
          );
          deliverStarted();
        }
        for (let n = 0; n < step.arrivals; n += 1) {
          gate.arrive(`${i}-${n}`);
          deliverStarted();
        }
        [...target.inHand].slice(0, step.signs).forEach((callId) => {
          gate.apply({ kind: "progress", callId, cold: false });
          deliverStarted();
        });
        for (let n = 0; n < step.finishes; n += 1) {
          const callId = target.finishOldest();
          if (callId !== undefined) gate.finish(callId);
          deliverStarted();
        }
      });
      assert.equal(target.overfills, 0);
    }),
    { seed: 8, numRuns: 500 },
  );
});

test("applyGate() settles every call once and never exceeds the limit", () => {
  const arb = fc.array(
    fc.record({
      waitMs: fc.integer({ min: 0, max: 60 }),
      organisation: fc.constantFrom("a", "b", "c"),
      batch: fc.boolean(),
      deadlineMs: fc.integer({ min: 1, max: 1_500 }),
      end: fc.constantFrom(
        "ok" as const,
        "failed" as const,
        "abandoned" as const,
        "unused" as const,
        "none" as const,
      ),
      cold: fc.boolean(),
    }),
    { maxLength: 200 },
  );
  fc.assert(
    fc.property(arb, (steps) => {
      const gate = new Driver();
      steps.forEach((step, i) => {
        gate.now += step.waitMs;
        gate.apply({ kind: "tick" });
        gate.arrive(`c${i}`, {
          organisation: step.organisation,
          priority: step.batch ? Priority.Batch : Priority.Interactive,
          deadlineAt: gate.now + step.deadlineMs,
        });
        const first = [...gate.state.running.values()]
          .find(({ heldUntil }) => heldUntil === undefined);
        if (!first || step.end === "none") return;
        gate.finish(
          first.callId,
          step.end === "failed"
            ? { kind: "failed", serviceMs: 5, cold: step.cold }
            : step.end === "ok"
            ? ok(step.deadlineMs / 10)
            : { kind: step.end },
        );
      });
      const settled = [...gate.started, ...gate.refused];
      const waiting = gate.state.queue.calls.length;
      assert.equal(new Set(settled).size, settled.length);
      assert.equal(settled.length + waiting, steps.length);
    }),
    { seed: 9, numRuns: 300 },
  );
});
