import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  decideRegistration,
  type Stamp,
  unregistered,
} from "./registration.ts";

const SEED = 6;

const stamp = (instance: string, incarnation: number): Stamp => ({
  instance,
  incarnation,
  leaving: false,
});

test("decideRegistration() replaces the registered process", () => {
  const step = decideRegistration(unregistered("new"), stamp("old", 4));
  assert.deepEqual(step, { kind: "write", stamp: stamp("new", 5) });
});

test("decideRegistration() yields to a newer process", () => {
  const step = decideRegistration(stamp("old", 4), stamp("new", 5));
  assert.deepEqual(step, { kind: "yield" });
});

test("decideRegistration() writes its row again when it is missing", () => {
  const step = decideRegistration(stamp("own", 4), undefined);
  assert.deepEqual(step, { kind: "write", stamp: stamp("own", 5) });
});

// Fails when hasNewerProcess is always false: an old process that resumes and
// its replacement then overwrite each other's registration without end.
test("decideRegistration() converges on one process in any order", () => {
  const orders = fc.array(fc.nat({ max: 3 }), { minLength: 1, maxLength: 60 });
  fc.assert(
    fc.property(orders, (order) => {
      const own = new Map<number, Stamp>();
      const rounds = [...order, 0, 1, 2, 3, 0, 1, 2, 3];
      let row: Stamp | undefined;
      let writes = 0;
      rounds.forEach((process, round) => {
        const mine = own.get(process) ?? unregistered(`p${process}`);
        const step = decideRegistration(mine, row);
        if (step.kind === "write") row = step.stamp;
        if (step.kind === "write") own.set(process, step.stamp);
        else own.set(process, mine);
        if (step.kind === "write" && round >= order.length + 4) writes += 1;
      });
      assert.equal(writes, 0);
    }),
    { seed: SEED, numRuns: 500 },
  );
});
