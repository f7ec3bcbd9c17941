import assert from "node:assert/strict";
import { test } from "node:test";
import { Catalog } from "../serving/mod.ts";
import { batchPool, catalogSpec, route } from "../serving/testing.ts";
import type { ChainResponse, StageChain } from "../wire/mod.ts";
import { ChainService } from "./chain_service.ts";

/** Catalog of a version whose one route has a stage at a pool. */
function catalogOf(version: number, pool: string): Catalog {
  const stages = [{ pool, after: [], resultBytes: 1 }];
  return new Catalog(
    catalogSpec({
      version,
      routes: [route({ stages })],
      pools: [batchPool(pool)],
    }),
  );
}

const CHAIN: StageChain = {
  requestId: "r",
  priority: 0,
  dueMs: 1_000,
  expiresMs: 1_000,
  sizeRank: 1,
  stages: [{ pool: "added", after: [], resultBytes: 1, pieces: 1 }],
  mayDecline: true,
  catalog: 2,
};

/** Owner at version 1, which finds `read` when it reads the configuration. */
function ownerWith(read?: Catalog) {
  const runs: StageChain[] = [];
  let catalog = catalogOf(1, "old");
  const service = new ChainService({
    runner: {
      run: (chain) => {
        runs.push(chain);
        return Promise.resolve({ kind: "done", results: [] });
      },
    },
    owners: { otherOwnerOf: () => undefined },
    catalog: () => catalog,
    readCatalog: () => {
      catalog = read ?? catalog;
      return Promise.resolve(read !== undefined);
    },
    isLeaving: () => false,
  });
  const run = (chain: StageChain): Promise<ChainResponse> =>
    service.run(chain, new AbortController().signal);
  return { run, runs };
}

test("an owner with an older configuration reads the one that a chain needs", async () => {
  const { run, runs } = ownerWith(catalogOf(2, "added"));
  const response = await run(CHAIN);
  assert.equal(response.kind, "done");
  assert.equal(runs.length, 1);
});

test("an owner that can't read the configuration declines a chain and says why", async () => {
  const { run, runs } = ownerWith();
  const response = await run(CHAIN);
  assert.ok(response.kind === "refused" && response.isBehind);
  assert.equal(response.catalog, 1);
  assert.equal(runs.length, 0);
});

test("an owner reads no configuration for a chain of one that is not newer", async () => {
  const { run, runs } = ownerWith();
  await run({ ...CHAIN, catalog: 1 });
  await run({ ...CHAIN, catalog: undefined });
  assert.equal(runs.length, 2);
});
