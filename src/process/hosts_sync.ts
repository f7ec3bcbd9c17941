/**
 * Periodic reads of the platform's host list.
 *
 * @module
 */

import { monotonicMs } from "../kernel/mod.ts";
import {
  applyHostList,
  assessHosts,
  type HostAssessment,
  type HostsState,
} from "../membership/mod.ts";
import type { HostId } from "../model/mod.ts";
import { type HostList, HostState } from "../store/mod.ts";
import type { Logger } from "../telemetry/mod.ts";

/** Minimum time between two reads, in milliseconds. */
const MIN_READ_PERIOD_MS = 2_000;
/**
 * Time between two reads for each known host, in milliseconds. It bounds the
 * traffic of the list: at about 70 bytes per host to some 4 kB/s.
 */
const READ_PERIOD_MS_PER_HOST = 17;

/** The host list as last read by this process. */
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

  /** Records of the hosts, from all lists read so far. */
  get state(): HostsState {
    return this.#state;
  }

  /** Reads the list if the time between two reads has passed. */
  async refresh(signal?: AbortSignal): Promise<void> {
    const now = monotonicMs();
    const readPeriodMs = Math.max(
      MIN_READ_PERIOD_MS,
      this.#state.size * READ_PERIOD_MS_PER_HOST,
    );
    if (now - this.#readAt < readPeriodMs) return;
    const result = await this.#hosts.list(signal);
    result.match(
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

  /**
   * Returns the availability of the hosts in use; logs when the list becomes
   * trusted or untrusted.
   */
  assess(inUse: ReadonlySet<HostId>): HostAssessment {
    const assessment = assessHosts(this.#state, inUse, monotonicMs());
    if (assessment.isTrusted !== this.#isTrusted) {
      this.#isTrusted = assessment.isTrusted;
      this.#log.warn("host_list_trust", {
        trusted: assessment.isTrusted,
        missing: assessment.missing.size,
        in_use: inUse.size,
      });
    }
    return assessment;
  }
}
