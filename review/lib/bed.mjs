/**
 * Parts that the cases share: the record, free loopback ports, the processes of
 * the deploy file, a stand-in of the platform's store and a caller.
 *
 * @module
 */

import { spawn } from "node:child_process";
import { appendFileSync, mkdtempSync, readFileSync, rmSync } from "node:fs";
import { writeFileSync } from "node:fs";
import { Agent, createServer, request } from "node:http";
import { createServer as createNetServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

export const ROOT = join(dirname(fileURLToPath(import.meta.url)), "../..");
const LOOPBACK = "127.0.0.1";
export const EXIT = { held: 0, broken: 1, notRun: 2 };
/** False when the case is played without its disruption. */
export const HAS_TROUBLE = process.env.TROUBLE !== "0";

const startedAt = performance.now();
export const now = () => performance.now() - startedAt;
export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Returns a generator of numbers from 0 to 1, the same for a seed. */
export function seeded(seed) {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let t = state;
    t = Math.imul(t ^ (t >>> 15), t | 1);
    t ^= t + Math.imul(t ^ (t >>> 7), t | 61);
    return ((t ^ (t >>> 14)) >>> 0) / 2 ** 32;
  };
}

let recordPath;

/** Begins the record of a case in its folder. */
export function openRecord(folder) {
  recordPath = join(folder, "record.txt");
  writeFileSync(recordPath, `trouble: ${HAS_TROUBLE ? "yes" : "no"}\n`);
}

/** Adds a line with the time in seconds to the record. */
export function note(line) {
  appendFileSync(recordPath, `${(now() / 1000).toFixed(3)} s  ${line}\n`);
}

/** Writes a line to the record and to the terminal. */
export function say(line) {
  note(line);
  console.log(line);
}

export function listen(server, port = 0) {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, LOOPBACK, () => {
      resolve(`${LOOPBACK}:${server.address().port}`);
    });
  });
}

export async function freePort() {
  const server = createNetServer();
  const address = await listen(server);
  await new Promise((resolve) => server.close(resolve));
  return address;
}

export async function readBody(message) {
  const chunks = [];
  for await (const chunk of message) chunks.push(chunk);
  return Buffer.concat(chunks).toString();
}

const TABLES_OF_OTHERS = ["op", "servers"];

/** The platform's store: rows, a feed and transactions, as PROTOCOL.md says. */
export class Store {
  rows = [];
  version = 0;
  era = 1;
  #waiting = new Set();
  #server = createServer((req, res) => {
    this.#serve(req, res).catch(() => res.destroy());
  });

  async start() {
    this.address = await listen(this.#server);
    return this;
  }

  stop() {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  put(table, key, value) {
    const text = JSON.stringify(value);
    this.#write({ table, key, value: Buffer.from(text).toString("base64") });
  }

  remove(table, key) {
    this.#write({ table, key, tombstone: true });
  }

  #write(row) {
    this.version += 1;
    this.rows = this.rows
      .filter((one) => one.table !== row.table || one.key !== row.key)
      .concat({ ...row, part: "", ver: this.version });
    this.#waiting.forEach((wake) => wake());
  }

  #live(table) {
    return this.rows.filter((row) => row.table === table && !row.tombstone);
  }

  async #serve(req, res) {
    const url = new URL(req.url, "http://store");
    const body = await readBody(req);
    const query = (name) => url.searchParams.get(name) ?? "";
    const send = (status, value) => {
      res.writeHead(status, {
        "content-type": "application/json",
        "store-era": String(this.era),
      });
      res.end(JSON.stringify({
        ver: this.version,
        nowMs: Math.round(now()),
        ...value,
      }));
    };
    if (url.pathname === "/api/rows-get") {
      const rows = this.#live(query("table"))
        .filter(({ key }) => key >= query("from"))
        .sort((a, b) => (a.key < b.key ? -1 : 1));
      return send(200, { rows, morePages: false });
    }
    if (url.pathname === "/api/rows-feed") {
      const after = Number(query("after"));
      if (after > this.version) return send(410, {});
      const changed = () =>
        this.rows.filter((row) =>
          row.table === query("table") && row.ver > after
        ).sort((a, b) => a.ver - b.ver);
      const endAt = now() + Number(query("waitMs"));
      while (changed().length === 0 && now() < endAt) {
        await new Promise((resolve) => {
          const wake = () => {
            clearTimeout(timer);
            this.#waiting.delete(wake);
            resolve();
          };
          const timer = setTimeout(wake, endAt - now());
          this.#waiting.add(wake);
        });
      }
      return send(200, { rows: changed() });
    }
    if (url.pathname === "/api/rows-tx") {
      const { put = [], remove = [], expectedRevision = [] } = JSON.parse(body);
      if ([...put, ...remove].some((r) => TABLES_OF_OTHERS.includes(r.table))) {
        return send(403, {});
      }
      const verOf = ({ table, key }) =>
        this.#live(table).find((row) => row.key === key)?.ver ?? 0;
      if (expectedRevision.some((row) => verOf(row) !== row.ver)) {
        return send(412, { rows: [] });
      }
      put.forEach(({ table, key, value }) =>
        this.#write({ table, key, value })
      );
      remove.forEach(({ table, key }) => this.remove(table, key));
      return send(200, {});
    }
    return send(404, {});
  }
}

