import { install } from "@sinonjs/fake-timers";
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { errAsync, ResultAsync } from "neverthrow";
import {
  monotonicMs,
  seededRandom,
  setStrictInvariants,
  sleep,
} from "../kernel/mod.ts";
import { type AvailabilityOrder, isInEffect } from "../lists/mod.ts";
import { EMPTY_LISTS, type Lists } from "../model/mod.ts";
import {
  PlatformError,
  PlatformErrorKind,
  type Table,
  type Transaction,
} from "../store/mod.ts";
import {
  type Acceptance,
  acceptLists,
  changeKey,
  type ChangeRecord,
  ListsSync,
  readLists,
  registerEntry,
} from "../process/mod.ts";
import { MemoryTable } from "../standin/mod.ts";
import { Metrics, SILENT_LOGGER } from "../telemetry/mod.ts";
import type { PeerClient, PeerInfo } from "../wire/mod.ts";
import { giveOrder } from "./lists.ts";

const SEED = 63;
const DOMAINS = ["north", "south", "west"];
const PER_DOMAIN = 3;
/** Time in which an order has to be in force or new work has to end, in ms. */
const ORDER_BOUND_MS = 5_000;
const STEP_MS = 100;
const LATENCY_MS = 2;
/** Longest time between giving up on a commit and its effect, in ms. */
const LATE_COMMIT_MS = 1_500;
const HEAL_MS = 12_000;

type Fault =
  | { kind: "cut"; a: number; b: number }
  | { kind: "cut-store"; a: number }
  | { kind: "isolate"; a: number }
  | { kind: "outage" }
  | { kind: "lose-answers" }
  | { kind: "pause"; process: number }
  | { kind: "restart"; process: number };
type Step =
  & { afterMs: number }
  & (Fault | { kind: "order"; domain: number; out: boolean } | {
    kind: "apply";
    racing: number;
  });

/** Store, network and processes of one history. */
class World {
  readonly table = new MemoryTable();
  readonly cuts = new Set<string>();
  readonly storeCuts = new Set<string>();
  readonly paused = new Map<string, () => void>();
  readonly resumed = new Map<string, Promise<void>>();
  readonly processes = new Map<string, ListsSync>();
  readonly aborts = new Map<string, AbortController>();
  readonly acceptedAt: number[] = [];
  readonly acceptances: { marker: string; outcome: Acceptance }[] = [];
  readonly random: () => number;
  /** Last time at which the store could not be reached by any process. */
  unreachableAt = -Infinity;
  outage = false;
  loseAnswers = false;

  constructor(seed: number) {
    this.random = seededRandom(seed);
  }

  /** The store as it is reached from a domain; operators have none. */
  store(domain?: string, name = "operator"): Table {
    const call = <T>(run: () => ResultAsync<T, PlatformError>) =>
      new ResultAsync((async () => {
        await this.pass(name);
        await sleep(LATENCY_MS);
        if (this.outage || this.storeCuts.has(domain ?? "")) {
          return await errAsync(error(PlatformErrorKind.Unavailable));
        }
        const result = await run();
        await sleep(LATENCY_MS);
        await this.pass(name);
        return this.loseAnswers && this.random() < 0.5
          ? await errAsync(error(PlatformErrorKind.Unanswered))
          : result;
      })());
    return {
      read: (keys) => call(() => this.table.read(keys)),
      scan: (prefix, opts) => call(() => this.table.scan(prefix, opts)),
      commit: (tx) => this.#commitLate(tx) ?? call(() => this.#commit(tx)),
    };
  }

  /** A commit that takes effect after its caller has given up. */
  #commitLate(tx: Transaction) {
    if (!this.loseAnswers || this.random() < 0.7) return undefined;
    setTimeout(() => void this.#commit(tx), LATE_COMMIT_MS * this.random());
    return new ResultAsync<never, PlatformError>(
      sleep(LATENCY_MS).then(() =>
        errAsync(error(PlatformErrorKind.Unanswered))
      ),
    );
  }

