/**
 * Experiment: what the sharing of the origins of streams costs an entry while
 * two builds serve: measured among five entries on loopback, and calculated for
 * the design size from the calls of one entry and the measured bytes of a call.
 *
 * @module
 */

import { ok } from "neverthrow";
import { createServer, type Server } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { seededRandom, sleep } from "../kernel/mod.ts";
import {
  ENTRIES_PER_WRITER,
  type OriginClients,
  type OriginRow,
  type OriginStore,
  OriginWriters,
  StoredOrigins,
  StreamOriginService,
} from "../origins/mod.ts";
import type { ListedPeer } from "../serving/mod.ts";
import { DurationHistogram, Metrics, SILENT_LOGGER } from "../telemetry/mod.ts";
import {
  EntryPeerClients,
  entryPeerHandler,
  type OriginBatch,
  type OriginReceipt,
  type RecordBatch,
} from "../wire/mod.ts";
import type { Experiment } from "./experiment.ts";

/** Streams that begin at each entry in a second: 4,500 over 360 entries. */
const STREAMS_PER_S = 12.5;
const MEASURED_ENTRIES = 5;
const DESIGN_ENTRIES = 360;
const DOMAINS = 6;
const RUN_MS = 20_000;
const TWO_BUILDS = new Set(["v1.1", "v1.2"]);
/** Records in the larger of the two calls whose bytes are compared. */
const LARGE_BATCH = 101;
/** Time that the store takes to answer a call, in milliseconds. */
const STORE_MS = 7;
/** Time from the sending of a request to its first event, in milliseconds. */
const FIRST_EVENT_MS = 200;
/** Time of a call to another entry, both directions, in milliseconds. */
const RTT_MS = 2;
/** Bytes of a value on the wire, which is encoded in base64. */
const BASE64_RATIO = 4 / 3;
const MS_PER_S = 1_000;
const BYTES_PER_KB = 1_000;

/** The experiment `stream-origins`. */
export const streamOrigins: Experiment = {
  name: "stream-origins",
  summary: "calls and bytes by which entries share the origins of streams",
  run: async ({ seed }) => {
    const bytes = await bytesOfCalls();
    return {
      experiment: "stream-origins",
      seed,
      streams_per_s: STREAMS_PER_S,
      bytes_per_call: round(bytes.call),
      bytes_per_record: round(bytes.record),
      measured: await measure(seededRandom(seed)),
      calculated: await calculate(bytes, seededRandom(seed)),
      recorded: await Promise.all(
        [MEASURED_ENTRIES, DESIGN_ENTRIES].map((entries) =>
          measureRecords(entries, seededRandom(seed))
        ),
      ),
    };
  },
};

/** One entry that shares origins over loopback. */
interface LoopbackEntry {
  readonly service: StreamOriginService;
  readonly metrics: Metrics;
  readonly server: Server;
  readonly sockets: Socket[];
  readonly clients: EntryPeerClients;
}

/** Runs entries that each begin streams and share them over HTTP. */
async function measure(random: () => number) {
  const peers: ListedPeer[] = [];
  const entries = await Promise.all(
    Array.from(
      { length: MEASURED_ENTRIES },
      (_, i) => startEntry(i, peers),
    ),
  );
  const abort = new AbortController();
  entries.forEach(({ service }) => service.run(abort.signal));
  const cpuBefore = process.cpuUsage();
  await beginStreams(entries.map(({ service }) => service), random);
  const cpu = process.cpuUsage(cpuBefore);
  abort.abort();
  const total = (read: (entry: LoopbackEntry) => number) =>
    entries.reduce((sum, entry) => sum + read(entry), 0) /
    MEASURED_ENTRIES / (RUN_MS / MS_PER_S);
  const result = {
    entries: MEASURED_ENTRIES,
    calls_per_s: round(
      total(({ metrics }) => metrics.total("origin_pushes_total")),
    ),
    records_per_s: round(
      total(({ metrics }) => metrics.total("origin_records_pushed_total")),
    ),
    kb_per_s: round(
      total(({ sockets }) =>
        sockets.reduce((sum, one) => sum + one.bytesRead + one.bytesWritten, 0)
      ) / BYTES_PER_KB,
    ),
    cpu_percent_of_core: round(
      (cpu.user + cpu.system) / MS_PER_S / RUN_MS * 100 / MEASURED_ENTRIES,
    ),
  };
  await Promise.all(entries.map(stopEntry));
  return result;
}

