import assert from "node:assert/strict";
import { test } from "node:test";
import { NO_BACKUPS } from "../origins/testing.ts";
import {
  monotonicMs,
  type Random,
  seededRandom,
  sleep,
} from "../kernel/mod.ts";
import { NoticeBoard } from "../notices/mod.ts";
import {
  Catalog,
  FleetState,
  type ListedPeer,
  type StateChange,
  WHOLE_GROUP,
} from "../serving/mod.ts";
import {
  batchPool,
  catalogChange,
  catalogSpec,
  pool,
  route,
  targetChange,
} from "../serving/testing.ts";
import { Metrics, SILENT_LOGGER } from "../telemetry/mod.ts";
import { withPausedClock } from "../testing/mod.ts";
import type { ChainResponse, EntryPeerClients } from "../wire/mod.ts";
import { ChainClient } from "./chain_client.ts";
import { ChainService } from "./chain_service.ts";
import type { FleetView } from "./fleet_view.ts";
import { Peers } from "./peers.ts";
import type { CallerRequest } from "./ports.ts";
import { StageOwners } from "./stage_owners.ts";

const STAGED = route({
  stages: [{ pool: "parts", after: [], resultBytes: 1 }],
});
const POOLS = { pools: [pool("plain"), batchPool("parts")], routes: [STAGED] };
const SPEC = catalogSpec(POOLS);
const CHAIN_MS = 800;
/** Pause between the chains of one entry, in milliseconds. */
const CHAIN_PAUSE_MS = 300;

/** Delays of the messages of one entry, in milliseconds. */
interface Delay {
  readonly minMs: number;
  readonly maxMs: number;
}

const FAST: Delay = { minMs: 1, maxMs: 20 };
const SLOW: Delay = { minMs: 50, maxMs: 700 };

type Mode = "up" | "refusing" | "silent";

/** One entry of a simulated fleet. */
class SimEntry {
  readonly peers: Peers;
  readonly client: ChainClient;
  readonly service: ChainService;
  mode: Mode = "up";
  /** Chains that this entry ran for others or itself. */
  ran = 0;
  served = 0;
  readonly refusals: string[] = [];

  constructor(
    fleet: SimFleet,
    readonly self: ListedPeer,
    readonly delay: Delay,
  ) {
    const clients = fleet.clientsOf(this) as unknown as EntryPeerClients;
    this.peers = new Peers({
      self,
      seeds: [],
      view: fleet.view,
      clients,
      log: SILENT_LOGGER,
      metrics: new Metrics(),
      board: new NoticeBoard({ metrics: new Metrics() }),
      backups: () => NO_BACKUPS,
    });
    const runner = {
      run: async (): Promise<ChainResponse> => {
        if (this.mode === "up") this.ran += 1;
        await sleep(CHAIN_MS);
        return { kind: "done", results: [] };
      },
      release: () => {},
    };
    this.service = new ChainService({
      runner,
      owners: this.peers.owners,
      catalog: () => fleet.view.state.catalog,
      readCatalog: () => Promise.resolve(true),
      isLeaving: () => false,
    });
    this.client = new ChainClient({
      runner,
      peers: this.peers,
      clients,
      targets: { freeResults: () => Promise.resolve() },
      log: SILENT_LOGGER,
    });
  }

  async load(endAt: number, random: Random): Promise<void> {
    const chains: Promise<void>[] = [];
    while (monotonicMs() < endAt && this.mode === "up") {
      chains.push(this.#runChain());
      await sleep(CHAIN_PAUSE_MS * (0.5 + random()));
    }
    await Promise.all(chains);
  }

  async #runChain(): Promise<void> {
    const now = monotonicMs();
    const outcome = await this.client.run({
      req: { id: "r", pieces: [1] } as unknown as CallerRequest,
      route: STAGED,
      catalog: new Catalog(SPEC),
      priority: 0,
      dueAt: now + 4_000,
      expiresAt: now + 8_000,
      sizeRank: 1,
      signal: new AbortController().signal,
    });
    if (outcome.isOk()) this.served += 1;
    else this.refusals.push(outcome.error.reason);
  }
}

/** Entries that exchange state and chains over links with delays. */
class SimFleet {
  readonly entries: SimEntry[];
  readonly view: FleetView;
  readonly #random: Random;

