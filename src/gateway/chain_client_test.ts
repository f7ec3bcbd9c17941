import assert from "node:assert/strict";
import { test } from "node:test";
import { Catalog, type ListedPeer } from "../serving/mod.ts";
import { catalogSpec, route } from "../serving/testing.ts";
import { SILENT_LOGGER } from "../telemetry/mod.ts";
import type { ChainResponse } from "../wire/mod.ts";
import { ChainClient } from "./chain_client.ts";
import { monotonicMs, sleep } from "../kernel/mod.ts";
import { withPausedClock } from "../testing/mod.ts";
import type { CallerRequest } from "./ports.ts";

const RESULTS = [{ pool: "parts", results: ["10.0.0.1:80/r1"] }];
const DONE: ChainResponse = { kind: "done", results: RESULTS };

function peer(name: string): ListedPeer {
  return { name, url: `http://${name}`, failureDomain: "d1" };
}

/** Client with scripted owners; `calls` records the calls in order. */
function setup() {
  const calls: string[] = [];
  const owners = { current: undefined as ListedPeer | undefined };
  const client = new ChainClient({
    runner: {
      run: () => Promise.resolve(DONE),
      release: () => calls.push("free self"),
    },
    peers: {
      owners: { ownerOf: () => owners.current, shardCount: () => 1 },
      awaitResponse: () => ({
        lost: new AbortController().signal,
        end: () => {},
      }),
      heard: () => {},
      markFailed: () => {},
      markLeaving: () => {},
    },
    clients: {
      runChain: (url) => {
        calls.push(`run ${url}`);
        return Promise.resolve(DONE);
      },
      freeResults: (url) => {
        calls.push(`free ${url}`);
        return Promise.resolve();
      },
    },
    targets: { freeResults: () => Promise.resolve() },
    log: SILENT_LOGGER,
  });
  return { client, calls, owners };
}

async function runChain(client: ChainClient) {
  return (await submitChain(client))._unsafeUnwrap();
}

async function submitChain(client: ChainClient) {
  const catalog = new Catalog(catalogSpec());
  const now = monotonicMs();
  return await client.run({
    req: { id: "r", pieces: [1] } as unknown as CallerRequest,
    route: route({
      stages: [{ pool: "parts", after: [], resultBytes: 1 }],
    }),
    catalog,
    priority: 0,
    dueAt: now + 1_000,
    expiresAt: now + 2_000,
    sizeRank: 1,
    signal: new AbortController().signal,
  });
}

test("chains are refused at once while their owner is known to be overloaded", () =>
  withPausedClock(async () => {
    const { client, calls } = setupOwners({
      name: "a",
      afterMs: 10,
      response: { kind: "refused", reason: "queue", waitMs: 9_000 },
    });
    await submitChain(client);
    const startedAt = monotonicMs();
    const outcome = await submitChain(client);
    assert.match(outcome._unsafeUnwrapErr().reason, /overloaded/);
    assert.equal(monotonicMs(), startedAt);
    assert.equal(calls.length, 1);
    await sleep(3_000);
    await submitChain(client);
    assert.equal(calls.length, 2);
  }, { seed: 1 }));

test("the time until an owner reads a chain counts as its wait", () =>
  withPausedClock(async () => {
    const { client, calls } = setupOwners({
      name: "a",
      afterMs: 2_500,
      response: { kind: "refused", reason: "queue", waitMs: 10, heldMs: 0 },
    });
    await submitChain(client);
    await submitChain(client);
    assert.equal(calls.length, 1);
  }, { seed: 1 }));

const REFUSED: ChainResponse = { kind: "refused", reason: "queue" };

/** How one owner responds to a chain. */
interface OwnerScript {
  readonly name: string;
  readonly afterMs: number;
  readonly response: ChainResponse;
  /** Time at which the owner becomes silent, in milliseconds. */
  readonly silentAtMs?: number;
  /** Time from which the owner accepts no chains, in milliseconds. */
  readonly leavesAtMs?: number;
}

