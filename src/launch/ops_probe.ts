/**
 * Orders of the operations run and the times until they are in force.
 *
 * @module
 */

import { sleep } from "../kernel/mod.ts";
import type { Lists } from "../model/mod.ts";
import { HttpTable } from "../store/mod.ts";
import { HEAD_KEY, readLists } from "../process/mod.ts";
import { Durations } from "../telemetry/mod.ts";
import type { RunningDeployment } from "./deployment.ts";
import { type CommandEnd, runCommand, sightAll } from "./ops_watch.ts";

/** Time after an order at which nothing of the old may go on, in ms. */
export const SETTLE_MS = 5_500;
const MAX_TRIES = 20;
const RETRY_MS = 100;

/** Gives orders on one failure domain and checks what the processes do. */
export class OrderProbe {
  /** Times from an acceptance until a process had the change. */
  readonly inForce = new Durations();
  /** Times from a domain-out order until the domain's last new work. */
  readonly lastNewWork = new Durations();
  /** Checks that did not hold. */
  readonly failed: string[] = [];
  readonly #deployment: RunningDeployment;
  readonly #domain: string;
  readonly #table: HttpTable;

  constructor(deployment: RunningDeployment, domain: string) {
    this.#deployment = deployment;
    this.#domain = domain;
    this.#table = new HttpTable(deployment.topology.tableUrl);
  }

  /** Prints a check and remembers it when it does not hold. */
  expect(holds: boolean, what: string): void {
    if (!holds) this.failed.push(what);
    console.error(`${holds ? "ok" : "FAILED"}: ${what}`);
  }

  /** Gives an order and measures when it came into force. */
  async order(name: string, { out }: { out: boolean }): Promise<CommandEnd> {
    const action = out ? "out" : "in";
    const { version } = await this.standing();
    const end = await runCommand(this.#deployment, [
      "domain",
      action,
      this.#domain,
    ]);
    const acceptedAt = await this.#acceptedAt(version + 1);
    await sleep(Math.max(0, acceptedAt + SETTLE_MS - Date.now()));
    const seen = await sightAll(this.#deployment);
    seen.filter((one) => one.version === version + 1)
      .forEach(({ appliedAt }) => this.inForce.record(appliedAt - acceptedAt));
    const late = seen.filter((one) => one.version <= version && one.takesWork);
    const told = end.stdout.trim();
    this.expect(end.code === 0, `${name}: domain ${action}: ${told}`);
    this.expect(late.length === 0, `${name}: ${late.length} work as before`);
    if (out) {
      const last = seen.filter((one) => one.domain === this.#domain)
        .map(({ lastStartAt }) => lastStartAt - acceptedAt);
      this.lastNewWork.record(Math.max(0, ...last));
    }
    return end;
  }

  /** Gives an order again until its command ends with code 0. */
  async orderUntilDone(out: boolean): Promise<CommandEnd> {
    const args = ["domain", out ? "out" : "in", this.#domain];
    let end = await runCommand(this.#deployment, args);
    for (let i = 0; end.code !== 0 && i < MAX_TRIES; i += 1) {
      await sleep(RETRY_MS);
      end = await runCommand(this.#deployment, args);
    }
    return end;
  }

  /** Lists as they stand, read again while the table service fails. */
  async standing(): Promise<Lists> {
    let read = await readLists(this.#table);
    for (let i = 0; read.isErr() && i < MAX_TRIES; i += 1) {
      await sleep(RETRY_MS);
      read = await readLists(this.#table);
    }
    return read._unsafeUnwrap();
  }

  /** Wall-clock time at which an operator had a version accepted. */
  async #acceptedAt(version: number): Promise<number> {
    const read = await this.#table.read([HEAD_KEY]);
    const [row] = read._unsafeUnwrap();
    return row?.version === version
      ? (row.value as { acceptedAt: number }).acceptedAt
      : Date.now();
  }
}
