/**
 * Testbed of the experiment `control-cost`: the measured entry or agent is a
 * process of its own; the platform and the other agents are stand-ins in the
 * process of the experiment.
 *
 * @module
 */

import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { mkdirSync, openSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import type { ListsChange } from "../lists/mod.ts";
import { okAsync } from "neverthrow";
import { request } from "undici";
import { monotonicMs, sleep } from "../kernel/mod.ts";
import {
  EMPTY_LISTS,
  type Lists,
  Priority,
  sha256,
  StageKind,
  type Target,
  TargetKind,
} from "../model/mod.ts";
import { HostState, type Table } from "../store/mod.ts";
import {
  changeLists,
  createControlApp,
  type EntryInfo,
  entryKey,
  listen,
  type ListeningServer,
  ListsSync,
  readMember,
  registerTarget,
  writeMember,
} from "../process/mod.ts";
import {
  createHostListApp,
  createObjectStoreApp,
  createTableApp,
  createWeightStoreApp,
  MemoryHostList,
  MemoryObjectStore,
  MemoryTable,
  MemoryWeightStore,
  NO_FAULTS,
} from "../standin/mod.ts";
import { Metrics, SILENT_LOGGER } from "../telemetry/mod.ts";
import { createAgentRouter, TrpcPeerClient } from "../wire/mod.ts";

const ADDRESS = "127.0.0.1";
const CLI_PATH = fileURLToPath(new URL("../cli/main.js", import.meta.url));
const RUN_DIR = fileURLToPath(
  new URL("../../../.run/control-cost", import.meta.url),
);
const READY_POLL_MS = 100;
const READY_POLLS = 200;
const DOMAINS = 6;
const PIPELINES = 36;
const STAGES = 4;
const POOLS = 12;
/** Ratio of entries to targets: 360 entries for 600 targets. */
const ENTRIES_PER_TARGETS = { entries: 3, targets: 5 } as const;
/**
 * Port ranges, in this order: platform, measured process, stand-ins of the
 * other agents.
 */
const PLATFORM_PORTS = 4;
const PROCESS_PORTS = 2;

/** Role of the measured process. */
export type Role = "entry" | "agent";

/** Numbers of targets and organisations at which a process is measured. */
export interface FleetSize {
  readonly targets: number;
  readonly organisations: number;
}

/** Counters of the measured process at one time. */
export interface Reading {
  /** Monotonic time of the reading, in milliseconds. */
  readonly at: number;
  readonly cpuS: number;
  readonly rssBytes: number;
  /** Bytes of control traffic in both directions. */
  readonly bytes: number;
  readonly reads: number;
  readonly writes: number;
}

/** The measured process and the stand-ins that it communicates with. */
export class ControlTestbed {
  readonly #role: Role;
  readonly #size: FleetSize;
  readonly #basePort: number;
  readonly #table = new MemoryTable();
  readonly #servers: ListeningServer[] = [];
  #child: ChildProcess | undefined;
  #lists: Lists = EMPTY_LISTS;
  readonly #abort = new AbortController();

  private constructor(role: Role, size: FleetSize, opts: { basePort: number }) {
    this.#role = role;
    this.#size = size;
    this.#basePort = opts.basePort;
  }

  /** Starts the stand-ins and the process, and waits until it is ready. */
  static async start(
    role: Role,
    size: FleetSize,
    opts: { basePort: number },
  ): Promise<ControlTestbed> {
    const testbed = new ControlTestbed(role, size, opts);
    await testbed.#startPlatform();
    await testbed.#startAgents();
    await testbed.#commitChange(listsOf(size));
    await testbed.#startProcess();
    return testbed;
  }

  /** Returns the current counters of the measured process. */
  async read(): Promise<Reading> {
    const res = await request(`${this.#controlUrl}/metrics`);
    const text = await res.body.text();
    return {
      at: monotonicMs(),
      cpuS: metricOf(text, "cassiapost_cpu_seconds_total"),
      rssBytes: metricOf(text, "cassiapost_resident_bytes"),
      bytes: this.#servers.reduce((sum, one) => sum + one.traffic.bytes, 0),
      reads: metricOf(text, callsMetric("read")),
      writes: metricOf(text, callsMetric("write")),
    };
  }

  /** Commits a small change of the lists: takes a host out or back in. */
  async changeLists(): Promise<void> {
    const hostsOut = this.#lists.version % 2 === 1 ? ["host-spare"] : [];
    await this.#commitChange({ availability: { domainsOut: [], hostsOut } });
  }

  async #commitChange(change: ListsChange): Promise<void> {
    const { version } = this.#lists;
    const changed = await changeLists(this.#table, this.#lists, change);
    if (!changed._unsafeUnwrap().committed) throw new Error("write conflict");
    this.#lists = { ...this.#lists, ...change, version: version + 1 };
  }

  /** Stops the process and the stand-ins. */
  async stop(): Promise<void> {
    this.#abort.abort();
    const child = this.#child;
    if (child && child.exitCode === null) {
      const exited = once(child, "exit");
      child.kill("SIGKILL");
      await exited;
    }
    await Promise.all(this.#servers.map((server) => server.close()));
  }

  get #controlUrl(): string {
    return `http://${ADDRESS}:${this.#basePort + PLATFORM_PORTS}`;
  }

  async #startPlatform(): Promise<void> {
    const opts = () => ({ faults: { ...NO_FAULTS }, seed: 1 });
    const hosts = Array.from({ length: this.#size.targets }, (_, i) => ({
      host: `host-${i}`,
      domain: domainOf(i),
      state: HostState.Live,
    }));
    const weights = new MemoryWeightStore({ modelBytes: 1, bytesPerS: 1 });
    const apps = [
      createTableApp(this.#table, opts()),
      createObjectStoreApp(new MemoryObjectStore(), opts()),
      createHostListApp(new MemoryHostList({ hosts, lagMs: 0 }), opts()),
      createWeightStoreApp(weights, opts()),
    ];
    const started = apps.map((app, i) =>
      listen(app, { address: ADDRESS, port: this.#basePort + i })
    );
    this.#servers.push(...await Promise.all(started));
  }

  async #startAgents(): Promise<void> {
    const lists = this.#peerLists();
    const firstIndex = this.#role === "agent" ? 1 : 0;
    for (let i = firstIndex; i < this.#size.targets; i += 1) {
      const port = this.#basePort + PLATFORM_PORTS + PROCESS_PORTS + i;
      const target = targetOf(i, port);
      this.#servers.push(await startAgentStandIn(target, { port, lists }));
      await registerTarget(this.#table, target);
      if (i % ENTRIES_PER_TARGETS.targets < ENTRIES_PER_TARGETS.entries) {
        await this.#registerEntry(i, target);
      }
    }
  }

  /** Registers an entry under the URL of a stand-in agent. */
  async #registerEntry(i: number, { domain, agentUrl }: Target): Promise<void> {
    const info: EntryInfo = {
      name: `entry-${i}`,
      host: `host-entry-${i}`,
      domain,
      url: agentUrl,
    };
    const member = await readMember(this.#table, entryKey(info.name));
    await writeMember(this.#table, member._unsafeUnwrap(), { value: info });
  }

  /**
   * Starts the lists that all stand-in agents share. Scans of its table return
   * no rows, so that it discovers peers only through the gossip of the measured
   * process.
   */
  #peerLists(): ListsSync {
    const table: Table = {
      read: (keys) => this.#table.read(keys),
      scan: () => okAsync({ rows: [] }),
      commit: (tx) => this.#table.commit(tx),
    };
    const lists = new ListsSync({
      info: { name: "others", domain: domainOf(1), url: "" },
      table,
      log: SILENT_LOGGER,
      metrics: new Metrics(),
      connect: (info) => new TrpcPeerClient(info.url),
    });
    lists.run(this.#abort.signal);
    return lists;
  }

  async #startProcess(): Promise<void> {
    mkdirSync(RUN_DIR, { recursive: true });
    const name = `${this.#role}-${this.#basePort}`;
    const file = join(RUN_DIR, `${name}.json`);
    writeFileSync(file, JSON.stringify(this.#settings(name), null, 2));
    const log = openSync(join(RUN_DIR, `${name}.log`), "a");
    const args = [CLI_PATH, this.#role, "--settings", file];
    this.#child = spawn(process.execPath, args, {
      stdio: ["ignore", log, log],
    });
    for (let poll = 0; poll < READY_POLLS; poll += 1) {
      if (await isReady(`${this.#controlUrl}/readyz`)) return;
      await sleep(READY_POLL_MS);
    }
    await this.stop();
    throw new Error(`${name} not ready after ${READY_POLLS} polls`);
  }

  #settings(name: string): object {
    const base = this.#basePort;
    const urlAt = (i: number) => `http://${ADDRESS}:${base + i}`;
    const common = {
      name,
      host: "host-0",
      domain: domainOf(0),
      control: { address: ADDRESS, port: base + PLATFORM_PORTS },
      platform: {
        tableUrl: urlAt(0),
        objectStoreUrl: urlAt(1),
        hostListUrl: urlAt(2),
        weightStoreUrl: urlAt(3),
      },
      telemetry: { logLevel: "warn", traceExport: "none" },
    };
    const listen = { address: ADDRESS, port: base + PLATFORM_PORTS + 1 };
    const target = {
      id: "target-0",
      pool: "pool-0",
      kind: TargetKind.Service,
      url: urlAt(1),
    };
    return this.#role === "entry"
      ? { ...common, listen }
      : { ...common, target };
  }
}

async function startAgentStandIn(
  target: Target,
  { port, lists }: { port: number; lists: ListsSync },
): Promise<ListeningServer> {
  const load = { running: 0, queued: 0, limit: 8, cold: false, leaving: false };
  const router = createAgentRouter({
    peerState: () => lists.peerState(true),
    listsSince: (version) => lists.updateSince(version),
    exchange: (req) => lists.respond(req, true),
    targetState: () => ({ target, load }),
    call: () => {
      throw new Error("the stand-in agent does not accept stage calls");
    },
  });
  const app = createControlApp({
    router,
    metrics: new Metrics(),
    isReady: () => true,
  });
  return await listen(app, { address: ADDRESS, port });
}

function targetOf(i: number, port: number): Target {
  return {
    id: `target-${i}`,
    pool: `pool-${i % POOLS}`,
    kind: TargetKind.Service,
    host: `host-${i}`,
    domain: domainOf(i),
    agentUrl: `http://${ADDRESS}:${port}`,
  };
}

function domainOf(i: number): string {
  return `domain-${i % DOMAINS}`;
}

function listsOf({ organisations }: FleetSize): Omit<Lists, "version"> {
  const names = Array.from({ length: PIPELINES }, (_, i) => `pipeline-${i}`);
  return {
    organisations: {
      organisations: Array.from({ length: organisations }, (_, i) => ({
        id: `organisation-${i}`,
        plan: "plan",
        keySha256: sha256(`key-${i}`),
      })),
    },
    use: {
      plans: [
        { name: "plan", weight: 1, maxConcurrent: 100, pipelines: names },
      ],
      pipelines: names.map((name, i) => ({
        name,
        durable: false,
        priority: Priority.Interactive,
        deadlineMs: 4_000,
        stages: Array.from({ length: STAGES }, (_, j) => ({
          name: `stage-${j}`,
          kind: StageKind.LookUp,
          pool: `pool-${(i + j) % POOLS}`,
          idempotent: true,
          expectedMs: 100,
        })),
      })),
    },
    availability: EMPTY_LISTS.availability,
  };
}

function callsMetric(call: "read" | "write"): string {
  return `cassiapost_platform_calls_total{call="${call}",result="ok"}`;
}

function metricOf(text: string, name: string): number {
  const line = text.split("\n").find((one) => one.startsWith(`${name} `));
  return Number(line?.split(" ").at(-1) ?? 0);
}

async function isReady(url: string): Promise<boolean> {
  try {
    const res = await request(url);
    await res.body.dump();
    return res.statusCode === 200;
  } catch {
    return false;
  }
}
