/**
 * Gives the orders of the operations run and measures the time until they are
 * in force.
 *
 * @module
 */

import { sleep } from "../kernel/mod.ts";
import type { Lists } from "../model/mod.ts";
import { HttpTable } from "../store/mod.ts";
import { HEAD_KEY, readLists } from "../process/mod.ts";
import { DurationHistogram } from "../telemetry/mod.ts";
import type { RunningDeployment } from "./deployment.ts";
import { type CommandResult, runCommand, sampleAll } from "./ops_watch.ts";

/** Time in which all processes end work under the old lists, in ms. */
export const SETTLE_MS = 5_500;
const MAX_TRIES = 20;
const RETRY_MS = 100;

/** Gives orders on a failure domain and checks how the processes apply them. */
export class OrderProbe {
  /** Times from the acceptance of a change until a process applied it. */
  readonly inForce = new DurationHistogram();
  /** Times from a domain-out order until the domain's last call started. */
  readonly lastNewWork = new DurationHistogram();
  /** Descriptions of the failed checks. */
  readonly failed: string[] = [];
  readonly #deployment: RunningDeployment;
  readonly #domain: string;
  readonly #table: HttpTable;

  constructor(deployment: RunningDeployment, domain: string) {
    this.#deployment = deployment;
    this.#domain = domain;
    this.#table = new HttpTable(deployment.topology.tableUrl);
  }

  /** Prints the result of a check and records a failed one. */
  expect(holds: boolean, what: string): void {
    if (!holds) this.failed.push(what);
    console.error(`${holds ? "ok" : "FAILED"}: ${what}`);
  }

  /** Gives an order and measures the time until it is in force. */
  async order(name: string, { out }: { out: boolean }): Promise<CommandResult> {
    const action = out ? "out" : "in";
    const { version } = await this.standing();
    const result = await runCommand(this.#deployment, [
      "domain",
      action,
      this.#domain,
    ]);
    const acceptedAt = await this.#acceptedAt(version + 1);
    await sleep(Math.max(0, acceptedAt + SETTLE_MS - Date.now()));
    const samples = await sampleAll(this.#deployment);
    samples.filter((one) => one.version === version + 1)
      .forEach(({ appliedAt }) => this.inForce.record(appliedAt - acceptedAt));
    const outdated = samples.filter((one) =>
      one.version <= version && one.acceptsWork
    );
    const output = result.stdout.trim();
    this.expect(result.code === 0, `${name}: domain ${action}: ${output}`);
    this.expect(
      outdated.length === 0,
      `${name}: ${outdated.length} still work under the old lists`,
    );
    if (out) {
      const last = samples.filter((one) => one.domain === this.#domain)
        .map(({ lastStartAt }) => lastStartAt - acceptedAt);
      this.lastNewWork.record(Math.max(0, ...last));
    }
    return result;
  }

  /** Retries an order until its command ends with code 0. */
  async orderUntilDone(out: boolean): Promise<CommandResult> {
    const args = ["domain", out ? "out" : "in", this.#domain];
    let result = await runCommand(this.#deployment, args);
    for (let i = 0; result.code !== 0 && i < MAX_TRIES; i += 1) {
      await sleep(RETRY_MS);
      result = await runCommand(this.#deployment, args);
    }
    return result;
  }

  /** Returns the stored lists; retries while the table service fails. */
  async standing(): Promise<Lists> {
    let read = await readLists(this.#table);
    for (let i = 0; read.isErr() && i < MAX_TRIES; i += 1) {
      await sleep(RETRY_MS);
      read = await readLists(this.#table);
    }
    return read._unsafeUnwrap();
  }

  /** Returns the wall-clock time at which a version was accepted. */
  async #acceptedAt(version: number): Promise<number> {
    const read = await this.#table.read([HEAD_KEY]);
    const [row] = read._unsafeUnwrap();
    return row?.version === version
      ? (row.value as { acceptedAt: number }).acceptedAt
      : Date.now();
  }
}
