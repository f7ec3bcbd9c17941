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
  acceptLists,
  changeKey,
  type ChangeOutcome,
  type ChangeRecord,
  ListsSync,
  readLists,
  registerEntry,
} from "../process/mod.ts";
import { MemoryTable } from "../standin/mod.ts";
import { Metrics, SILENT_LOGGER } from "../telemetry/mod.ts";
import type { PeerClient, PeerInfo } from "../wire/mod.ts";
import { submitOrder } from "./lists.ts";

const SEED = 63;
const DOMAINS = ["north", "south", "west"];
const PER_DOMAIN = 3;
/** Time within which an order is in force or new work has ended, in ms. */
const ORDER_BOUND_MS = 5_000;
const STEP_MS = 100;
const LATENCY_MS = 2;
/** Longest time from the time-out of a commit to its effect, in ms. */
const MAX_COMMIT_DELAY_MS = 1_500;
const RECOVERY_MS = 12_000;

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

/** Simulated store, network and processes for one history of steps. */
class FleetSimulation {
  readonly table = new MemoryTable();
  readonly cutLinks = new Set<string>();
  readonly cutFromStore = new Set<string>();
  readonly paused = new Map<string, () => void>();
  readonly resumed = new Map<string, Promise<void>>();
  readonly processes = new Map<string, ListsSync>();
  readonly aborts = new Map<string, AbortController>();
  readonly acceptedAt: number[] = [];
  readonly acceptances: { marker: string; outcome: ChangeOutcome }[] = [];
  readonly random: () => number;
  /** Last time at which no process could reach the store. */
  storeUnreachableAt = -Infinity;
  outage = false;
  loseAnswers = false;

  constructor(seed: number) {
    this.random = seededRandom(seed);
  }

  /** Returns the store as reached from a domain; operators have no domain. */
  store(domain?: string, name = "operator"): Table {
    const call = <T>(run: () => ResultAsync<T, PlatformError>) =>
      new ResultAsync((async () => {
        await this.waitWhilePaused(name);
        await sleep(LATENCY_MS);
        if (this.outage || this.cutFromStore.has(domain ?? "")) {
          return await errAsync(error(PlatformErrorKind.Unavailable));
        }
        const result = await run();
        await sleep(LATENCY_MS);
        await this.waitWhilePaused(name);
        return this.loseAnswers && this.random() < 0.5
          ? await errAsync(error(PlatformErrorKind.Unanswered))
          : result;
      })());
    return {
      read: (keys) => call(() => this.table.read(keys)),
      scan: (prefix, opts) => call(() => this.table.scan(prefix, opts)),
      commit: (tx) => this.#commitDelayed(tx) ?? call(() => this.#commit(tx)),
    };
  }

  /** Returns a failed commit that takes effect later, or undefined. */
  #commitDelayed(tx: Transaction) {
    if (!this.loseAnswers || this.random() < 0.7) return undefined;
    setTimeout(
      () => void this.#commit(tx),
      MAX_COMMIT_DELAY_MS * this.random(),
    );
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
  async waitWhilePaused(name: string): Promise<void> {
    while (this.paused.has(name)) await this.resumed.get(name);
  }

  togglePause(name: string): void {
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
    const exchange: PeerClient["exchange"] = async (request, signal) => {
      await this.#transmit(from, to, signal);
      await this.waitWhilePaused(to.name);
      const sync = this.processes.get(to.name) as ListsSync;
      const response = structuredClone(
        sync.respond(structuredClone(request), sync.isConfirmed),
      );
      await this.#transmit(to, from, signal);
      await this.waitWhilePaused(from.name);
      return response;
    };
    return { exchange } as PeerClient;
  }

