import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { setStrictInvariants } from "../kernel/mod.ts";
import {
  applyHostList,
  assessHosts,
  type HostsState,
  type ListedHost,
} from "./hosts.ts";

const SEED = 6;
const IN_USE = new Set(["a", "b", "c", "d"]);

setStrictInvariants(true);

/** Returns one host per letter; upper case means leaving. */
const list = (text: string): ListedHost[] =>
  [...text].map((letter) => ({
    host: letter.toLowerCase(),
    isLeaving: letter !== letter.toLowerCase(),
  }));

/** Returns the avoided hosts after lists that were read at the given times. */
const avoidedAfter = (lists: readonly [number, string][], now: number) => {
  const state = lists.reduce<HostsState>(
    (before, [at, text]) => applyHostList(before, list(text), at),
    new Map(),
  );
  return [...assessHosts(state, IN_USE, now).avoided].join("");
};

test("assessHosts() avoids a leaving host at once", () => {
  assert.equal(avoidedAfter([[0, "abcd"], [1, "Abcd"]], 1), "a");
});

// Fails when READMIT_AFTER_MS is 0.
test("assessHosts() avoids a host until it is readmitted", () => {
  const lists: [number, string][] = [[0, "Abcd"], [1_000, "abcd"]];
  assert.equal(avoidedAfter(lists, 5_999), "a");
  assert.equal(avoidedAfter(lists, 6_000), "");
});

test("assessHosts() avoids a host that goes missing before it is readmitted", () => {
  const lists: [number, string][] = [[0, "Abcd"], [1_000, "abcd"], [
    2_000,
    "bcd",
  ]];
  assert.equal(avoidedAfter(lists, 2_000), "a");
  assert.equal(avoidedAfter(lists, 8_000), "a");
  assert.equal(avoidedAfter([...lists, [8_000, "bcd"]], 8_000), "a");
});

test("assessHosts() avoids a flapping host all the time", () => {
  const lists = Array.from(
    { length: 20 },
    (_, i): [number, string] => [i * 2_000, i % 2 === 0 ? "Abcd" : "abcd"],
  );
  assert.equal(avoidedAfter(lists, 40_000), "a");
});

test("assessHosts() avoids a host after MISSING_TIMEOUT_MS", () => {
  const lists: [number, string][] = [[0, "abcd"], [1_000, "bcd"]];
  assert.equal(avoidedAfter(lists, 10_999), "");
  assert.equal(avoidedAfter(lists, 11_000), "a");
});

test("assessHosts() accepts a host that was never listed", () => {
  assert.equal(avoidedAfter([[0, "abc"]], 60_000), "");
});

// Fails when missing hosts are avoided whatever their share.
test("assessHosts() does not trust a list without most hosts", () => {
  assert.equal(avoidedAfter([[0, "abcd"], [1_000, "D"]], 60_000), "d");
  assert.equal(avoidedAfter([[0, "abcd"], [1_000, ""]], 60_000), "");
});

const letters = fc.constantFrom("", "a", "A", "b", "B", "c", "C", "d", "D");
const lists = fc.array(
  fc.record({
    passMs: fc.nat({ max: 8_000 }),
    hosts: fc.array(letters, { maxLength: 4 }),
  }),
  { minLength: 1, maxLength: 40 },
);

// Fails when isAvoidedAsLeaving() is always false: the invariant throws.
test("assessHosts() keeps its invariants for any lists", () => {
  fc.assert(
    fc.property(lists, (history) => {
      let now = 0;
      let state: HostsState = new Map();
      history.forEach(({ passMs, hosts }) => {
        now += passMs;
        state = applyHostList(state, list(hosts.join("")), now);
        assessHosts(state, IN_USE, now);
      });
    }),
    { seed: SEED, numRuns: 500 },
  );
});