/** Writes the row of a ready server, as the server itself would. */
export function registerServer(store, server, more = {}) {
  store.put("servers", server.id, {
    service: server.service,
    address: server.address,
    zone: "zone-a",
    version: "v1",
    slots: server.slots ?? 8,
    state: "ready",
    coldRemainingMs: 0,
    sequence: 1,
    born: server.born,
    ...more,
  });
}

/** Limits of callers as on the sheets of the sites. */
export const CALLER_LIMITS = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};

/** Returns a route of the operator's configuration. */
export function route(fields) {
  return {
    hostname: "jepu9.example",
    routeType: "safe",
    timeoutMs: 4_000,
    targetLatencyMs: 400,
    priority: 0,
    maxAttempts: 1,
    ...fields,
  };
}

/** Bounds of the sheets. */
export const BOUNDS = {
  contactMs: 3_000,
  drainMs: 2_000,
  graceS: 8,
  retryBudgetRatio: 0.2,
  budgetWindowS: 10,
  retryAllowance: 56,
};

/** Renders the template of the settings that the deploy file names. */
function renderTemplate(text, fields) {
  const valueOf = (path) =>
    path.split(".").reduce((value, name) => value?.[name], fields);
  return text
    .replace(
      /\{\{#([\w.]+)\}\}([\s\S]*?)\{\{\/\1\}\}/g,
      (_all, path, inner) => valueOf(path) === undefined ? "" : inner,
    )
    .replace(/\{\{([\w.]+)\|json\}\}/g, (_all, path) => {
      const value = valueOf(path);
      return value === undefined ? "null" : JSON.stringify(value);
    })
    .replace(/\{\{([\w.]+)\}\}/g, (_all, path) => String(valueOf(path) ?? ""));
}

const DEPLOY_FILE = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
const wordOf = (name) =>
  new RegExp(`^${name} = "(.*)"$`, "m").exec(DEPLOY_FILE)?.[1];

const running = new Set();
let folder;

/** Process of the role of the deploy file. */
export class Entry {
  /** Logged lines, newest last. */
  log = [];

  static async create(name, { store, seeds = [], zone = "zone-a" }) {
    const entry = new Entry();
    folder ??= mkdtempSync(join(tmpdir(), "cassiapost-review-"));
    const [frontend, ready, control, metrics] = await Promise.all(
      [0, 1, 2, 3].map(() => freePort()),
    );
    const template = readFileSync(join(ROOT, wordOf("template")), "utf8");
    const settings = renderTemplate(template, {
      nodeName: name,
      zone,
      ip: LOOPBACK,
      listen: { frontend, ready, control },
      portRange: [Number(metrics.split(":")[1])],
      seeds: [...seeds, control],
      platform: { address: store.address },
      bounds: BOUNDS,
      limits: { cpuShare: 0.513, cores: 1 },
    });
    entry.path = join(folder, `${name}.json`);
    writeFileSync(entry.path, settings);
    return Object.assign(entry, { name, frontend, ready, control });
  }

  start() {
    const [program, ...args] = wordOf("run").split(" ");
    const { PATH, HOME, LANG } = process.env;
    this.child = spawn(program, args, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, CASSIAPOST_NODE_FILE: this.path },
      stdio: ["ignore", "pipe", "pipe"],
    });
    running.add(this.child);
    const { child } = this;
    let rest = "";
    const read = (chunk) => {
      const lines = (rest + chunk).split("\n");
      rest = lines.pop();
      this.log.push(...lines);
    };
    child.stdout.on("data", read);
    child.stderr.on("data", read);
    this.ended = new Promise((resolve) =>
      child.once("exit", (code, signal) => {
        running.delete(child);
        note(`${this.name} ends: code ${code}, signal ${signal}`);
        resolve({ code, signal });
      })
    );
    return this;
  }

  signal(name) {
    note(`${name} to ${this.name}`);
    this.child.kill(name);
  }

  /** Status of the check of the load balancer; undefined without a response. */
  checkReady() {
    return new Promise((resolve) => {
      const req = request(`http://${this.ready}/api/readyz`, {
        timeout: 1_000,
        agent: false,
      }, (res) => {
        res.resume();
        resolve(res.statusCode);
      });
      req.on("timeout", () => req.destroy());
      req.on("error", () => resolve(undefined));
      req.end();
    });
  }

  async waitUntilReady(ms = 15_000) {
    const endAt = now() + ms;
    while (now() < endAt) {
      if (await this.checkReady() === 200) return;
      await sleep(50);
    }
    throw new Error(`${this.name} is not ready:\n${this.log.join("\n")}`);
  }
}