  async #transmit(
    from: PeerInfo,
    to: PeerInfo,
    signal?: AbortSignal,
  ): Promise<void> {
    await sleep(LATENCY_MS);
    if (signal?.aborted || this.cutLinks.has(linkOf(from.domain, to.domain))) {
      throw new Error("unreachable");
    }
  }

  /** Checks the time limit of orders in every process that is not paused. */
  check(): void {
    const now = monotonicMs();
    const storeReachable = !this.outage &&
      INFOS.some(({ name, domain }) =>
        !this.cutFromStore.has(domain) && !this.paused.has(name)
      );
    if (!storeReachable) this.storeUnreachableAt = now;
    this.processes.forEach((sync, name) => {
      if (this.paused.has(name) || !sync.isConfirmed) return;
      const acceptedAt = this.acceptedAt[sync.version + 1] ?? Infinity;
      const from = Math.max(acceptedAt, this.storeUnreachableAt);
      assert.ok(
        now - from <= ORDER_BOUND_MS,
        `${name} accepts work on version ${sync.version} after ${
          now - from
        } ms`,
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

function linkOf(a: string, b: string): string {
  return [a, b].sort().join("|");
}

function error(kind: PlatformErrorKind): PlatformError {
  return new PlatformError(kind, kind);
}

function toggle(set: Set<string>, key: string): void {
  if (!set.delete(key)) set.add(key);
}

const pick = <T>(all: readonly T[], i: number) => all[i % all.length] as T;

/** Starts one step; operators' commands continue during later steps. */
function startStep(
  sim: FleetSimulation,
  step: Step,
  i: number,
): Promise<unknown> {
  switch (step.kind) {
    case "cut":
      toggle(
        sim.cutLinks,
        linkOf(pick(DOMAINS, step.a), pick(DOMAINS, step.b)),
      );
      break;
    case "cut-store":
      toggle(sim.cutFromStore, pick(DOMAINS, step.a));
      break;
    case "isolate": {
      const name = pick(DOMAINS, step.a);
      sim.cutFromStore.add(name);
      DOMAINS.filter((other) => other !== name)
        .forEach((other) => sim.cutLinks.add(linkOf(name, other)));
      break;
    }
    case "outage":
      sim.outage = !sim.outage;
      break;
    case "lose-answers":
      sim.loseAnswers = !sim.loseAnswers;
      break;
    case "pause":
      sim.togglePause(pick(INFOS, step.process).name);
      break;
    case "restart":
      sim.start(pick(INFOS, step.process));
      break;
    case "order":
      return submitAndCheck(sim, {
        what: "domain",
        name: pick(DOMAINS, step.domain),
        out: step.out,
      });
    case "apply":
      return Promise.all(
        Array.from(
          { length: step.racing },
          (_, j) => addOrganisation(sim, `c${i}-${j}`),
        ),
      );
  }
  return Promise.resolve();
}

async function submitAndCheck(
  sim: FleetSimulation,
  order: AvailabilityOrder,
): Promise<void> {
  try {
    const result = await submitOrder(sim.store(), order, () => {});
    const { availability } = "update" in result ? result.lists : result;
    assert.ok(isInEffect(availability, order));
  } catch (err) {
    assert.equal((err as Error).name, "CommandError");
  }
}

async function addOrganisation(
  sim: FleetSimulation,
  marker: string,
): Promise<void> {
  const read = await readLists(sim.store());
  if (read.isErr()) return;
  const current: Lists = read.value;
  const added = { id: marker, plan: "p", keySha256: marker };
  const outcome = await acceptLists(sim.store(), current, {
    organisations: {
      organisations: [...current.organisations.organisations, added],
    },
  });
  sim.acceptances.push({ marker, outcome });
}

/** Runs a history, ends every fault and checks that all processes recover. */
async function runHistory(
  steps: readonly Step[],
  seed: number,
): Promise<FleetSimulation> {
  const clock = install();
  setStrictInvariants(true);
  const sim = new FleetSimulation(seed);
  try {
    const run = async (ms: number) => {
      for (let t = 0; t < ms; t += STEP_MS) {
        await clock.tickAsync(STEP_MS);
        sim.check();
      }
    };
    for (const info of INFOS) await registerEntry(sim.table, info);
    const first = { availability: EMPTY_LISTS.availability };
    const accepted = acceptLists(sim.store(), EMPTY_LISTS, first);
    await clock.tickAsync(STEP_MS);
    await accepted;
    INFOS.forEach((info) => sim.start(info));
    await run(2_000);
    const started: Promise<unknown>[] = [];
    for (const [i, step] of steps.entries()) {
      started.push(startStep(sim, step, i));
      await run(step.afterMs);
    }
    sim.cutLinks.clear();
    sim.cutFromStore.clear();
    sim.outage = false;
    sim.loseAnswers = false;
    [...sim.paused.keys()].forEach((name) => sim.togglePause(name));
    await run(RECOVERY_MS);
    await Promise.all(started);
    const newest = (await readLists(sim.table))._unsafeUnwrap();
    sim.processes.forEach((sync) => {
      assert.deepEqual(sync.current, newest);
      assert.ok(sync.isConfirmed);
    });
    await checkAcceptances(sim, newest);
    return sim;
  } finally {
    sim.aborts.forEach((abort) => abort.abort());
    setStrictInvariants(false);
    clock.uninstall();
  }
}

/** Checks that the outcomes reported to operators match the stored changes. */
async function checkAcceptances(
  sim: FleetSimulation,
  newest: Lists,
): Promise<void> {
  const keys = Array.from(
    { length: newest.version },
    (_, i) => changeKey(i + 1),
  );
  const rows = (await sim.table.read(keys))._unsafeUnwrap();
  const stored = new Set(
    rows.flatMap(({ value }) =>
      (value as ChangeRecord).delta.set.map(({ id }) => id)
    ),
  );
  sim.acceptances.forEach(({ marker, outcome }) => {
    if (outcome.kind === "unknown") return;
    assert.equal(
      stored.has(marker),
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

test("ListsSync enforces orders within the time limit in random histories", async () => {
  // Guards against a process that accepts work at any age of its confirmation,
  // against a peer's confirmation age that is ignored, or counts as zero when
  // missing (null), against a commit that is not looked up after its response
  // was lost, and against processes that query only the store, without gossip.
  await fc.assert(
    fc.asyncProperty(
      fc.array(step, { minLength: 4, maxLength: 16 }),
      fc.nat(),
      async (steps, seed) => {
        await runHistory(steps, seed);
      },
    ),
    { seed: SEED, numRuns: 30, endOnFailure: true },
  );
});

test("ListsSync stops new work in an isolated domain, also after restarts", async () => {
  // Guards against a confirmation that stays valid at any age.
  await runHistory([
    { kind: "isolate", a: 0, afterMs: 1_000 },
    { kind: "order", domain: 0, out: true, afterMs: 1_000 },
    { kind: "restart", process: 1, afterMs: 8_000 },
  ], SEED);
});

test("ListsSync stops new work in two domains that reach only each other", async () => {
  // Guards against assuming an outage without a response from every domain.
  await runHistory([
    { kind: "cut", a: 0, b: 2, afterMs: 100 },
    { kind: "cut", a: 1, b: 2, afterMs: 100 },
    { kind: "cut-store", a: 0, afterMs: 100 },
    { kind: "cut-store", a: 1, afterMs: 5_000 },
    { kind: "order", domain: 0, out: true, afterMs: 10_000 },
  ], SEED);
});

test("ListsSync receives an order through peers in a domain without the store", async () => {
  const sim = await runHistory([
    { kind: "cut-store", a: 0, afterMs: 10_000 },
    { kind: "order", domain: 0, out: true, afterMs: 3_000 },
  ], SEED);
  assert.deepEqual(
    sim.processes.get("north-0")?.current.availability.domainsOut,
    ["north"],
  );
});

test("ListsSync continues in an outage and receives the lists after a restart", async () => {
  // Guards against an outage that is never detected.
  const states: string[] = [];
  const clock = install();
  const sim = new FleetSimulation(SEED);
  try {
    for (const info of INFOS) await registerEntry(sim.table, info);
    const first = { availability: EMPTY_LISTS.availability };
    const accepted = acceptLists(sim.store(), EMPTY_LISTS, first);
    await clock.tickAsync(STEP_MS);
    await accepted;
    INFOS.forEach((info) => sim.start(info));
    await clock.tickAsync(2_000);
    sim.outage = true;
    await clock.tickAsync(60_000);
    sim.start(INFOS[0] as PeerInfo);
    states.push(sim.processes.get("north-0")?.standing ?? "");
    await clock.tickAsync(6_000);
    states.push(sim.processes.get("north-0")?.standing ?? "");
    states.push(sim.processes.get("south-1")?.standing ?? "");
    sim.cutLinks.add("north|south").add("north|west");
    await clock.tickAsync(3_000);
    states.push(sim.processes.get("north-0")?.standing ?? "");
  } finally {
    sim.aborts.forEach((abort) => abort.abort());
    clock.uninstall();
  }
  assert.deepEqual(states, ["unknown", "outage", "outage", "cut-off"]);
});
