/**
 * Records in the store which builds the pools of resumable streams have had, so
 * that an entry knows them right after its own restart.
 *
 * @module
 */

import { every, monotonicMs, sleep, timeoutSignal } from "../kernel/mod.ts";
import { rendezvousOrder } from "../routing/mod.ts";
import type { PoolBuild } from "../serving/mod.ts";
import type { Logger } from "../telemetry/mod.ts";
import type { FleetView } from "./fleet_view.ts";
import { StatePart, type StateSource } from "./ports.ts";

/**
 * Time from the start to the first check, in milliseconds: by then the entries
 * that start together know each other.
 */
const START_PAUSE_MS = 3_000;
/** Pause between checks for builds without a record, in milliseconds. */
const CHECK_PAUSE_MS = 500;
/** Pause between writes of one entry, in milliseconds. */
const WRITE_PAUSE_MS = 15_000;
/** Longest wait for the response to a write, in milliseconds. */
const WRITE_TIMEOUT_MS = 1_500;
/**
 * Time that each entry leaves to the one before it to record a build, in
 * milliseconds: a write and the feed that returns it.
 */
const TURN_MS = 2_500;
/** Number of entries that take turns; all others write after these. */
const MAX_TURNS = 4;
/** Most builds of one write, a limit of transactions. */
const MAX_BUILDS = 100;

/** Services that the recorder uses. */
export interface BuildRecorderDeps {
  readonly view: FleetView;
  readonly source: Pick<StateSource, "recordBuilds">;
  /** Name of this process. */
  readonly self: string;
  processes(): readonly string[];
  readonly log: Logger;
}

/** Writes missing records of builds until the store accepts them. */
export class BuildRecorder {
  readonly #deps: BuildRecorderDeps;
  /** Builds without a record, and the monotonic times of their first checks. */
  #pending: ReadonlyMap<string, { one: PoolBuild; noticedAt: number }> =
    new Map();
  #mayWriteAt = 0;

  constructor(deps: BuildRecorderDeps) {
    this.#deps = deps;
  }

  /** Checks for missing records until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    await sleep(START_PAUSE_MS, signal);
    await every(CHECK_PAUSE_MS, () => this.#round(signal), signal);
  }

  async #round(signal: AbortSignal): Promise<void> {
    const now = monotonicMs();
    this.#refreshPending(now);
    const builds = this.#due(now);
    if (builds.length === 0 || now < this.#mayWriteAt) return;
    this.#mayWriteAt = now + WRITE_PAUSE_MS;
    const { source, log } = this.#deps;
    const timeout = timeoutSignal(WRITE_TIMEOUT_MS, signal);
    const written = await source.recordBuilds(builds, timeout);
    const fields = {
      builds: builds.map(({ pool, build }) => `${pool}=${build}`).join(","),
    };
    if (written.isOk()) return log.info("builds_recorded", fields);
    log.warn("builds_not_recorded", { ...fields, reason: written.error.kind });
  }

  /** Builds that it is this entry's turn to record. */
  #due(now: number): readonly PoolBuild[] {
    return [...this.#pending.values()]
      .filter(({ one, noticedAt }) => noticedAt + this.#turnMs(one) <= now)
      .map(({ one }) => one)
      .slice(0, MAX_BUILDS);
  }

  #refreshPending(now: number): void {
    this.#pending = new Map(
      this.#missing().map((one) => {
        const key = keyOf(one);
        const noticedAt = this.#pending.get(key)?.noticedAt ?? now;
        return [key, { one, noticedAt }];
      }),
    );
  }

  /** Builds without a record, once the records have been read. */
  #missing(): readonly PoolBuild[] {
    const { view } = this.#deps;
    const hasRead = view.versionOf(StatePart.Peers) > 0;
    return hasRead ? view.unrecordedBuilds : [];
  }

  /** Time that other entries have to record a build first, in milliseconds. */
  #turnMs(one: PoolBuild): number {
    const order = rendezvousOrder(this.#deps.processes(), {
      key: keyOf(one),
      idOf: (name) => name,
    });
    const rank = order.indexOf(this.#deps.self);
    return TURN_MS * Math.min(rank, MAX_TURNS);
  }
}

function keyOf({ pool, build }: PoolBuild): string {
  return JSON.stringify([pool, build]);
}