  constructor(
    delays: readonly Delay[],
    seed: number,
    opts: { capacity?: number; targets?: number } = {},
  ) {
    this.#random = seededRandom(seed);
    const peers = delays.map((_, i): ListedPeer => ({
      name: `e${i}`,
      url: `http://e${i}`,
      failureDomain: `d${i % 3}`,
      capacity: opts.capacity,
    }));
    const targets = Array.from(
      { length: opts.targets ?? 0 },
      (_, i) => targetChange(`t${i}`, 100 + i, { pool: "parts" }),
    );
    const listed = peers.map((peer, i): StateChange => ({
      kind: "peer",
      version: i + 1,
      name: peer.name,
      peer,
    }));
    const state = new FleetState()
      .apply([catalogChange(POOLS), ...listed, ...targets], 0);
    this.view = {
      state,
      targetsAgeMs: 0,
      storeAgeMs: 0,
      unrecordedBuilds: [],
      versionOf: () => 0,
      merge: () => {},
    } as unknown as FleetView;
    this.entries = peers.map((peer, i) =>
      new SimEntry(this, peer, delays[i] ?? FAST)
    );
  }

  /** Names of the entries that have run chains. */
  get owners(): readonly string[] {
    return this.entries.filter(({ ran }) => ran > 0)
      .map(({ self }) => self.name);
  }

  get refusals(): readonly string[] {
    return this.entries.flatMap(({ refusals }) => refusals);
  }

  clientsOf(from: SimEntry): Pick<EntryPeerClients, "sync" | "runChain"> {
    return {
      sync: (url, request, timeoutMs) =>
        this.#call(from, url, {
          signal: AbortSignal.any([]),
          timeoutMs,
          run: (to) => Promise.resolve(to.peers.handleSync(request)),
        }),
      runChain: (url, chain, signal) =>
        this.#call(from, url, {
          signal,
          run: (to) => to.service.run(chain, signal),
        }),
    };
  }

  /** Runs all entries under load. */
  async run(ms: number): Promise<void> {
    const abort = new AbortController();
    this.entries.filter(({ mode }) => mode === "up")
      .forEach(({ peers }) => peers.run(abort.signal));
    const endAt = monotonicMs() + ms;
    await Promise.all(
      this.entries.map((entry) => entry.load(endAt, this.#random)),
    );
    abort.abort();
  }

  async #call<T>(
    from: SimEntry,
    url: string,
    opts: {
      signal: AbortSignal;
      timeoutMs?: number;
      run: (to: SimEntry) => Promise<T>;
    },
  ): Promise<T> {
    const to = this.entries.find(({ self }) => self.url === url);
    if (!to) throw new Error("unknown peer");
    const call = async () => {
      await this.#transfer(from, to);
      const response = await opts.run(to);
      await this.#transfer(to, from);
      return response;
    };
    const { promise, reject } = rejectable();
    opts.signal.addEventListener("abort", () => reject(new Error("aborted")));
    const timer = opts.timeoutMs === undefined
      ? undefined
      : setTimeout(() => reject(new Error("timeout")), opts.timeoutMs);
    try {
      return await Promise.race([call(), promise]);
    } finally {
      clearTimeout(timer);
    }
  }

  async #transfer(from: SimEntry, to: SimEntry): Promise<void> {
    const [a, b] = [from, to].map(({ delay }) =>
      delay.minMs + this.#random() * (delay.maxMs - delay.minMs)
    );
    await sleep(((a ?? 0) + (b ?? 0)) / 2);
    if (to.mode === "refusing" || from.mode === "refusing") {
      throw new Error("refused");
    }
    if (to.mode === "silent" || from.mode === "silent") {
      await new Promise(() => {});
    }
  }
}

function rejectable() {
  let reject: (reason: unknown) => void = () => {};
  const promise = new Promise<never>((_, settle) => reject = settle);
  promise.catch(() => {});
  return { promise, reject };
}

function delaysOf(count: number, slow: (i: number) => boolean): Delay[] {
  return Array.from({ length: count }, (_, i) => slow(i) ? SLOW : FAST);
}

[3, 20, 70].forEach((count) =>
  [
    { title: "fast", slow: () => false },
    { title: "with a slow owner", slow: (i: number) => i === 0 },
    { title: "with slow ones", slow: (i: number) => i % 3 === 0 },
    { title: "all slow", slow: () => true },
  ].forEach(({ title, slow }) =>
    test(`load makes no second owner among ${count} entries, ${title}`, () =>
      withPausedClock(async () => {
        const fleet = new SimFleet(delaysOf(count, slow), count);
        await fleet.run(8_000);
        assert.deepEqual(fleet.owners, ["e0"]);
        assert.deepEqual(fleet.refusals, []);
      }, { seed: count }))
  )
);

