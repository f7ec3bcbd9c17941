import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { OutageRule } from "../model/mod.ts";
import {
  applyFreshness,
  type Freshness,
  type FreshnessEvent,
  FreshnessStatus,
  freshnessStatusOf,
  INITIAL_FRESHNESS,
  MAX_CONFIRMED_AGE_MS,
} from "./mod.ts";

const SEED = 62;
const DOMAINS = ["north", "south", "west"];

const after = (...events: readonly FreshnessEvent[]): Freshness =>
  events.reduce(applyFreshness, INITIAL_FRESHNESS);
const applied = (version: number) => ({ kind: "applied", version } as const);
const store = (version: number, requestedAt: number) =>
  ({ kind: "store-responded", version, requestedAt }) as const;
const storeFailed = { kind: "store-failed" } as const;
const peer = (
  domain: string,
  requestedAt: number,
  overrides = {},
): FreshnessEvent => ({
  kind: "peer-responded",
  domain,
  version: 3,
  confirmedAgeMs: 60_000,
  requestedAt,
  domains: DOMAINS,
  ...overrides,
});
const at = (
  now: number,
  state: Freshness,
  overrides: { out?: string[]; rule?: OutageRule } = {},
) =>
  freshnessStatusOf(state, {
    now,
    localDomain: "north",
    out: [],
    rule: OutageRule.EveryDomain,
    ...overrides,
  });

test("freshnessStatusOf() reports a process that reaches no other as cut off", () => {
  const state = after(applied(3), store(3, 0), storeFailed);
  assert.equal(at(MAX_CONFIRMED_AGE_MS, state), FreshnessStatus.Confirmed);
  assert.equal(at(MAX_CONFIRMED_AGE_MS + 1, state), FreshnessStatus.CutOff);
});

test("freshnessStatusOf() reports an outage while every domain agrees", () => {
  const base = [applied(3), store(3, 0), storeFailed];
  const all = after(...base, peer("south", 9_000), peer("west", 9_000));
  assert.equal(at(10_000, all), FreshnessStatus.Outage);
  assert.equal(at(11_501, all), FreshnessStatus.CutOff);
  const one = after(...base, peer("south", 9_000));
  assert.equal(at(10_000, one), FreshnessStatus.CutOff);
  assert.equal(at(10_000, one, { out: ["west"] }), FreshnessStatus.Outage);
  const rule = OutageRule.Majority;
  assert.equal(at(10_000, one, { rule }), FreshnessStatus.Outage);
  const older = after(
    ...base,
    peer("south", 9_000),
    peer("west", 9_000, { version: 2 }),
  );
  assert.equal(at(10_000, older), FreshnessStatus.CutOff);
});

test("applyFreshness() removes a domain that the store has removed", () => {
  // Fails when the domains that peers know are always added.
  const state = after(
    { kind: "domains-set", domains: DOMAINS },
    applied(3),
    storeFailed,
    { kind: "domains-listed", domains: ["north", "south"] },
    peer("south", 9_000),
  );
  assert.deepEqual([...state.domains], ["north", "south"]);
  assert.equal(at(10_000, state), FreshnessStatus.Outage);
});

test("applyFreshness() adds domains from peers while the store is out", () => {
  const state = after(applied(3), storeFailed, peer("south", 9_000));
  assert.equal(at(10_000, state), FreshnessStatus.CutOff);
  const all = after(
    applied(3),
    storeFailed,
    peer("south", 9_000),
    peer("west", 9_000),
  );
  assert.equal(at(10_000, all), FreshnessStatus.Outage);
});

test("freshnessStatusOf() is unknown before any lists are received", () => {
  const state = after(storeFailed, peer("south", 9_000), peer("west", 9_000));
  assert.equal(at(10_000, state), FreshnessStatus.Unknown);
});

test("applyFreshness() does not confirm a version older than a peer's", () => {
  const state = after(
    applied(3),
    peer("south", 9_000, {
      version: 4,
      confirmedAgeMs: 0,
    }),
  );
  assert.equal(state.confirmedAt, undefined);
});

/** One step in a history of a process, its peers and the store. */
const step = fc.record({
  afterMs: fc.nat(1_500),
  what: fc.constantFrom(
    "accept",
    "query-store",
    "lose-store",
    "query-peer",
    "pause",
  ),
  peer: fc.nat(2),
  /** Time between a request and the processing of its response. */
  transitMs: fc.oneof(fc.nat(50), fc.nat(8_000)),
});

test("applyFreshness() confirms no time after a change not in force", () => {
  // Fails when a peer's age counts from the response, when a confirmation of a
  // newer version is accepted, or when an unknown age counts as zero.
  fc.assert(
    fc.property(fc.array(step, { maxLength: 80 }), (steps) => {
      const acceptedAt = [0];
      const states = DOMAINS.map(() => INITIAL_FRESHNESS);
      let now = 0;
      const newestAt = (time: number) =>
        acceptedAt.findLastIndex((accepted) => accepted <= time) + 1;
      steps.forEach(({ afterMs, what, peer, transitMs }, i) => {
        now += afterMs;
        const self = i % DOMAINS.length;
        const requestedAt = now;
        const respondedAt = now + transitMs / 2;
        const state = states[self] as Freshness;
        if (what === "accept") acceptedAt.push(now);
        if (what === "lose-store") states[self] = after(storeFailed);
        if (what === "pause") now += 10_000;
        if (what === "query-store") {
          now = requestedAt + transitMs;
          const version = newestAt(respondedAt);
          states[self] = [applied(version), store(version, requestedAt)]
            .reduce(applyFreshness, state);
        }
        if (what === "query-peer") {
          const other = states[peer] as Freshness;
          const age = other.confirmedAt === undefined
            ? Infinity
            : respondedAt - other.confirmedAt;
          now = requestedAt + transitMs;
          states[self] = [
            // Half of the responses carry only the confirmation, not the lists.
            ...(transitMs % 2 === 0 ? [applied(other.version)] : []),
            {
              kind: "peer-responded" as const,
              domain: DOMAINS[peer] as string,
              version: other.version,
              confirmedAgeMs: age,
              requestedAt,
              domains: DOMAINS,
            },
          ].reduce(applyFreshness, state);
        }
        states.forEach(({ confirmedAt, version }) =>
          assert.ok(
            confirmedAt === undefined || newestAt(confirmedAt) <= version,
          )
        );
      });
    }),
    { seed: SEED, numRuns: 2_000 },
  );
});
