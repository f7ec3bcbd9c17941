import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { BodyBudget, IncomingBody } from "./body_budget.ts";

const MIB = 1024 * 1024;
const LARGE_BYTES = 4 * MIB;

test("large bodies are refused before they arrive, and small ones are still taken", () => {
  const budget = new BodyBudget();
  const bodies = Array.from({ length: 17 }, () => new IncomingBody(budget));
  const reserved = bodies.filter((body) => body.tryReserve(LARGE_BYTES));
  assert.equal(reserved.length, 16);
  assert.ok(new IncomingBody(budget).tryReserve(1_000));
  reserved[0]?.release();
  assert.ok(new IncomingBody(budget).tryReserve(LARGE_BYTES));
});

test("a body without a stated length is refused when its bytes find no room", () => {
  const budget = new BodyBudget();
  assert.ok(new IncomingBody(budget).tryReserve(63 * MIB));
  const body = new IncomingBody(budget);
  assert.ok(body.tryAdd(Buffer.alloc(MIB)));
  assert.ok(!body.tryAdd(Buffer.alloc(1)));
});

test("a body is whole, and its memory is free again once it is released", () => {
  fc.assert(
    fc.property(
      fc.array(fc.uint8Array({ maxLength: 200_000 }), { maxLength: 20 }),
      fc.nat({ max: LARGE_BYTES }),
      (chunks, stated) => {
        const budget = new BodyBudget();
        for (let i = 0; i < 40; i++) {
          const body = new IncomingBody(budget);
          assert.ok(body.tryReserve(stated));
          chunks.forEach((chunk) => assert.ok(body.tryAdd(Buffer.from(chunk))));
          assert.deepEqual(body.take(), Buffer.concat(chunks));
          body.release();
        }
      },
    ),
    { numRuns: 20 },
  );
});
