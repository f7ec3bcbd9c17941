import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { EntryPeerClients, entryPeerHandler } from "./entries.ts";
import type { OriginBatch } from "./origins.ts";

const BATCH: OriginBatch = {
  from: "entry-1",
  records: [{ stream: "s1", pool: "plain", build: "v1", leftMs: 1_000 }],
};
const TIMEOUT_MS = 1_000;

/** Serves the procedures of an entry on loopback. */
async function withEntry(
  body: (
    entry: { url: string; clients: EntryPeerClients; kept: OriginBatch[] },
  ) => Promise<void>,
): Promise<void> {
  const kept: OriginBatch[] = [];
  const clients = new EntryPeerClients();
  const server = createServer(entryPeerHandler({
    reportRollout: () => ({}),
    sync: () => ({
      changes: [],
      versions: {},
      storeAgeMs: 0,
      isLeaving: false,
      upMs: 7,
    }),
    freeResults: () => {},
    explainRoute: () => ({ kind: "rejected", reason: "none" }),
    permit: () => Promise.resolve({ isGranted: true, waitMs: 0 }),
    runChain: () => Promise.resolve({ kind: "leaving" }),
    recordOrigins: ({ records }) =>
      Promise.resolve({ isRecorded: records.length > 0 }),
    keepOrigins: (batch) => {
      kept.push(batch);
      return { start: "start-1", isLeaving: false };
    },
    findOrigin: ({ stream, route }) =>
      Promise.resolve({
        origin: stream === "s1" ? { pool: "plain", build: "v1" } : undefined,
        builds: ["v1", null],
        pools: route ? ["plain"] : [],
        arePoolsSure: route !== undefined,
        recordsOrigins: true,
        hasReadStore: true,
      }),
  }));
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const { port } = server.address() as AddressInfo;
  try {
    await body({ url: `http://127.0.0.1:${port}`, clients, kept });
  } finally {
    await clients.close();
    server.close();
  }
}

const signal = () => AbortSignal.timeout(TIMEOUT_MS);

test("origins are kept and found over the wire", () =>
  withEntry(async ({ url, clients, kept }) => {
    const receipt = await clients.keepOrigins(url, BATCH, signal());
    assert.deepEqual(receipt, { start: "start-1", isLeaving: false });
    assert.deepEqual(kept, [BATCH]);
    const query = {
      stream: "s1",
      pool: "plain",
      route: { hostname: "api.example", pathPrefix: "/r/" },
    };
    assert.deepEqual(await clients.findOrigin(url, query, signal()), {
      origin: { pool: "plain", build: "v1" },
      builds: ["v1", null],
      pools: ["plain"],
      arePoolsSure: true,
      recordsOrigins: true,
      hasReadStore: true,
    });
    const unknown = { stream: "s2", pool: "plain" };
    const answer = await clients.findOrigin(url, unknown, signal());
    assert.equal(answer.origin, undefined);
  }));

test("members of newer builds are ignored", () =>
  withEntry(async ({ url, clients, kept }) => {
    const newer = {
      from: BATCH.from,
      records: BATCH.records.map((record) => ({ ...record, added: 1 })),
      added: [1],
    };
    await clients.keepOrigins(url, newer, signal());
    assert.deepEqual(kept, [BATCH]);
  }));

test("malformed batches and unknown procedures leave the other procedures working", () =>
  withEntry(async ({ url, clients, kept }) => {
    const malformed = { from: 1 } as unknown as OriginBatch;
    await assert.rejects(clients.keepOrigins(url, malformed, signal()));
    const res = await fetch(`${url}/noSuchProcedure`, {
      method: "POST",
      headers: { "content-type": "application/json" },
      body: "{}",
    });
    assert.equal(res.status, 404);
    await res.text();
    assert.deepEqual(kept, []);
    const request = { from: "entry-1", versions: {} };
    const { upMs } = await clients.sync(url, request, TIMEOUT_MS);
    assert.equal(upMs, 7);
  }));