  #commit(tx: Transaction) {
    return this.table.commit(tx).map((result) => {
      const head = result.committed &&
        result.rows.find(({ key }) => key === "lists/head");
      if (head) this.acceptedAt[head.version] = monotonicMs();
      return result;
    });
  }

  /** Resolves at once unless the process is paused. */
  async pass(name: string): Promise<void> {
    while (this.paused.has(name)) await this.resumed.get(name);
  }

  pause(name: string): void {
    const resume = this.paused.get(name);
    this.paused.delete(name);
    if (resume) return resume();
    this.resumed.set(
      name,
      new Promise((resolve) => this.paused.set(name, resolve)),
    );
  }

  start(info: PeerInfo): void {
    this.aborts.get(info.name)?.abort();
    const abort = new AbortController();
    const sync = new ListsSync({
      info,
      table: this.store(info.domain, info.name),
      log: SILENT_LOGGER,
      metrics: new Metrics(),
      connect: (peer) => this.client(info, peer),
      seeds: INFOS,
      random: this.random,
    });
    this.aborts.set(info.name, abort);
    this.processes.set(info.name, sync);
    sync.run(abort.signal);
  }

  client(from: PeerInfo, to: PeerInfo): PeerClient {
    const exchange: PeerClient["exchange"] = async (question, signal) => {
      await this.#travel(from, to, signal);
      await this.pass(to.name);
      const sync = this.processes.get(to.name) as ListsSync;
      const answer = structuredClone(
        sync.answer(structuredClone(question), sync.isConfirmed),
      );
      await this.#travel(to, from, signal);
      await this.pass(from.name);
      return answer;
    };
    return { exchange } as PeerClient;
  }

  async #travel(
    from: PeerInfo,
    to: PeerInfo,
    signal?: AbortSignal,
  ): Promise<void> {
    await sleep(LATENCY_MS);
    if (signal?.aborted || this.cuts.has(pair(from.domain, to.domain))) {
      throw new Error("unreachable");
    }
  }

  /** Checks every process that runs. */
  check(): void {
    const now = monotonicMs();
    const reached = !this.outage &&
      INFOS.some(({ name, domain }) =>
        !this.storeCuts.has(domain) && !this.paused.has(name)
      );
    if (!reached) this.unreachableAt = now;
    this.processes.forEach((sync, name) => {
      if (this.paused.has(name) || !sync.isConfirmed) return;
      const acceptedAt = this.acceptedAt[sync.version + 1] ?? Infinity;
      const from = Math.max(acceptedAt, this.unreachableAt);
      assert.ok(
        now - from <= ORDER_BOUND_MS,
        `${name} takes work on version ${sync.version} after ${now - from} ms`,
      );
    });
  }
}

const INFOS: readonly PeerInfo[] = DOMAINS.flatMap((domain) =>
  Array.from({ length: PER_DOMAIN }, (_, i) => ({
    name: `${domain}-${i}`,
    domain,
    url: `http://${domain}-${i}`,
  }))
);

function pair(a: string, b: string): string {
  return [a, b].sort().join("|");
}

function error(kind: PlatformErrorKind): PlatformError {
  return new PlatformError(kind, kind);
}

function toggle(set: Set<string>, key: string): void {
  if (!set.delete(key)) set.add(key);
}

const at = <T>(all: readonly T[], i: number) => all[i % all.length] as T;

/** Starts one step; operators' work goes on while later steps happen. */
function begin(world: World, step: Step, i: number): Promise<unknown> {
  switch (step.kind) {
    case "cut":
      toggle(world.cuts, pair(at(DOMAINS, step.a), at(DOMAINS, step.b)));
      break;
    case "cut-store":
      toggle(world.storeCuts, at(DOMAINS, step.a));
      break;
    case "isolate": {
      const name = at(DOMAINS, step.a);
      world.storeCuts.add(name);
      DOMAINS.filter((other) => other !== name)
        .forEach((other) => world.cuts.add(pair(name, other)));
      break;
    }
    case "outage":
      world.outage = !world.outage;
      break;
    case "lose-answers":
      world.loseAnswers = !world.loseAnswers;
      break;
    case "pause":
      world.pause(at(INFOS, step.process).name);
      break;
    case "restart":
      world.start(at(INFOS, step.process));
      break;
    case "order":
      return order(world, {
        what: "domain",
        name: at(DOMAINS, step.domain),
        out: step.out,
      });
    case "apply":
      return Promise.all(
        Array.from(
          { length: step.racing },
          (_, j) => apply(world, `c${i}-${j}`),
        ),
      );
  }
  return Promise.resolve();
}

