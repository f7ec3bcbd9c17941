/**
 * Starts and stops the processes of a deployment. A development tool: the
 * daemons themselves start no processes.
 *
 * @module
 */

import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { mkdirSync, openSync, rmSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { type Dispatcher, request } from "undici";
import { sleep } from "../kernel/mod.ts";
import type { Topology } from "./topology.ts";

const CLI_PATH = fileURLToPath(new URL("../cli/main.js", import.meta.url));
const STAND_IN_PATH = fileURLToPath(
  new URL("./standin_main.js", import.meta.url),
);

const READY_POLL_MS = 50;
const READY_TIMEOUT_MS = 60_000;
const LOG_FLAGS = "a";

/** A started process. */
interface Member {
  readonly name: string;
  readonly start: () => ChildProcess;
  child: ChildProcess;
}

/** The processes of one deployment. */
export class Fleet {
  readonly #members = new Map<string, Member>();
  readonly #dir: string;

  constructor(dir: string) {
    rmSync(dir, { recursive: true, force: true });
    mkdirSync(dir, { recursive: true });
    this.#dir = dir;
    process.once("exit", () => this.#killAll());
  }

  /** Starts the stand-ins of the platform and of the targets. */
  startStandIns(topology: Topology): void {
    this.#startStandIn("platform", topology.platform);
    topology.targets.forEach((cfg, i) =>
      this.#startStandIn(`targets-${i + 1}`, cfg)
    );
  }

  /** Starts the agents and the entries. */
  startSystem(topology: Topology): void {
    topology.agents.forEach((cfg) => this.#startDaemon("agent", cfg));
    topology.entries.forEach((cfg) => this.#startDaemon("entry", cfg));
  }

  /** Returns the names of the processes that start with `prefix`. */
  names(prefix: string): readonly string[] {
    return [...this.#members.keys()].filter((name) => name.startsWith(prefix));
  }

  /** Returns the process identifier of the operating system. */
  pid(name: string): number {
    return this.#member(name).child.pid ?? 0;
  }

  /** Sends a signal to a process. */
  signal(name: string, signal: NodeJS.Signals): void {
    this.#member(name).child.kill(signal);
  }

  /** Starts a process again with the same settings. */
  restart(name: string): void {
    const member = this.#member(name);
    member.child = member.start();
  }

  /** Sends SIGTERM to a process and resolves with its exit code. */
  async stop(name: string): Promise<number> {
    const { child } = this.#member(name);
    if (child.exitCode !== null) return child.exitCode;
    if (child.signalCode !== null) return 1;
    const exited = once(child, "exit");
    child.kill("SIGTERM");
    const [code] = await exited;
    return (code as number | null) ?? 1;
  }

  /** Stops the agents and entries first, then the stand-ins. */
  async stopAll(): Promise<void> {
    const isStandIn = (name: string) => /^(platform|targets-)/.test(name);
    const names = [...this.#members.keys()];
    await Promise.all(
      names.filter((name) => !isStandIn(name)).map((name) => this.stop(name)),
    );
    await Promise.all(names.filter(isStandIn).map((name) => this.stop(name)));
  }

  #killAll(): void {
    this.#members.forEach(({ child }) => child.kill("SIGKILL"));
  }

  #startDaemon(role: "agent" | "entry", cfg: { name: string }): void {
    const file = this.#write(cfg.name, cfg);
    this.#start(cfg.name, [CLI_PATH, role, "--settings", file]);
  }

  #startStandIn(name: string, cfg: object): void {
    this.#start(name, [STAND_IN_PATH, this.#write(name, cfg)]);
  }

  #write(name: string, cfg: object): string {
    const file = join(this.#dir, `${name}.json`);
    writeFileSync(file, JSON.stringify(cfg, null, 2));
    return file;
  }

  #start(name: string, args: readonly string[]): void {
    const log = openSync(join(this.#dir, `${name}.log`), LOG_FLAGS);
    const start = () =>
      spawn(process.execPath, ["--enable-source-maps", ...args], {
        stdio: ["ignore", log, log],
      });
    this.#members.set(name, { name, start, child: start() });
  }

  #member(name: string): Member {
    const member = this.#members.get(name);
    if (!member) throw new Error(`Unknown process: ${name}`);
    return member;
  }
}

/** Resolves when `GET url` responds with status 200. */
export async function waitReady(
  url: string,
  dispatcher?: Dispatcher,
): Promise<void> {
  const until = Date.now() + READY_TIMEOUT_MS;
  while (Date.now() < until) {
    if (await isReady(url, dispatcher)) return;
    await sleep(READY_POLL_MS);
  }
  throw new Error(`Not ready after ${READY_TIMEOUT_MS} ms: ${url}`);
}

async function isReady(
  url: string,
  dispatcher?: Dispatcher,
): Promise<boolean> {
  try {
    const res = await request(url, { dispatcher });
    await res.body.dump();
    return res.statusCode === 200;
  } catch {
    return false;
  }
}
