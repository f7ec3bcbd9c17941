import assert from "node:assert/strict";
import { test } from "node:test";
import { HttpTable } from "../store/mod.ts";
import { FloodServer } from "../testing/mod.ts";
import { EntryPeerClients } from "./entries.ts";
import { TrpcPeerClient } from "./client.ts";

const MAX_TAKEN_BYTES = 48 * 1024 * 1024;
const TIMEOUT_MS = 10_000;

const FLOODS = {
  "blank lines for a head": { start: "", repeat: "\r\n" },
  "interim heads": { start: "", repeat: "HTTP/1.1 103 Hints\r\n\r\n" },
  "a body": { start: "HTTP/1.1 200 OK\r\n\r\n[", repeat: "[" },
};

const CALLS: Readonly<Record<string, (url: string) => Promise<unknown>>> = {
  "a peer of an entry": async (url) => {
    const clients = new EntryPeerClients();
    const request = { from: "self", versions: {} };
    await clients.sync(url, request, TIMEOUT_MS).finally(() => clients.close());
  },
  "a process": async (url) => {
    const client = new TrpcPeerClient(url);
    await client.peerState().finally(() => client.close());
  },
  "the table service": async (url) => {
    (await new HttpTable(url).read(["k"]))._unsafeUnwrap();
  },
};

Object.entries(CALLS).forEach(([peer, call]) =>
  Object.entries(FLOODS).forEach(([name, flood]) => {
    test(`a call to ${peer} is cut when it sends ${name} without end`, async () => {
      const server = await new FloodServer(() => flood).start();
      try {
        await assert.rejects(call(`http://${server.address}`));
        assert.equal(server.flooded.length, 1);
        const bytes = server.flooded[0]?.takenBytes ?? 0;
        assert.ok(bytes < MAX_TAKEN_BYTES, `${bytes}`);
      } finally {
        server.stop();
      }
    });
  })
);
