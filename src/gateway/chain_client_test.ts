import assert from "node:assert/strict";
import { test } from "node:test";
import { Catalog, type ListedPeer } from "../serving/mod.ts";
import { catalogSpec, route } from "../serving/testing.ts";
import { SILENT_LOGGER } from "../telemetry/mod.ts";
import type { ChainResponse } from "../wire/mod.ts";
import { ChainClient } from "./chain_client.ts";
import { monotonicMs } from "../kernel/mod.ts";
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
      ownerOf: () => owners.current,
      lossSignalOf: () => new AbortController().signal,
      markFailed: () => {},
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
  const catalog = new Catalog(catalogSpec());
  const now = monotonicMs();
  const outcome = await client.run({
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
  return outcome._unsafeUnwrap();
}

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
