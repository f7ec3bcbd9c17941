/**
 * Removes the registrations of processes whose hosts no longer exist.
 *
 * A wrong removal does little harm, since a running process writes its
 * registration again. The removal rate is limited, and nothing is removed while
 * the host list is not trusted.
 *
 * @module
 */

import { every, monotonicMs } from "../kernel/mod.ts";
import { missingSince } from "../membership/mod.ts";
import type { HostId } from "../model/mod.ts";
import type { Row, Table } from "../store/mod.ts";
import type { Logger } from "../telemetry/mod.ts";
import type { HostsSync } from "./hosts_sync.ts";
import type { Members } from "./members.ts";
import { readMember, writeMember } from "./registry.ts";

/**
 * Mean time between two rounds of one process, in milliseconds. A round removes
 * at most one registration.
 */
const ROUND_PERIOD_MS = 60_000;
/**
 * Time for which a host must be missing from the host list before its
 * registrations are removed, in milliseconds.
 */
const REMOVE_AFTER_MISSING_MS = 600_000;

/** Options of a {@linkcode RegistrationCleaner}. */
export interface CleanerOptions {
  readonly table: Table;
  readonly members: Members;
  readonly hosts: HostsSync;
  readonly log: Logger;
}

/** Removes stale registrations, at most one per round. */
export class RegistrationCleaner {
  readonly #opts: CleanerOptions;

  constructor(opts: CleanerOptions) {
    this.#opts = opts;
  }

  /** Runs rounds until `signal` aborts. */
  run(signal: AbortSignal): void {
    const pauseMs = () => ROUND_PERIOD_MS * (0.5 + Math.random());
    void every(pauseMs, () => this.round(signal), signal);
  }

  /** Removes at most one stale registration, chosen at random. */
  async round(signal?: AbortSignal): Promise<void> {
    const stale = this.#staleRows();
    const row = stale[Math.floor(Math.random() * stale.length)];
    if (!row) return;
    const { table, log } = this.#opts;
    const result = await readMember(table, row.key, signal).andThen((member) =>
      writeMember(table, {
        ...member,
        row: { ...member.row, version: row.version },
      }, { value: null, signal })
    );
    result.map(({ committed }) => {
      if (committed) log.info("registration_removed", { key: row.key });
    });
  }

  #staleRows(): readonly Row[] {
    const { members, hosts } = this.#opts;
    const hostOf = (row: Row) => (row.value as { host: HostId }).host;
    const inUse = new Set(members.rows.map(hostOf));
    if (!hosts.assess(inUse).isTrusted) return [];
    const cutoff = monotonicMs() - REMOVE_AFTER_MISSING_MS;
    return members.rows.filter((row) => {
      const since = missingSince(hosts.state, hostOf(row));
      return since !== undefined && since <= cutoff;
    });
  }
}
