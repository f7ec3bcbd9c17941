/**
 * Maintains the registration of this process.
 *
 * The row is written only when it changes and is otherwise just read, since the
 * write capacity of the table service is limited. A missing row is written
 * again; when the row belongs to a newer process, this process leaves it and
 * counts as superseded.
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

/** Maximum time between two checks of a registration, in milliseconds. */
const CHECK_PERIOD_MS = 15_000;
/** Maximum time between two attempts to register, in milliseconds. */
const RETRY_PERIOD_MS = 1_000;
/** Minimum of a randomised pause, as a share of its maximum. */
const MIN_PAUSE_SHARE = 0.5;
/** Maximum number of attempts when a write conflicts with other writers. */
const MAX_WRITE_ATTEMPTS = 8;
/** Maximum pause after a conflicting write, in milliseconds. */
const CONFLICT_PAUSE_MS = 50;

/** Options of a {@linkcode Registrar}. */
export interface RegistrarOptions {
  readonly table: Table;
  /** Key of the registration. */
  readonly key: string;
  /** Value of the registration, without the stamp. */
  readonly value: object;
  readonly log: Logger;
}

/** Maintains the registration of one process. */
export class Registrar {
  readonly #opts: RegistrarOptions;
  #stamp: Stamp = unregistered(randomUUID());
  #superseded = false;

  constructor(opts: RegistrarOptions) {
    this.#opts = opts;
  }

  /** True while a newer process is registered under the same name. */
  get isSuperseded(): boolean {
    return this.#superseded;
  }

  /**
   * Number of this registration among all under its key; zero before the first
   * write.
   */
  get incarnation(): number {
    return this.#stamp.incarnation;
  }

  /** Registers and maintains the registration until `signal` aborts. */
  run(signal: AbortSignal): void {
    void every(() => this.#pauseMs(), () => this.check(signal), signal);
  }

  /** Checks the registration and writes it if needed. */
  async check(signal?: AbortSignal): Promise<void> {
    for (let attempt = 1; attempt <= MAX_WRITE_ATTEMPTS; attempt += 1) {
      const result = await this.#checkOnce(signal);
      if (result.isErr()) {
        const { message } = result.error;
        this.#opts.log.warn("registration_failed", { detail: message });
        return;
      }
      if (result.value) return;
      await sleep(jittered(CONFLICT_PAUSE_MS), signal);
    }
  }

  /** Marks the registration as leaving. */
  leave(): Promise<void> {
    this.#stamp = { ...this.#stamp, leaving: true };
    return this.check();
  }

  /** Removes the registration if it still belongs to this process. */
  async withdraw(): Promise<void> {
    const { table, key, log } = this.#opts;
    for (let attempt = 1; attempt <= MAX_WRITE_ATTEMPTS; attempt += 1) {
      const result = await readMember(table, key).andThen((member) =>
        stampOf(member.row.value)?.instance === this.#stamp.instance
          ? writeMember(table, member, { value: null })
            .map(({ committed }) => committed)
          : okTrue(member)
      );
      if (result.isErr()) {
        log.warn("withdrawal_failed", { detail: result.error.message });
        return;
      }
      if (result.value) return;
      await sleep(jittered(CONFLICT_PAUSE_MS));
    }
  }

  /** Resolves to false when the write conflicted with another writer. */
  #checkOnce(signal?: AbortSignal): ResultAsync<boolean, PlatformError> {
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
    return jittered(
      this.#stamp.incarnation === 0 ? RETRY_PERIOD_MS : CHECK_PERIOD_MS,
    );
  }
}

function stampOf(value: unknown): Stamp | undefined {
  return (value as { stamp?: Stamp } | null)?.stamp;
}

function jittered(ms: number): number {
  return ms * (MIN_PAUSE_SHARE + (1 - MIN_PAUSE_SHARE) * Math.random());
}

function okTrue(_: unknown): ResultAsync<boolean, PlatformError> {
  return okAsync(true);
}
