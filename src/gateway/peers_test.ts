import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { NO_BACKUPS } from "../origins/testing.ts";
import { monotonicMs, sleep } from "../kernel/mod.ts";
import { NoticeBoard } from "../notices/mod.ts";
import { FleetState, type ListedPeer } from "../serving/mod.ts";
import { Metrics, SILENT_LOGGER } from "../telemetry/mod.ts";
import { EntryPeerClients, entryPeerHandler } from "../wire/mod.ts";
import type { FleetView } from "./fleet_view.ts";
import { Peers } from "./peers.ts";

const STALL_MS = 1_000;

function view(peers: readonly ListedPeer[]): FleetView {
  const state = new FleetState().apply(
    peers.map((peer, i) => ({
      kind: "peer" as const,
      version: i + 1,
      name: peer.name,
      peer,
    })),
    0,
  );
  return {
    state,
    targetsAgeMs: 0,
    versionOf: () => 0,
    merge: () => {},
  } as unknown as FleetView;
}

test("a stall of the process makes no peer silent", async (t) => {
  const abort = new AbortController();
  t.after(() => abort.abort());
  let requests = 0;
  const handler = entryPeerHandler({
    reportRollout: () => ({}),
    sync: () => ({
      changes: [],
      versions: {},
      targetsAgeMs: 0,
      isLeaving: false,
      upMs: 0,
    }),
    freeResults: () => {},
    keepOrigins: () => ({ start: "a", isLeaving: false }),
    recordOrigins: () => Promise.resolve({ isRecorded: false }),
    findOrigin: () => Promise.reject(new Error("not used")),
    explainRoute: () => ({ kind: "rejected", reason: "none" }),
    permit: () => Promise.resolve({ isGranted: true, waitMs: 0 }),
    runChain: () => Promise.resolve({ kind: "leaving" }),
  });
  const server = createServer((req, res) => {
    requests += 1;
    const stallUntil = monotonicMs() + (requests === 2 ? STALL_MS : 0);
    while (monotonicMs() < stallUntil);
    handler(req, res);
  }).listen(0, "127.0.0.1");
  t.after(() => {
    server.closeAllConnections();
    server.close();
  });
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const self = { name: "a", url: "http://127.0.0.1:1", failureDomain: "d1" };
  const peer = {
    name: "b",
    url: `http://127.0.0.1:${port}`,
    failureDomain: "d1",
  };
  const clients = new EntryPeerClients();
  t.after(() => clients.close());
  const peers = new Peers({
    self,
    seeds: [],
    view: view([self, peer]),
    clients,
    log: SILENT_LOGGER,
    metrics: new Metrics(),
    board: new NoticeBoard({ metrics: new Metrics() }),
    backups: () => NO_BACKUPS,
  });
  const { lost } = peers.awaitResponse(peer);
  peers.run(abort.signal);
  while (requests < 3) await sleep(10);
  assert.equal(lost.aborted, false);
});

// Guards against a list of hundreds of names for each candidate of a choice.
test("the names of the processes are listed once while the peers are the same", () => {
  const peerOf = (name: string): ListedPeer => ({
    name,
    url: "http://127.0.0.1:1",
    failureDomain: "d1",
  });
  const fleet: { state: FleetState } = view([peerOf("b")]);
  const peers = new Peers({
    self: peerOf("a"),
    seeds: [],
    view: fleet as FleetView,
    clients: new EntryPeerClients(),
    log: SILENT_LOGGER,
    metrics: new Metrics(),
    board: new NoticeBoard({ metrics: new Metrics() }),
    backups: () => NO_BACKUPS,
  });
  assert.deepEqual(peers.processNames, ["b", "a"]);
  assert.equal(peers.processNames, peers.processNames);
  fleet.state = view([peerOf("b"), peerOf("c")]).state;
  assert.deepEqual(peers.processNames, ["b", "c", "a"]);
});