(["refusing", "silent"] as const).forEach((mode) =>
  test(`one entry takes over from owners that are ${mode}`, () =>
    withPausedClock(async () => {
      const fleet = new SimFleet(delaysOf(20, (i) => i % 4 === 3), 7);
      const [first, second] = fleet.entries;
      if (!first || !second) throw new Error("no entries");
      setTimeout(() => first.mode = second.mode = mode, 2_000);
      await fleet.run(12_000);
      assert.deepEqual(fleet.owners, ["e0", "e2"]);
      const served = fleet.entries.reduce((sum, { served }) => sum + served, 0);
      const refused = fleet.refusals.length;
      assert.ok(refused < served / 5, `${refused} refused, ${served} served`);
    }, { seed: 7 }))
);

/** Fleet whose entries can each carry a small share of the stages. */
function shardedFleet(slow: (i: number) => boolean): SimFleet {
  return new SimFleet(delaysOf(20, slow), 9, { capacity: 0.1, targets: 12 });
}

[
  { title: "fast", slow: () => false },
  { title: "with slow ones", slow: (i: number) => i % 3 === 0 },
].forEach(({ title, slow }) =>
  test(`each share has one owner, ${title}`, () =>
    withPausedClock(async () => {
      const fleet = shardedFleet(slow);
      const count = fleet.entries[0]?.peers.owners.shardCount("parts") ?? 0;
      assert.ok(count > 2, `${count} shares`);
      await fleet.run(8_000);
      const names = fleet.entries.slice(0, count).map(({ self }) => self.name);
      assert.deepEqual(fleet.owners, names);
      assert.deepEqual(fleet.refusals, []);
    }, { seed: 9 }))
);

test("the loss of an owner moves its share only", () =>
  withPausedClock(async () => {
    const fleet = shardedFleet(() => false);
    const [lost, asked] = fleet.entries;
    if (!lost || !asked) throw new Error("no entries");
    const { owners } = asked.peers;
    const count = owners.shardCount("parts");
    const ownersNow = () =>
      Array.from(
        { length: count },
        (_, index) => owners.ownerOf("parts", { index, count })?.name,
      );
    const before = ownersNow();
    setTimeout(() => lost.mode = "silent", 1_000);
    await fleet.run(6_000);
    const after = ownersNow();
    const spare = fleet.entries[count]?.self.name;
    assert.deepEqual(after, [spare, ...before.slice(1)]);
    const served = fleet.entries.reduce((sum, { served }) => sum + served, 0);
    assert.ok(fleet.refusals.length < served / 10);
  }, { seed: 9 }));

test("the most capable of the usable entries owns the stages", () => {
  const peers = [1, 4, 4, 2].map((capacity, i): ListedPeer => ({
    name: `e${i}`,
    url: `http://e${i}`,
    failureDomain: "d1",
    capacity,
  }));
  const lost = new Set<string>();
  const [self] = peers;
  if (!self) throw new Error("no entries");
  const owners = new StageOwners({
    self,
    entries: () => peers,
    isUsable: ({ name }) => !lost.has(name),
    state: () => new FleetState().apply([catalogChange(POOLS)], 0),
    log: SILENT_LOGGER,
  });
  const owner = () => owners.ownerOf("parts", WHOLE_GROUP)?.name;
  assert.equal(owner(), "e1");
  lost.add("e1");
  assert.equal(owner(), "e2");
  lost.add("e2").add("e3");
  assert.equal(owner(), undefined);
});

test("StageOwners.inspect() names the owners of all shares and logs no change of owner", () => {
  const peers = [1, 2, 3].map((i): ListedPeer => ({
    name: `e${i}`,
    url: `http://e${i}`,
    failureDomain: "d1",
    capacity: 0.1,
  }));
  const [self] = peers;
  if (!self) throw new Error("no entries");
  const targets = [1, 2].map((i) =>
    targetChange(`t${i}`, i, { pool: "parts" })
  );
  const logged: string[] = [];
  const lost = new Set<string>();
  const owners = new StageOwners({
    self,
    entries: () => peers,
    isUsable: ({ name }) => !lost.has(name),
    state: () => new FleetState().apply([catalogChange(POOLS), ...targets], 0),
    log: { ...SILENT_LOGGER, info: (event) => logged.push(event) },
  });
  const inspected = () => owners.inspect("parts").map(({ name }) => name);
  assert.deepEqual(inspected(), ["e1", "e2"]);
  lost.add("e1");
  assert.deepEqual(inspected(), ["e3", "e2"]);
  assert.deepEqual(logged, []);
  assert.equal(owners.shardCount("parts"), 2);
  assert.equal(owners.ownerOf("parts", { index: 0, count: 2 })?.name, "e3");
  assert.deepEqual(logged, ["stage_owner_changed"]);
});
