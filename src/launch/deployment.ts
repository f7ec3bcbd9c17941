/**
 * A running deployment on loopback: its processes, lists and load.
 *
 * @module
 */

import { readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { type Dispatcher, request } from "undici";
import { EMPTY_LISTS, type UseList } from "../model/mod.ts";
import { type FilingRecord, type LoadSettings } from "../load/mod.ts";
import { HttpTable } from "../store/mod.ts";
import { changeLists, peerInfoOf, readLists } from "../process/mod.ts";
import { KeyStore, type TlsFiles } from "../tls/mod.ts";
import { TestAuthority } from "./test_authority.ts";
import { createDispatcher } from "../wire/mod.ts";
import { Fleet, waitReady } from "./fleet.ts";
import { deploymentSchema, planTopology, type Topology } from "./topology.ts";

const ROOT = fileURLToPath(new URL("../../../", import.meta.url));
const METRIC_VIOLATIONS = "cassiapost_invariant_violations_total";

/** Options for starting a sample deployment. */
export interface DeploymentOptions {
  readonly basePort: number;
  readonly seed: number;
  /** True when the processes use TLS between each other. */
  readonly tls?: boolean;
  /** Folder of the deployment's files; the sample of its name by default. */
  readonly files?: string;
}

/** A running deployment. */
export class RunningDeployment {
  readonly name: string;
  readonly fleet: Fleet;
  readonly topology: Topology;
  readonly #samples: string;
  /** Dispatcher for the control addresses. */
  readonly #dispatcher: Dispatcher;

  private constructor(
    opts: { name: string; fleet: Fleet; topology: Topology; samples: string },
  ) {
    this.name = opts.name;
    this.fleet = opts.fleet;
    this.topology = opts.topology;
    this.#samples = opts.samples;
    const { tls } = opts.topology.agents[0] ?? {};
    this.#dispatcher = createDispatcher(
      tls ? KeyStore.open(tls).unwrap() : undefined,
    );
  }

  /** Starts a sample deployment and waits until it is ready. */
  static async start(
    name: string,
    opts: DeploymentOptions,
  ): Promise<RunningDeployment> {
    const dir = join(ROOT, ".run", name);
    const fleet = new Fleet(dir);
    const tls = opts.tls ? await issueCertificate(dir) : undefined;
    const samples = opts.files ?? join(ROOT, "samples", name);
    const deployment = deploymentSchema.parse(
      readJson(join(samples, "deployment.json")),
    );
    const topology = planTopology(deployment, { ...opts, tls });
    const running = new RunningDeployment({ name, fleet, topology, samples });
    fleet.startStandIns(topology);
    await waitReady(`${topology.tableUrl}/healthz`);
    await running.#applyLists();
    fleet.startSystem(topology);
    await running.ready();
    return running;
  }

  /** Resolves when every agent and entry accepts work. */
  async ready(): Promise<void> {
    const { agents, entries } = this.topology;
    await Promise.all(
      [...agents, ...entries].map((cfg) =>
        waitReady(`${peerInfoOf(cfg).url}/readyz`, this.#dispatcher)
      ),
    );
  }

  /** Returns load settings that use every pipeline of the deployment. */
  load(opts: Pick<LoadSettings, "ratePerS" | "durationS" | "seed">) {
    const { organisations } = readJson(
      join(this.#samples, "organisations.json"),
    ) as {
      organisations: { id: string }[];
    };
    return {
      ...opts,
      entryUrls: [...this.topology.entryUrls],
      organisations: organisations.map(({ id }) => ({
        id,
        key: `sample-key-${id}`,
        weight: 1,
      })),
      mix: this.#readUseList().pipelines.map((pipeline) => ({
        pipeline: pipeline.name,
        weight: 1,
        deadlineMs: pipeline.deadlineMs,
        files: pipeline.stages.some(({ idempotent }) => !idempotent),
      })),
    } satisfies LoadSettings;
  }

  /** Returns the filings that the services recorded. */
  async filings(): Promise<readonly FilingRecord[]> {
    const all = await Promise.all(
      this.topology.filingUrls.map((url) => getJson(`${url}/filings`)),
    );
    return all.flat() as FilingRecord[];
  }

  /** Returns the invariant violations counted by the running processes. */
  async violations(): Promise<number> {
    const { agents, entries } = this.topology;
    const counts = await Promise.all(
      [...agents, ...entries].map((cfg) =>
        readViolations(`${peerInfoOf(cfg).url}/metrics`, this.#dispatcher)
      ),
    );
    return counts.reduce((sum, count) => sum + count, 0);
  }

  /** Takes a failure domain out of service, or puts it back. */
  async setDomainOut(domain: string, out: boolean): Promise<void> {
    const table = new HttpTable(this.topology.tableUrl);
    const stored = (await readLists(table))._unsafeUnwrap();
    const { availability } = stored;
    const others = availability.domainsOut.filter((name) => name !== domain);
    const domainsOut = out ? [...others, domain] : others;
    const change = { availability: { ...availability, domainsOut } };
    (await changeLists(table, stored, change))._unsafeUnwrap();
  }

  async #applyLists(): Promise<void> {
    const table = new HttpTable(this.topology.tableUrl);
    const organisations = readJson(join(this.#samples, "organisations.json"));
    const change = {
      organisations: organisations as typeof EMPTY_LISTS.organisations,
      use: this.#readUseList(),
    };
    (await changeLists(table, EMPTY_LISTS, change))._unsafeUnwrap();
  }

  #readUseList(): UseList {
    return readJson(join(this.#samples, "use.json")) as UseList;
  }
}

/** Issues and writes one certificate for all processes of the deployment. */
async function issueCertificate(dir: string): Promise<TlsFiles> {
  const authority = await TestAuthority.create();
  const { cert, key, ca } = await authority.issue();
  const files = {
    certFile: join(dir, "cert.pem"),
    keyFile: join(dir, "key.pem"),
    caFile: join(dir, "ca.pem"),
  };
  writeFileSync(files.certFile, cert);
  writeFileSync(files.keyFile, key, { mode: 0o600 });
  writeFileSync(files.caFile, ca);
  return files;
}

function readJson(path: string): unknown {
  return JSON.parse(readFileSync(path, "utf8"));
}

async function getJson(url: string): Promise<unknown> {
  const res = await request(url);
  return await res.body.json();
}

async function readViolations(
  url: string,
  dispatcher: Dispatcher,
): Promise<number> {
  try {
    const res = await request(url, { dispatcher });
    const text = await res.body.text();
    const line = text.split("\n")
      .find((one) => one.startsWith(METRIC_VIOLATIONS));
    return Number(line?.split(" ").at(-1) ?? 0);
  } catch {
    return 0;
  }
}
