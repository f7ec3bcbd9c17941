import assert from "node:assert/strict";
import { createHash } from "node:crypto";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { Agent, request } from "undici";
import { sleep } from "../kernel/mod.ts";
import { RunningDeployment } from "./deployment.ts";

const ORGANISATION = "umea-kommun";
const KEY = `sample-key-${ORGANISATION}`;
/** Time of the service for a filing, in milliseconds. */
const FILING_MS = 1_200;
const CALLERS = 6;
const CALL_GAP_MS = 40;
const BEFORE_STOP_MS = 2_500;
/** Ports of one deployment, from which a free block is chosen. */
const BLOCK_PORTS = 100;
const FIRST_PORT = 10_000;
const BLOCKS = 220;

const DEPLOYMENT = {
  name: "planned-stop",
  domains: ["d1"],
  entriesPerDomain: 2,
  pools: [{
    name: "filing",
    kind: "service",
    count: 3,
    tune: { callMs: FILING_MS },
  }],
};

const USE = {
  plans: [{
    name: "standard",
    weight: 1,
    maxConcurrent: 200,
    pipelines: ["filing"],
  }],
  pipelines: [{
    name: "filing",
    durable: false,
    priority: "interactive",
    deadlineMs: 8_000,
    stages: [{
      name: "file",
      kind: "file",
      pool: "filing",
      idempotent: false,
      expectedMs: FILING_MS,
    }],
  }],
};

const ORGANISATIONS = {
  organisations: [{
    id: ORGANISATION,
    plan: "standard",
    keySha256: createHash("sha256").update(KEY).digest("hex"),
  }],
};

/** Returns the first of a block of ports that no other test has chosen. */
async function freeBlock(): Promise<number> {
  const port = FIRST_PORT + BLOCK_PORTS * Math.floor(Math.random() * BLOCKS);
  const server = createServer().unref();
  const isFree = await new Promise<boolean>((resolve) => {
    server.once("error", () => resolve(false));
    server.listen(port, "127.0.0.1", () => resolve(true));
  });
  return isFree ? port + 1 : await freeBlock();
}

async function withDeployment(
  play: (deployment: RunningDeployment) => Promise<void>,
): Promise<void> {
  const files = mkdtempSync(join(tmpdir(), "cassiapost-stop-"));
  const write = (name: string, value: unknown) =>
    writeFileSync(join(files, `${name}.json`), JSON.stringify(value));
  write("deployment", DEPLOYMENT);
  write("use", USE);
  write("organisations", ORGANISATIONS);
  const name = `planned-stop-${process.pid}`;
  const deployment = await RunningDeployment.start(name, {
    basePort: await freeBlock(),
    seed: 1,
    files,
  });
  try {
    await play(deployment);
  } finally {
    await deployment.fleet.stopAll();
    rmSync(files, { recursive: true, force: true });
  }
}

/** How one request ended. */
interface End {
  readonly marker: string;
  /** Undefined when the connection ended without a complete response. */
  readonly status?: number;
  readonly outcome?: string;
  readonly detail?: string;
}

/** Sends filings on connections that are kept, until `until` has passed. */
async function callInTurn(
  deployment: RunningDeployment,
  caller: number,
  until: AbortSignal,
): Promise<readonly End[]> {
  const dispatcher = new Agent({ connections: 1 });
  const { entryUrls } = deployment.topology;
  const ends: End[] = [];
  for (let i = 0; !until.aborted; i++) {
    const url = entryUrls[(caller + i) % entryUrls.length] ?? "";
    const marker = `filing-${caller}-${i}`;
    ends.push(await callOnce({ url, marker, dispatcher }));
    await sleep(CALL_GAP_MS);
  }
  await dispatcher.close();
  return ends;
}

async function callOnce(
  { url, marker, dispatcher }: {
    url: string;
    marker: string;
    dispatcher: Agent;
  },
): Promise<End> {
  try {
    const { statusCode, body } = await request(`${url}/v1/pipelines/filing`, {
      method: "POST",
      dispatcher,
      headers: {
        "content-type": "application/json",
        "authorization": `Bearer ${KEY}`,
        "idempotency-key": marker,
        "deadline-ms": "8000",
      },
      body: JSON.stringify({ input: { marker, text: marker } }),
    });
    const { outcome } = await body.json() as { outcome?: string };
    return { marker, status: statusCode, outcome };
  } catch (err) {
    return { marker, detail: String((err as { code?: string }).code ?? err) };
  }
}

/** Plays a stop under load; checks each response against the filings. */
async function playStop(name: string): Promise<void> {
  await withDeployment(async (deployment) => {
    const load = new AbortController();
    const callers = Array.from(
      { length: CALLERS },
      (_, i) => callInTurn(deployment, i, load.signal),
    );
    await sleep(BEFORE_STOP_MS);
    assert.equal(await deployment.fleet.stop(name), 0);
    await sleep(BEFORE_STOP_MS);
    load.abort();
    const ends = (await Promise.all(callers)).flat();
    const filings = await deployment.filings();
    const counts = new Map(filings.map(({ marker, count }) => [marker, count]));
    const cut = ends.filter(({ status, detail }) =>
      status === undefined && detail !== "ECONNREFUSED"
    );
    assert.deepEqual(cut, []);
    const untrue = ends.filter(({ marker, outcome }) =>
      outcome === "not-run" && counts.has(marker)
    );
    assert.deepEqual(untrue, []);
    const lost = ends.filter(({ marker, status }) =>
      status === 200 && counts.get(marker) !== 1
    );
    assert.deepEqual(lost, []);
    const served = ends.filter(({ status }) => status === 200);
    assert.ok(served.length > CALLERS, `served: ${served.length}`);
    assert.equal(await deployment.violations(), 0);
  });
}

// Guards against LOST and REFUSED at a planned stop of the product's processes.
test("a planned stop of an entry cuts no request and refuses none that runs", () =>
  playStop("entry-d1-1"));

test("a planned stop of an agent cuts no request and refuses none that runs", () =>
  playStop("agent-filing-1"));

test("a SIGHUP ends no entry and no agent", () =>
  withDeployment(async (deployment) => {
    const names = ["entry-d1-1", "agent-filing-1"];
    names.forEach((name) => deployment.fleet.signal(name, "SIGHUP"));
    await sleep(BEFORE_STOP_MS);
    await deployment.ready();
    const codes = names.map((name) => deployment.fleet.stop(name));
    assert.deepEqual(await Promise.all(codes), [0, 0]);
  }));