async function order(world: World, one: AvailabilityOrder): Promise<void> {
  try {
    const given = await giveOrder(world.store(), one, () => {});
    const { availability } = "update" in given ? given.lists : given;
    assert.ok(isInEffect(availability, one));
  } catch (err) {
    assert.equal((err as Error).name, "CommandError");
  }
}

async function apply(world: World, marker: string): Promise<void> {
  const read = await readLists(world.store());
  if (read.isErr()) return;
  const standing: Lists = read.value;
  const added = { id: marker, plan: "p", keySha256: marker };
  const outcome = await acceptLists(world.store(), standing, {
    organisations: {
      organisations: [...standing.organisations.organisations, added],
    },
  });
  world.acceptances.push({ marker, outcome });
}

/** Runs a history, heals every fault and checks that all recover. */
async function play(steps: readonly Step[], seed: number): Promise<World> {
  const clock = install();
  setStrictInvariants(true);
  const world = new World(seed);
  try {
    const run = async (ms: number) => {
      for (let t = 0; t < ms; t += STEP_MS) {
        await clock.tickAsync(STEP_MS);
        world.check();
      }
    };
    for (const info of INFOS) await registerEntry(world.table, info);
    const first = { availability: EMPTY_LISTS.availability };
    const accepted = acceptLists(world.store(), EMPTY_LISTS, first);
    await clock.tickAsync(STEP_MS);
    await accepted;
    INFOS.forEach((info) => world.start(info));
    await run(2_000);
    const begun: Promise<unknown>[] = [];
    for (const [i, step] of steps.entries()) {
      begun.push(begin(world, step, i));
      await run(step.afterMs);
    }
    world.cuts.clear();
    world.storeCuts.clear();
    world.outage = false;
    world.loseAnswers = false;
    [...world.paused.keys()].forEach((name) => world.pause(name));
    await run(HEAL_MS);
    await Promise.all(begun);
    const newest = (await readLists(world.table))._unsafeUnwrap();
    world.processes.forEach((sync) => {
      assert.deepEqual(sync.current, newest);
      assert.ok(sync.isConfirmed);
    });
    await checkAcceptances(world, newest);
    return world;
  } finally {
    world.aborts.forEach((abort) => abort.abort());
    setStrictInvariants(false);
    clock.uninstall();
  }
}

/** What operators were told is what the store holds. */
async function checkAcceptances(world: World, newest: Lists): Promise<void> {
  const keys = Array.from(
    { length: newest.version },
    (_, i) => changeKey(i + 1),
  );
  const rows = (await world.table.read(keys))._unsafeUnwrap();
  const standing = new Set(
    rows.flatMap(({ value }) =>
      (value as ChangeRecord).delta.set.map(({ id }) => id)
    ),
  );
  world.acceptances.forEach(({ marker, outcome }) => {
    if (outcome.kind === "unknown") return;
    assert.equal(
      standing.has(marker),
      outcome.kind === "accepted",
      `${marker} was reported ${outcome.kind}`,
    );
  });
}

