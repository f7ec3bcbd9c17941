/**
 * Follows the platform's host list.
 *
 * @module
 */

import { monotonicMs } from "../kernel/mod.ts";
import {
  applyHostList,
  type HostsState,
  type HostVerdict,
  judgeHosts,
} from "../membership/mod.ts";
import type { HostId } from "../model/mod.ts";
import { type HostList, HostState } from "../store/mod.ts";
import type { Logger } from "../telemetry/mod.ts";

/** Shortest time between two reads, in milliseconds. */
const MIN_READ_MS = 2_000;
/**
 * Further time for each listed host, in milliseconds. It bounds what the list
 * costs: about 70 bytes a host make some 4 kB/s.
 */
const READ_MS_PER_HOST = 17;

/** The host list as this process has read it. */
export class HostsSync {
  readonly #hosts: HostList;
  readonly #log: Logger;
  #state: HostsState = new Map();
  #readAt = -Infinity;
  #isTrusted = true;

  constructor(opts: { hosts: HostList; log: Logger }) {
    this.#hosts = opts.hosts;
    this.#log = opts.log;
  }

  /** Evidence from the lists read so far. */
  get state(): HostsState {
    return this.#state;
  }

  /** Reads the list when it is due. */
  async refresh(signal?: AbortSignal): Promise<void> {
    const now = monotonicMs();
    const dueMs = Math.max(MIN_READ_MS, this.#state.size * READ_MS_PER_HOST);
    if (now - this.#readAt < dueMs) return;
    const read = await this.#hosts.list(signal);
    read.match(
      (entries) => {
        this.#readAt = now;
        const listed = entries.map(({ host, state }) => ({
          host,
          isLeaving: state === HostState.Leaving,
        }));
        this.#state = applyHostList(this.#state, listed, monotonicMs());
      },
      (err) => this.#log.warn("host_list_failed", { detail: err.message }),
    );
  }

  /** Judges the hosts in use. */
  judge(inUse: ReadonlySet<HostId>): HostVerdict {
    const verdict = judgeHosts(this.#state, inUse, monotonicMs());
    if (verdict.isTrusted !== this.#isTrusted) {
      this.#isTrusted = verdict.isTrusted;
      this.#log.warn("host_list_trust", {
        trusted: verdict.isTrusted,
        missing: verdict.missing.size,
        in_use: inUse.size,
      });
    }
    return verdict;
  }
}
