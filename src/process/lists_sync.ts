/**
 * Keeps a process's lists up to date and remembers when they were last
 * confirmed to be the newest.
 *
 * @module
 */

import {
  confirm,
  confirmedAge,
  type Freshness,
  MAX_CONFIRMED_AGE_MS,
} from "../freshness/mod.ts";
import { every, invariant, monotonicMs } from "../kernel/mod.ts";
import { EMPTY_LISTS, type Lists } from "../model/mod.ts";
import type { Table } from "../platform/mod.ts";
import type { Logger } from "../telemetry/mod.ts";
import { readNewerLists } from "./lists_store.ts";

/** Time between two looks at the table service, in milliseconds. */
const POLL_MS = 1_000;

/** The lists that are in force in this process. */
export class ListsSync {
  readonly #table: Table;
  readonly #log: Logger;
  #lists: Lists = EMPTY_LISTS;
  #freshness: Freshness = {};

  constructor(opts: { table: Table; log: Logger }) {
    this.#table = opts.table;
    this.#log = opts.log;
  }

  /** Lists in force. */
  get current(): Lists {
    return this.#lists;
  }

  /** Time since the lists were last confirmed newest, in milliseconds. */
  get confirmedAgeMs(): number {
    return confirmedAge(this.#freshness, monotonicMs());
  }

  /** True while the process may take new work under its lists. */
  get isConfirmed(): boolean {
    return this.#lists.version > 0 &&
      this.confirmedAgeMs <= MAX_CONFIRMED_AGE_MS;
  }

  /** Follows the table service until `signal` aborts. */
  run(signal: AbortSignal): void {
    void every(POLL_MS, () => this.#poll(signal), signal);
  }

  /** Puts newer lists in force; older ones are never applied. */
  apply(lists: Lists): void {
    if (lists.version <= this.#lists.version) return;
    const before = this.#lists.version;
    this.#lists = lists;
    invariant(this.#lists.version > before, "lists-version-grows");
    this.#log.info("lists_in_force", { version: lists.version });
  }

  async #poll(signal: AbortSignal): Promise<void> {
    const askedAt = monotonicMs();
    const newer = await readNewerLists(
      this.#table,
      this.#lists.version,
      signal,
    );
    newer.match(
      (lists) => {
        if (lists) this.apply(lists);
        this.#freshness = confirm(this.#freshness, { now: askedAt, ageMs: 0 });
      },
      (err) =>
        this.#log.warn("lists_poll_failed", {
          kind: err.kind,
          detail: err.message,
        }),
    );
  }
}