/** Client whose owners respond by script, the next one after each failure. */
function setupOwners(...scripts: readonly OwnerScript[]) {
  const calls: string[] = [];
  const startedAt = monotonicMs();
  const silent = new Set<string>();
  const losses = new Map(scripts.map(({ name, silentAtMs }) => {
    const loss = new AbortController();
    if (silentAtMs !== undefined) {
      setTimeout(() => {
        silent.add(name);
        loss.abort();
      }, silentAtMs);
    }
    return [name, loss] as const;
  }));
  const client = new ChainClient({
    runner: {
      run: () => Promise.resolve(REFUSED),
      release: () => calls.push("free self"),
    },
    peers: {
      owners: {
        ownerOf: () => {
          const next = scripts.find(({ name }) => !silent.has(name));
          return next && peer(next.name);
        },
        shardCount: () => 1,
      },
      awaitResponse: ({ name }) => ({
        lost: losses.get(name)?.signal ?? new AbortController().signal,
        end: () => {},
      }),
      heard: () => {},
      markFailed: ({ name }) => {
        silent.add(name);
        losses.get(name)?.abort();
      },
      markLeaving: ({ name }) => silent.add(name),
    },
    clients: {
      runChain: async (url, _chain, signal) => {
        const script = scripts.find(({ name }) => url === `http://${name}`);
        const leavesAt = startedAt + (script?.leavesAtMs ?? Infinity);
        if (monotonicMs() >= leavesAt) return { kind: "leaving" };
        calls.push(`run ${url}`);
        await sleep(script?.afterMs ?? 0, signal);
        if (!signal.aborted) return script?.response ?? REFUSED;
        calls.push(`abort ${url}`);
        throw signal.reason;
      },
      freeResults: (url) => {
        calls.push(`free ${url}`);
        return Promise.resolve();
      },
    },
    targets: { freeResults: () => Promise.resolve() },
    log: SILENT_LOGGER,
  });
  return { client, calls };
}

test("a chain at an owner that is silent for a while is done though its repeat is refused", () =>
  withPausedClock(async () => {
    const { client, calls } = setupOwners(
      { name: "a", afterMs: 1_500, silentAtMs: 1_000, response: DONE },
      { name: "b", afterMs: 10, response: REFUSED },
    );
    const inputs = await runChain(client);
    inputs.release();
    assert.equal(calls.at(-1), "free http://a");
  }, { seed: 1 }));

test("a refused repeat does not wait long for an owner that stays silent", () =>
  withPausedClock(async () => {
    const { client } = setupOwners(
      { name: "a", afterMs: 60_000, silentAtMs: 1_000, response: DONE },
      { name: "b", afterMs: 10, response: REFUSED },
    );
    const startedAt = monotonicMs();
    const outcome = await submitChain(client);
    assert.equal(outcome._unsafeUnwrapErr().reason, "queue");
    assert.ok(monotonicMs() - startedAt < 2_100);
  }, { seed: 1 }));

test("the repeat of a chain ends the call to its silent owner when it is done", () =>
  withPausedClock(async () => {
    const { client, calls } = setupOwners(
      { name: "a", afterMs: 5_000, silentAtMs: 1_000, response: DONE },
      { name: "b", afterMs: 500, response: DONE },
    );
    const inputs = await runChain(client);
    await sleep(0);
    assert.deepEqual(calls, ["run http://a", "run http://b", "abort http://a"]);
    inputs.release();
    assert.equal(calls.at(-1), "free http://b");
  }, { seed: 1 }));

test("a silent owner that finishes first ends the repeat of its chain", () =>
  withPausedClock(async () => {
    const { client, calls } = setupOwners(
      { name: "a", afterMs: 1_500, silentAtMs: 1_000, response: DONE },
      { name: "b", afterMs: 5_000, response: DONE },
    );
    await runChain(client);
    await sleep(0);
    assert.deepEqual(calls, ["run http://a", "run http://b", "abort http://b"]);
  }, { seed: 1 }));

test("the chains in flight at an owner that begins to leave are not repeated", () =>
  withPausedClock(async () => {
    const { client, calls } = setupOwners(
      { name: "a", afterMs: 1_000, leavesAtMs: 500, response: DONE },
      { name: "b", afterMs: 10, response: DONE },
    );
    const first = runChain(client);
    await sleep(600);
    await runChain(client);
    await first;
    assert.deepEqual(calls, ["run http://a", "run http://b"]);
  }, { seed: 1 }));

test("a chain that its silent owner and its repeat refuse is refused", () =>
  withPausedClock(async () => {
    const { client } = setupOwners(
      { name: "a", afterMs: 1_500, silentAtMs: 1_000, response: REFUSED },
      { name: "b", afterMs: 10, response: REFUSED },
    );
    assert.equal(
      (await submitChain(client))._unsafeUnwrapErr().reason,
      "queue",
    );
  }, { seed: 1 }));

test("ChainClient releases results where their chain was run", async () => {
  const { client, calls, owners } = setup();
  owners.current = peer("a");
  const inputs = await runChain(client);
  owners.current = peer("b");
  inputs.release();
  inputs.release();
  assert.deepEqual(calls, ["run http://a", "free http://a"]);
});

test("ChainClient releases results of its own chains itself", async () => {
  const { client, calls, owners } = setup();
  const inputs = await runChain(client);
  owners.current = peer("b");
  inputs.release();
  assert.deepEqual(calls, ["free self"]);
});
