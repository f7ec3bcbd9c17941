/**
 * Removes the registrations of processes whose hosts are gone.
 *
 * A process that runs writes its registration again, so that a wrong removal
 * costs little; the rate and the trust in the host list bound it further.
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

/** Mean time between two removals by one process, in milliseconds. */
const ROUND_MS = 60_000;
/** Time for which a host must be missing, in milliseconds. */
const MISSING_MS = 600_000;

/** What a cleaner is made of. */
export interface CleanerOptions {
  readonly table: Table;
  readonly members: Members;
  readonly hosts: HostsSync;
  readonly log: Logger;
}

/** Removes dead registrations, one a round. */
export class Cleaner {
  readonly #opts: CleanerOptions;

  constructor(opts: CleanerOptions) {
    this.#opts = opts;
  }

  /** Works until `signal` aborts. */
  run(signal: AbortSignal): void {
    const pauseMs = () => ROUND_MS * (0.5 + Math.random());
    void every(pauseMs, () => this.round(signal), signal);
  }

  /** Removes at most one dead registration. */
  async round(signal?: AbortSignal): Promise<void> {
    const dead = this.#dead();
    const row = dead[Math.floor(Math.random() * dead.length)];
    if (!row) return;
    const { table, log } = this.#opts;
    const done = await readMember(table, row.key, signal).andThen((member) =>
      writeMember(table, {
        ...member,
        row: { ...member.row, version: row.version },
      }, { value: null, signal })
    );
    done.map(({ committed }) => {
      if (committed) log.info("registration_removed", { key: row.key });
    });
  }

  #dead(): readonly Row[] {
    const { members, hosts } = this.#opts;
    const hostOf = (row: Row) => (row.value as { host: HostId }).host;
    const inUse = new Set(members.rows.map(hostOf));
    if (!hosts.judge(inUse).isTrusted) return [];
    const before = monotonicMs() - MISSING_MS;
    return members.rows.filter((row) => {
      const since = missingSince(hosts.state, hostOf(row));
      return since !== undefined && since <= before;
    });
  }
}