let requests = 0;
/** Returns the identifier of a new attempt of a client. */
export const nextId = (kind) =>
  `${kind}-${String(++requests).padStart(6, "0")}`;

/** Client with kept connections. */
export class Client {
  constructor(entry, { connections = 64 } = {}) {
    this.entry = entry;
    this.agent = new Agent({ keepAlive: true, maxSockets: connections });
  }

  /** Sends one attempt; resolves with how it ended, never rejects. */
  send({ id, path, method = "POST", headers = {}, body = "", deadlineMs }) {
    return new Promise((resolve) => {
      const sentAt = now();
      const done = (end) => resolve({ id, tookMs: now() - sentAt, ...end });
      const [host, port] = this.entry.frontend.split(":");
      const req = request({
        host,
        port,
        path,
        method,
        agent: this.agent,
        headers: {
          host: "jepu9.example",
          "request-id": id,
          "deadline-ms": String(deadlineMs),
          ...headers,
          "content-length": Buffer.byteLength(body),
        },
      }, async (res) => {
        try {
          const text = await readBody(res);
          const isWhole = res.complete;
          done({ status: res.statusCode, headers: res.headers, text, isWhole });
        } catch (err) {
          done({ status: res.statusCode, isWhole: false, error: err.code });
        }
      });
      const timer = setTimeout(() => {
        req.destroy();
        done({ error: "deadline" });
      }, deadlineMs + 500);
      req.on("close", () => clearTimeout(timer));
      req.on("error", (err) => done({ error: err.code ?? String(err) }));
      req.end(body);
    });
  }

  close() {
    this.agent.destroy();
  }
}

function cleanUp() {
  running.forEach((child) => child.kill("SIGKILL"));
  if (folder) rmSync(folder, { recursive: true, force: true });
}

/** Runs a case; `play` resolves with true if the rule was broken. */
export async function runCase(folder, play) {
  openRecord(folder);
  process.once("exit", cleanUp);
  ["SIGTERM", "SIGINT"].forEach((name) =>
    process.once(name, () => process.exit(EXIT.notRun))
  );
  try {
    const isBroken = await play();
    say(isBroken ? "the rule was broken" : "the rule held");
    process.exit(isBroken ? EXIT.broken : EXIT.held);
  } catch (err) {
    say(`could not run: ${err.stack}`);
    process.exit(EXIT.notRun);
  }
}