/** Counts the calls of one entry of the design size. */
async function calculate(
  bytes: { call: number; record: number },
  random: () => number,
) {
  const peers = Array.from({ length: DESIGN_ENTRIES }, (_, i) => peerOf(i, i));
  const counts = { calls: 0, records: 0 };
  const metrics = new Metrics();
  const service = serviceOf(peers, 0, metrics, {
    keepOrigins: (_url, { records }): Promise<OriginReceipt> => {
      counts.calls += 1;
      counts.records += records.length;
      return Promise.resolve({ start: "start", isLeaving: false });
    },
    recordOrigins: () => Promise.reject(new Error("not used")),
    findOrigin: () => Promise.reject(new Error("not used")),
  });
  const abort = new AbortController();
  service.run(abort.signal);
  await beginStreams([service], random);
  abort.abort();
  const seconds = RUN_MS / MS_PER_S;
  const sent = counts.calls * bytes.call + counts.records * bytes.record;
  return {
    entries: DESIGN_ENTRIES,
    calls_per_s: round(counts.calls / seconds),
    records_per_s: round(counts.records / seconds),
    kb_per_s: round(sent / seconds / BYTES_PER_KB),
  };
}

/** Store that counts what it is sent and answers after `STORE_MS`. */
class CountingStore implements OriginStore {
  calls = 0;
  bytes = 0;

  write(row: OriginRow) {
    const { writtenAtMs, origins } = row;
    const streams = origins.map(({ stream }) => stream);
    return this.#answer([row.key, writtenAtMs, streams], undefined);
  }

  read() {
    return this.#answer([], { defaults: { era: 1 }, rows: [] });
  }

  readDefaults() {
    return this.#answer([], { era: 1 });
  }

  writeDefaults() {
    return this.#answer([], true);
  }

  async #answer<T>(sent: unknown, value: T) {
    this.calls += 1;
    this.bytes += JSON.stringify(sent).length * BASE64_RATIO;
    await sleep(STORE_MS);
    return ok(value);
  }
}

/**
 * Measures an entry that writes for itself and, in a large fleet, for others.
 * All record every stream before its caller sees an event, with targets that
 * write their first event `FIRST_EVENT_MS` later.
 */
async function measureRecords(entries: number, random: () => number) {
  const store = new CountingStore();
  const metrics = new Metrics();
  const abort = new AbortController();
  const peers = Array.from({ length: entries }, (_, i) => peerOf(i, i));
  const waits = new DurationHistogram();
  const start = (self: ListedPeer, writer?: StoredOrigins) => {
    const clients = {
      recordOrigins: async (_url: string, { records }: RecordBatch) => {
        await sleep(RTT_MS);
        return { isRecorded: await writer?.recordFor(records) ?? false };
      },
    };
    const fleet = { peers: () => peers, isUsable: () => true };
    const records = new StoredOrigins({
      store,
      self: self.name,
      writers: new OriginWriters({
        self,
        fleet,
        clients,
        log: SILENT_LOGGER,
        metrics,
      }),
      log: SILENT_LOGGER,
      metrics,
    });
    records.run(abort.signal);
    return records;
  };
  const origin = { pool: "cassia-pool", build: "v1.2" };
  const begin = async (records: StoredOrigins, stream: string) => {
    records.expect(stream, origin);
    await sleep(FIRST_EVENT_MS);
    const arrivedAt = performance.now();
    await records.record(stream, origin);
    waits.record(performance.now() - arrivedAt);
  };
  const isWriter = (self: ListedPeer) =>
    new OriginWriters({
      self,
      fleet: { peers: () => peers, isUsable: () => true },
      clients: { recordOrigins: () => Promise.reject() },
      log: SILENT_LOGGER,
      metrics,
    }).choose() === undefined;
  const writer = start(peers.find(isWriter) ?? peerOf(0, 0));
  const others = peers.filter((peer) => !isWriter(peer))
    .slice(0, ENTRIES_PER_WRITER - 1).map((peer) => start(peer, writer));
  const begun: Promise<void>[] = [];
  const stopAt = performance.now() + RUN_MS;
  await Promise.all([writer, ...others].map(async (records) => {
    while (performance.now() < stopAt) {
      await sleep(-Math.log(1 - random()) * MS_PER_S / STREAMS_PER_S);
      begun.push(begin(records, streamId(begun.length)));
    }
  }));
  await Promise.all(begun);
  abort.abort();
  const seconds = RUN_MS / MS_PER_S;
  return {
    entries,
    entries_per_writer: 1 + others.length,
    streams_per_s: round(begun.length / seconds),
    writes_per_s: round(store.calls / seconds),
    kb_per_s: round(store.bytes / seconds / BYTES_PER_KB),
    bytes_per_stream: round(store.bytes / begun.length),
    relays_per_s: round(metrics.total("origin_relays_total") / seconds),
    wait_p50_ms: round(waits.quantile(0.5)),
    wait_p95_ms: round(waits.quantile(0.95)),
    wait_max_ms: round(waits.quantile(1)),
  };
}

