/**
 * Keeps the registration of this process.
 *
 * The row is written when it changes and only read in between, since writes
 * of the table service are scarce. A row that is missing is written again; a
 * row of a newer process makes this one yield.
 *
 * @module
 */

import { okAsync, type ResultAsync } from "neverthrow";
import { randomUUID } from "node:crypto";
import { every, sleep } from "../kernel/mod.ts";
import {
  decideRegistration,
  type Stamp,
  unregistered,
} from "../membership/mod.ts";
import type { PlatformError, Table } from "../store/mod.ts";
import type { Logger } from "../telemetry/mod.ts";
import { readMember, writeMember } from "./registry.ts";

/** Time between two looks at a standing registration, in milliseconds. */
const CHECK_MS = 15_000;
/** Time between two tries to register, in milliseconds. */
const RETRY_MS = 1_000;
/** Shortest wait, as a share of the usual one. */
const JITTER_FLOOR = 0.5;
/** Tries of one write that loses to other writers. */
const MAX_CONFLICTS = 8;
const CONFLICT_PAUSE_MS = 50;

/** What a registrar is made of. */
export interface RegistrarOptions {
  readonly table: Table;
  /** Key of the registration. */
  readonly key: string;
  /** What is registered, without the stamp. */
  readonly value: object;
  readonly log: Logger;
}

/** The registration of one process. */
export class Registrar {
  readonly #opts: RegistrarOptions;
  #stamp: Stamp = unregistered(randomUUID());
  #superseded = false;

  constructor(opts: RegistrarOptions) {
    this.#opts = opts;
  }

  /** True while another process holds the name. */
  get isSuperseded(): boolean {
    return this.#superseded;
  }

  /** Number of this registration among all that the name had; zero before. */
  get incarnation(): number {
    return this.#stamp.incarnation;
  }

  /** Registers and keeps the registration until `signal` aborts. */
  run(signal: AbortSignal): void {
    void every(() => this.#pauseMs(), () => this.check(signal), signal);
  }

  /** Looks at the registration and writes it where needed. */
  async check(signal?: AbortSignal): Promise<void> {
    for (let tries = 1; tries <= MAX_CONFLICTS; tries += 1) {
      const settled = await this.#tryOnce(signal);
      if (settled.isErr()) {
        const { message } = settled.error;
        this.#opts.log.warn("registration_failed", { detail: message });
        return;
      }
      if (settled.value) return;
      await sleep(jittered(CONFLICT_PAUSE_MS), signal);
    }
  }

  /** Marks the registration as leaving. */
  leave(): Promise<void> {
    this.#stamp = { ...this.#stamp, leaving: true };
    return this.check();
  }

  /** Removes the registration if it is still this process's. */
  async withdraw(): Promise<void> {
    const { table, key, log } = this.#opts;
    for (let tries = 1; tries <= MAX_CONFLICTS; tries += 1) {
      const done = await readMember(table, key).andThen((member) =>
        stampOf(member.row.value)?.instance === this.#stamp.instance
          ? writeMember(table, member, { value: null })
            .map(({ committed }) => committed)
          : okTrue(member)
      );
      if (done.isErr()) {
        log.warn("withdrawal_failed", { detail: done.error.message });
        return;
      }
      if (done.value) return;
      await sleep(jittered(CONFLICT_PAUSE_MS));
    }
  }

  /** Resolves with false when another writer came first. */
  #tryOnce(signal?: AbortSignal): ResultAsync<boolean, PlatformError> {
    const { table, key, value } = this.#opts;
    return readMember(table, key, signal).andThen((member) => {
      const found = stampOf(member.row.value);
      const step = decideRegistration(this.#stamp, found);
      this.#setSuperseded(step.kind === "yield", found);
      if (step.kind !== "write") {
        if (step.kind === "keep" && found) this.#stamp = found;
        return okTrue(member);
      }
      const row = { ...value, stamp: step.stamp };
      return writeMember(table, member, { value: row, signal })
        .map(({ committed }) => {
          if (committed) this.#stamp = step.stamp;
          return committed;
        });
    });
  }

  #setSuperseded(superseded: boolean, by?: Stamp): void {
    if (superseded === this.#superseded) return;
    this.#superseded = superseded;
    const { log, key } = this.#opts;
    if (superseded) {
      log.error("superseded", { key, by: by?.instance ?? "" });
    } else {
      log.info("no_longer_superseded", { key });
    }
  }

  #pauseMs(): number {
    return jittered(this.#stamp.incarnation === 0 ? RETRY_MS : CHECK_MS);
  }
}

function stampOf(value: unknown): Stamp | undefined {
  return (value as { stamp?: Stamp } | null)?.stamp;
}

function jittered(ms: number): number {
  return ms * (JITTER_FLOOR + (1 - JITTER_FLOOR) * Math.random());
}

function okTrue(_: unknown): ResultAsync<boolean, PlatformError> {
  return okAsync(true);
}