const index = fc.nat(8);
const step: fc.Arbitrary<Step> = fc.tuple(
  fc.integer({ min: 1, max: 60 }).map((n) => n * STEP_MS),
  fc.oneof(
    fc.record({ kind: fc.constant("cut" as const), a: index, b: index }),
    fc.record({ kind: fc.constant("cut-store" as const), a: index }),
    {
      weight: 2,
      arbitrary: fc.record({ kind: fc.constant("isolate" as const), a: index }),
    },
    fc.record({ kind: fc.constant("outage" as const) }),
    fc.record({ kind: fc.constant("lose-answers" as const) }),
    fc.record({ kind: fc.constant("pause" as const), process: index }),
    fc.record({ kind: fc.constant("restart" as const), process: index }),
    {
      weight: 3,
      arbitrary: fc.record({
        kind: fc.constant("order" as const),
        domain: index,
        out: fc.boolean(),
      }),
    },
    {
      weight: 2,
      arbitrary: fc.record({
        kind: fc.constant("apply" as const),
        racing: fc.integer({ min: 1, max: 3 }),
      }),
    },
  ),
).map(([afterMs, what]) => ({ afterMs, ...what }));

test("ListsSync keeps an order's bound through random histories", async () => {
  // Fails when a process takes work whatever the age of its confirmation
  // (`standingOf` returns Confirmed), when a peer's age is ignored or its
  // missing age (null) counts as zero, when `makerOf` is not asked after a lost
  // answer, or when gossip is off and only the store is asked.
  await fc.assert(
    fc.asyncProperty(
      fc.array(step, { minLength: 4, maxLength: 16 }),
      fc.nat(),
      async (steps, seed) => {
        await play(steps, seed);
      },
    ),
    { seed: SEED, numRuns: 30, endOnFailure: true },
  );
});

test("ListsSync stops a domain that reaches nobody, also after restarts", async () => {
  // Fails when `standingOf` returns Confirmed at any age.
  await play([
    { kind: "isolate", a: 0, afterMs: 1_000 },
    { kind: "order", domain: 0, out: true, afterMs: 1_000 },
    { kind: "restart", process: 1, afterMs: 8_000 },
  ], SEED);
});

test("ListsSync stops two domains that reach only each other", async () => {
  // Fails when an outage is assumed without hearing every domain.
  await play([
    { kind: "cut", a: 0, b: 2, afterMs: 100 },
    { kind: "cut", a: 1, b: 2, afterMs: 100 },
    { kind: "cut-store", a: 0, afterMs: 100 },
    { kind: "cut-store", a: 1, afterMs: 5_000 },
    { kind: "order", domain: 0, out: true, afterMs: 10_000 },
  ], SEED);
});

test("ListsSync learns an order through peers in a domain without the store", async () => {
  const world = await play([
    { kind: "cut-store", a: 0, afterMs: 10_000 },
    { kind: "order", domain: 0, out: true, afterMs: 3_000 },
  ], SEED);
  assert.deepEqual(
    world.processes.get("north-0")?.current.availability.domainsOut,
    ["north"],
  );
});

test("ListsSync goes on in an outage and learns the lists after a restart", async () => {
  // Fails when `isOutage` always answers no.
  const states: string[] = [];
  const clock = install();
  const world = new World(SEED);
  try {
    for (const info of INFOS) await registerEntry(world.table, info);
    const first = { availability: EMPTY_LISTS.availability };
    const accepted = acceptLists(world.store(), EMPTY_LISTS, first);
    await clock.tickAsync(STEP_MS);
    await accepted;
    INFOS.forEach((info) => world.start(info));
    await clock.tickAsync(2_000);
    world.outage = true;
    await clock.tickAsync(60_000);
    world.start(INFOS[0] as PeerInfo);
    states.push(world.processes.get("north-0")?.standing ?? "");
    await clock.tickAsync(6_000);
    states.push(world.processes.get("north-0")?.standing ?? "");
    states.push(world.processes.get("south-1")?.standing ?? "");
    world.cuts.add("north|south").add("north|west");
    await clock.tickAsync(3_000);
    states.push(world.processes.get("north-0")?.standing ?? "");
  } finally {
    world.aborts.forEach((abort) => abort.abort());
    clock.uninstall();
  }
  assert.deepEqual(states, ["unknown", "outage", "outage", "cut-off"]);
});