/** Bytes of a call without its records, and of each record, both directions. */
async function bytesOfCalls(): Promise<{ call: number; record: number }> {
  const peers: ListedPeer[] = [];
  const entry = await startEntry(0, peers);
  const url = peers[0]?.url ?? "";
  const send = async (count: number): Promise<number> => {
    const before = bytesOf(entry);
    await entry.clients.keepOrigins(
      url,
      batchOf(count),
      AbortSignal.timeout(MS_PER_S),
    );
    return bytesOf(entry) - before;
  };
  await send(1);
  const small = await send(1);
  const large = await send(LARGE_BATCH);
  await stopEntry(entry);
  const record = (large - small) / (LARGE_BATCH - 1);
  return { call: small - record, record };
}

function batchOf(count: number): OriginBatch {
  const records = Array.from({ length: count }, (_, i) => ({
    stream: streamId(i),
    pool: "cassia-pool",
    build: "v1.2",
    leftMs: 59_900,
  }));
  return { from: "edge-addis-bole-2", records };
}

function bytesOf({ sockets }: LoopbackEntry): number {
  return sockets
    .reduce((sum, one) => sum + one.bytesRead + one.bytesWritten, 0);
}

/** Begins streams at the given rate, at times drawn at random. */
async function beginStreams(
  services: readonly StreamOriginService[],
  random: () => number,
): Promise<void> {
  let count = 0;
  const stopAt = performance.now() + RUN_MS;
  await Promise.all(services.map(async (service) => {
    while (performance.now() < stopAt) {
      await sleep(-Math.log(1 - random()) * MS_PER_S / STREAMS_PER_S);
      service.begun({
        stream: streamId(count++),
        route: { hostname: "api.example", pathPrefix: "/r/" },
        origin: { pool: "cassia-pool", build: "v1.2" },
      });
    }
  }));
}

/** Identifier as long as those of callers: 16 hexadecimal digits. */
function streamId(i: number): string {
  return (BigInt(i + 1) * 0x9e3779b97f4a7c15n % 2n ** 64n)
    .toString(16).padStart(16, "0");
}

async function startEntry(
  i: number,
  peers: ListedPeer[],
): Promise<LoopbackEntry> {
  const metrics = new Metrics();
  const clients = new EntryPeerClients();
  const sockets: Socket[] = [];
  const service = serviceOf(peers, i, metrics, clients);
  const server = createServer(entryPeerHandler({
    reportRollout: () => ({}),
    sync: () => {
      throw new Error("not used");
    },
    freeResults: () => {},
    explainRoute: () => ({ kind: "rejected", reason: "none" }),
    permit: () => Promise.resolve({ isGranted: true, waitMs: 0 }),
    runChain: () => Promise.resolve({ kind: "leaving" }),
    keepOrigins: (batch) => service.keepOrigins(batch),
    recordOrigins: (batch) => service.recordOrigins(batch),
    findOrigin: (query) => service.findOrigin(query),
  }));
  server.on("connection", (socket: Socket) => sockets.push(socket));
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  peers.push(peerOf(i, (server.address() as AddressInfo).port));
  return { service, metrics, server, sockets, clients };
}

async function stopEntry(entry: LoopbackEntry): Promise<void> {
  await entry.clients.close();
  entry.server.closeAllConnections();
  entry.server.close();
}

function peerOf(i: number, port: number): ListedPeer {
  return {
    name: `entry-${i}`,
    url: `http://127.0.0.1:${port}`,
    failureDomain: `d${i % DOMAINS}`,
  };
}

function serviceOf(
  peers: readonly ListedPeer[],
  self: number,
  metrics: Metrics,
  clients: OriginClients,
): StreamOriginService {
  return new StreamOriginService({
    self: peerOf(self, 0),
    fleet: {
      peers: () => peers,
      registrations: () => new Map(),
      isUsable: () => true,
      buildsOf: () => TWO_BUILDS,
      observed: () => undefined,
      storeEra: () => 1,
      candidates: () => ({ pools: [], isSure: true }),
      ambiguousPools: () => new Set(),
      readChanges: () => Promise.resolve(true),
    },
    clients,
    log: SILENT_LOGGER,
    metrics,
  });
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}
