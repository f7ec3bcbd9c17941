/**
 * Keeps the row of the store with the default origins in line with the builds
 * and routes that are in use.
 *
 * @module
 */

import { every, monotonicMs, timeoutSignal } from "../kernel/mod.ts";
import { rendezvousOrder } from "../routing/mod.ts";
import {
  type DefaultOrigins,
  type ListedPeer,
  RecentOrigins,
} from "../serving/mod.ts";
import type { Logger, Metrics } from "../telemetry/mod.ts";
import type { DefaultsRead, OriginFleet, OriginStore } from "./ports.ts";

/** Pause between checks of what is in use, in milliseconds. */
const CHECK_PAUSE_MS = 1_000;
/**
 * Age from which the row is read again, in milliseconds; with the checks and the
 * timeout well below `SETTLE_MS`.
 */
const REFRESH_MS = 4_000;
/**
 * Time from the start to the first write, in milliseconds: by then the entries
 * that start together know each other.
 */
const START_PAUSE_MS = 3_000;
/** Longest wait for a response of the store, in milliseconds. */
const CALL_TIMEOUT_MS = 1_500;
/** Time that each entry leaves to the one before it to write, in ms. */
const TURN_MS = 5_000;
/** Number of entries that take turns; all others write after these. */
const MAX_TURNS = 4;

/** Services that the keeper uses. */
export interface DefaultOriginKeeperDeps {
  readonly store: Pick<OriginStore, "readDefaults" | "writeDefaults">;
  readonly self: ListedPeer;
  readonly fleet: Pick<OriginFleet, "observed" | "peers" | "storeEra">;
  readonly log: Logger;
  readonly metrics: Metrics;
}

/** Reads the default origins, and writes them when it is this entry's turn. */
export class DefaultOriginKeeper {
  readonly #deps: DefaultOriginKeeperDeps;
  #read: DefaultsRead | undefined;
  #readAt = Number.NEGATIVE_INFINITY;
  readonly #startedAt = monotonicMs();
  #recent = new RecentOrigins(this.#startedAt);
  /** Monotonic time since which the row differs from what it should be. */
  #differsSince: number | undefined;

  constructor(deps: DefaultOriginKeeperDeps) {
    this.#deps = deps;
  }

  /** Default origins in force; undefined while none are known. */
  get current(): DefaultOrigins | undefined {
    const defaults = this.#read?.row?.defaults;
    return defaults?.era === this.#deps.fleet.storeEra() ? defaults : undefined;
  }

  /** Keeps the row up to date until `signal` aborts. */
  run(signal: AbortSignal): void {
    every(CHECK_PAUSE_MS, () => this.#round(signal), signal);
  }

  async #round(signal: AbortSignal): Promise<void> {
    if (monotonicMs() >= this.#readAt + REFRESH_MS) await this.#refresh(signal);
    const observed = this.#deps.fleet.observed();
    if (!observed) return;
    const now = monotonicMs();
    this.#recent = this.#recent.next(observed, now)
      .withMissing(this.current, now);
    await this.#writeIfDue(signal);
  }

  async #refresh(signal: AbortSignal): Promise<void> {
    const { store, log } = this.#deps;
    const startedAt = monotonicMs();
    const read = await store.readDefaults(
      timeoutSignal(CALL_TIMEOUT_MS, signal),
    );
    if (read.isErr()) {
      return log.warn("default_origins_unread", { reason: read.error.kind });
    }
    const before = this.#read;
    this.#read = read.value;
    this.#readAt = startedAt;
    if (before?.row?.version === read.value.row?.version) return;
    log.info("default_origins_read", this.#fieldsOf(read.value));
  }

  async #writeIfDue(signal: AbortSignal): Promise<void> {
    const read = this.#read;
    const era = this.#deps.fleet.storeEra();
    if (!read || read.era !== era) return;
    const known = read.row?.defaults;
    const now = monotonicMs();
    const next = this.#recent.defaultsAfter(known, { era, now });
    const isEmpty = !known && next.routes.length === 0;
    if (isEmpty || isSame(known, next)) {
      this.#differsSince = undefined;
      return;
    }
    this.#differsSince ??= now;
    if (now < this.#startedAt + START_PAUSE_MS) return;
    if (now < this.#differsSince + this.#turnMs()) return;
    await this.#write(next, read.row?.version ?? 0, signal);
  }

  async #write(
    next: DefaultOrigins,
    expected: number,
    signal: AbortSignal,
  ): Promise<void> {
    const { store, log, metrics } = this.#deps;
    const written = await store.writeDefaults(
      next,
      expected,
      timeoutSignal(CALL_TIMEOUT_MS, signal),
    );
    const outcome = written.match(
      (isWritten) => isWritten ? "ok" : "superseded",
      ({ kind }) => kind,
    );
    metrics.count("default_origins_writes_total", { outcome });
    log.info("default_origins_write", {
      outcome,
      era: next.era,
      builds: buildsOf(next),
      routes: next.routes.length,
    });
    this.#differsSince = undefined;
    if (written.isOk()) await this.#refresh(signal);
  }

  /** Time that other entries have to write first, in milliseconds. */
  #turnMs(): number {
    const { fleet, self } = this.#deps;
    const names = fleet.peers().map(({ name }) => name);
    const order = rendezvousOrder([...new Set([...names, self.name])], {
      key: "default-origins",
      idOf: (name) => name,
    });
    return TURN_MS * Math.min(order.indexOf(self.name), MAX_TURNS);
  }

  #fieldsOf({ era, row }: DefaultsRead): Record<string, string | number> {
    return {
      era,
      version: row?.version ?? 0,
      rowEra: row?.defaults.era ?? -1,
      builds: row ? buildsOf(row.defaults) : "",
      routes: row?.defaults.routes.length ?? 0,
    };
  }
}

function buildsOf({ builds }: DefaultOrigins): string {
  return builds.map(({ pool, build }) => `${pool}=${build}`).join(",");
}

function isSame(known: DefaultOrigins | undefined, next: DefaultOrigins) {
  const textOf = ({ era, builds, routes }: DefaultOrigins) =>
    JSON.stringify([era, builds, routes]);
  return known !== undefined && textOf(known) === textOf(next);
}
