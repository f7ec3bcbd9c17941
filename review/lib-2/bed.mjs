/**
 * Test bed of the scripts of this review: the project's program as separate
 * processes, by the command of the deploy file, before stand-ins on loopback.
 */

import { spawn } from "node:child_process";
import {
  appendFileSync,
  closeSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";

export const ROOT = join(dirname(fileURLToPath(import.meta.url)), "../..");
const { StoreStandIn } = await import(
  join(ROOT, "dist/platform/testing/store.js")
);
const { freeAddress } = await import(
  join(ROOT, "dist/platform/testing/http.js")
);

export { freeAddress, sleep };

/** Exit codes of a script. */
export const HELD = 0;
export const BROKEN = 1;
export const NOT_RUN = 2;

/** Bounds of a small deployment, as its settings file states them. */
export const BOUNDS = {
  contactMs: 3000,
  drainMs: 2000,
  graceS: 8,
  memoryMb: 350,
  maxFds: 4100,
};

/** True unless the script runs without its disruption. */
export const TROUBLE = process.env.TROUBLE !== "0";

/** Writes what was sent, answered and run, beside the script. */
export class Record {
  #path;
  #startedAt = performance.now();

  constructor(folder) {
    this.#path = join(folder, "record.txt");
    writeFileSync(this.#path, "");
  }

  line(text) {
    const seconds = ((performance.now() - this.#startedAt) / 1000).toFixed(3);
    appendFileSync(this.#path, `${seconds.padStart(8)} s  ${text}\n`);
  }
}

/** The words of the command of the role in the deploy file. */
function command() {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  return /^run = "([^"]+)"$/m.exec(text)[1].split(" ");
}

/** Running processes; none outlives the script. */
const RUNNING = new Set();
process.once("exit", () => RUNNING.forEach((child) => child.kill("SIGKILL")));
["SIGTERM", "SIGINT", "SIGHUP"].forEach((signal) =>
  process.once(signal, () => process.exit(NOT_RUN))
);

/** One process of the project. */
export class Entry {
  name;
  front;
  ready;
  /** How the process ended, if it did. */
  ended;
  /** Last lines that it wrote to its standard error. */
  errors = "";
  #child;
  #settingsPath;
  #logPath;

  constructor(dir, settings) {
    this.name = settings.name;
    this.front = settings.front;
    this.ready = settings.ready;
    this.#settingsPath = join(dir, `${settings.name}.json`);
    this.#logPath = join(dir, `${settings.name}.log`);
    writeFileSync(this.#settingsPath, JSON.stringify(settings));
  }

  /** `keepsLog`: whether its standard output is kept in a file. */
  start({ keepsLog = true } = {}) {
    const [program, ...args] = command();
    const log = keepsLog ? openSync(this.#logPath, "a") : "ignore";
    const { PATH, HOME, LANG } = process.env;
    this.ended = undefined;
    this.#child = spawn(program, args, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, CASSIAPOST_NODE_FILE: this.#settingsPath },
      stdio: ["ignore", log, "pipe"],
    });
    if (keepsLog) closeSync(log);
    const child = this.#child;
    RUNNING.add(child);
    this.#child.stderr.on("data", (bytes) => {
      this.errors = (this.errors + bytes).slice(-4000);
    });
    child.on("exit", (code, signal) => {
      RUNNING.delete(child);
      this.ended = { code, signal };
    });
  }

  get log() {
    return readFileSync(this.#logPath, "utf8");
  }

  signal(name) {
    if (this.#child && !this.ended) this.#child.kill(name);
  }

  async waitForExit() {
    while (this.#child && !this.ended) await sleep(20);
  }

  /** Resident memory and its peak, in MiB; undefined once it has ended. */
  memoryMb() {
    try {
      const text = readFileSync(`/proc/${this.#child.pid}/status`, "utf8");
      const of = (key) =>
        Number(new RegExp(`^${key}:\\s+(\\d+) kB$`, "m").exec(text)[1]) / 1024;
      return { now: of("VmRSS"), peak: of("VmHWM") };
    } catch {
      return undefined;
    }
  }

  async isReady() {
    try {
      const res = await fetch(`http://${this.ready}/api/readyz`, {
        signal: AbortSignal.timeout(1000),
      });
      await res.arrayBuffer();
      return res.status === 200;
    } catch {
      return false;
    }
  }
}

/** The processes, the store and a temporary folder. */
export class Bed {
  store = new StoreStandIn();
  entries = [];
  #dir = mkdtempSync(join(tmpdir(), "review-2-"));
  #stops = [];

  /** Starts the store and `count` processes; `zones` in turn. */
  static async start({ count, config, zones = ["z-a"], settings = {}, start }) {
    const bed = new Bed();
    const storeAddress = await bed.store.start();
    bed.store.put("op", "config", config);
    const addresses = [];
    for (let i = 0; i < count; i++) {
      addresses.push({
        front: await freeAddress(),
        ready: await freeAddress(),
        control: await freeAddress(),
      });
    }
    addresses.forEach((own, i) =>
      bed.entries.push(
        new Entry(bed.#dir, {
          name: `entry-${i}`,
          failureDomain: zones[i % zones.length],
          ...own,
          seeds: addresses.slice(0, 3).map(({ control }) => control),
          store: storeAddress,
          graceS: BOUNDS.graceS,
          bounds: { contactMs: BOUNDS.contactMs, drainMs: BOUNDS.drainMs },
          processor: { share: 0.513, speed: 1 },
          memoryMb: BOUNDS.memoryMb,
          maxDescriptors: BOUNDS.maxFds,
          repeats: { ratio: 0.2, windowS: 10, allowance: 56 },
          ...settings,
        }),
      )
    );
    bed.entries.forEach((entry) => entry.start(start));
    return bed;
  }

  /** Registers a server as it would in its row. */
  register(server, row) {
    this.store.put("servers", server.id, {
      service: server.service,
      address: server.address,
      zone: server.zone ?? "z-a",
      version: server.version ?? "v1",
      slots: 64,
      state: "ready",
      coldRemainingMs: 0,
      born: server.born,
      sequence: 1,
      ...row,
    });
  }

  onStop(stop) {
    this.#stops.push(stop);
  }

  /** Waits until all processes are ready; false after `ms`. */
  async ready(ms = 20_000) {
    const endAt = performance.now() + ms;
    while (performance.now() < endAt) {
      const all = await Promise.all(this.entries.map((one) => one.isReady()));
      if (all.every((one) => one)) return true;
      await sleep(100);
    }
    return false;
  }

  async stop() {
    this.entries.forEach((entry) => entry.signal("SIGKILL"));
    await Promise.all(this.entries.map((entry) => entry.waitForExit()));
    this.#stops.forEach((stop) => stop());
    this.store.stop();
    rmSync(this.#dir, { recursive: true, force: true });
  }
}

/** Returns a route of the operator's configuration. */
export function route(fields) {
  return {
    name: "r",
    hostname: "api.example",
    pathPrefix: "/r/",
    routeType: "safe",
    timeoutMs: 2000,
    targetLatencyMs: 1000,
    priority: 0,
    maxAttempts: 2,
    stages: [],
    public: false,
    ...fields,
  };
}

/** Returns a configuration with the limits of the sample deployment. */
export function configuration(fields) {
  return {
    version: 1,
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15_000,
    },
    tenants: [{ name: "t-a", apiKeys: ["key-a"], priority: 0 }],
    ...fields,
  };
}

/** Runs a case and ends the process with its exit code. */
export async function run(play) {
  let code = NOT_RUN;
  try {
    code = await play();
  } catch (err) {
    console.error(err);
  }
  process.exit(code);
}
