/**
 * Keeps an entry's beliefs about the fleet up to date, from the platform's
 * store and, while the store cannot be heard, from other entries.
 *
 * @module
 */

import { monotonicMs, sleep, timeoutSignal } from "../kernel/mod.ts";
import { FleetState, type StateChange } from "../serving/mod.ts";
import type { Logger, Metrics } from "../telemetry/mod.ts";
import { type SourceError, StatePart, type StateSource } from "./ports.ts";

/** How each part of the state is followed. Times are in milliseconds. */
interface FollowSpec {
  /** Longest wait of one call for a change. */
  readonly waitMs: number;
  /** Pause between calls, so that frequent changes share one. */
  readonly pauseMs: number;
}

const FOLLOW: Readonly<Record<StatePart, FollowSpec>> = {
  [StatePart.Configuration]: { waitMs: 1_000, pauseMs: 0 },
  [StatePart.Targets]: { waitMs: 1_000, pauseMs: 400 },
  [StatePart.Peers]: { waitMs: 10_000, pauseMs: 1_000 },
};

/** Longest time that an answer may take beyond its wait, in milliseconds. */
const ANSWER_SLACK_MS = 900;
/** Pause after a call that failed, in milliseconds. */
const RETRY_PAUSE_MS = 300;
/** Time of silence after which an entry counts as cut off from the store. */
export const STORE_SILENCE_MS = 1_500;
/**
 * Time after the store's return in which missing entries may have lapsed, in
 * milliseconds: entries are dropped after three missed heartbeats.
 */
const LAPSE_WINDOW_MS = 4_000;

/** Beliefs about the fleet and the tasks that keep them current. */
export class FleetView {
  readonly #source: StateSource;
  readonly #log: Logger;
  readonly #metrics: Metrics;
  #state = new FleetState();
  readonly #versions = new Map<StatePart, number>();
  /**
   * Parts that have to be read whole. What peers tell does not make up for it:
   * they may have lost the same changes.
   */
  readonly #unread = new Set<StatePart>(Object.values(StatePart));
  readonly #listeners = new Set<(state: FleetState) => void>();
  /** Monotonic time of the newest answer of the store. */
  #heardAt = Number.NEGATIVE_INFINITY;
  #failedAt = Number.NEGATIVE_INFINITY;
  #isAway = false;

  constructor(
    deps: { source: StateSource; log: Logger; metrics: Metrics },
  ) {
    this.#source = deps.source;
    this.#log = deps.log;
    this.#metrics = deps.metrics;
  }

  get state(): FleetState {
    return this.#state;
  }

  /** Version up to which a part is known. */
  versionOf(part: StatePart): number {
    return this.#versions.get(part) ?? 0;
  }

  /** Time since the store last answered, in milliseconds. */
  get storeAgeMs(): number {
    return monotonicMs() - this.#heardAt;
  }

  /** Calls `listen` after each change. */
  onChange(listen: (state: FleetState) => void): void {
    this.#listeners.add(listen);
  }

  /** Follows all parts until `signal` aborts. */
  run(signal: AbortSignal): void {
    Object.values(StatePart).forEach((part) => this.#follow(part, signal));
  }

  /** Takes over what a peer knows. */
  learn(
    changes: readonly StateChange[],
    versions: Partial<Record<StatePart, number>>,
  ): void {
    this.#apply(changes, "peer");
    Object.values(StatePart).forEach((part) => {
      const version = versions[part];
      if (version !== undefined && version > this.versionOf(part)) {
        this.#versions.set(part, version);
      }
    });
  }

  async #follow(part: StatePart, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const isOk = await this.#step(part, signal);
      if (isOk && this.#unread.has(part)) continue;
      await sleep(isOk ? FOLLOW[part].pauseMs : RETRY_PAUSE_MS, signal);
    }
  }

  /** One call to the store; false when it failed. */
  async #step(part: StatePart, signal: AbortSignal): Promise<boolean> {
    const isWhole = this.#unread.has(part);
    const after = this.versionOf(part);
    const { waitMs } = FOLLOW[part];
    const limit = timeoutSignal(
      (isWhole ? 0 : waitMs) + ANSWER_SLACK_MS,
      signal,
    );
    const read = isWhole
      ? await this.#source.snapshot(part, limit)
      : await this.#source.follow(part, { after, waitMs }, limit);
    if (signal.aborted) return false;
    if (read.isErr()) return this.#failed(part, read.error);
    this.#heard();
    const { changes, version } = read.value;
    this.#unread.delete(part);
    const all = isWhole ? this.#withMissing(part, read.value) : changes;
    this.#apply(all.map((change) => this.#withLapse(change)), "store");
    this.#versions.set(part, Math.max(version, this.versionOf(part)));
    return true;
  }

  #failed(part: StatePart, error: SourceError): boolean {
    this.#metrics.count("store_failures_total", { kind: error.kind });
    if (error.kind === "history-lost") {
      this.#log.warn("store_history_lost", { part });
      this.#heard();
      this.#unread.add(part);
      return true;
    }
    this.#failedAt = monotonicMs();
    if (!this.#isAway) {
      this.#isAway = true;
      this.#log.warn("store_lost", { part, detail: error.detail });
    }
    return false;
  }

  #heard(): void {
    this.#heardAt = monotonicMs();
    if (!this.#isAway) return;
    this.#isAway = false;
    this.#log.info("store_regained", {});
  }

  /** A full read lists no targets that are gone: adds their removal. */
  #withMissing(
    part: StatePart,
    read: { changes: readonly StateChange[]; version: number },
  ): readonly StateChange[] {
    if (part === StatePart.Peers) return read.changes;
    const { version } = read;
    const present = new Set(read.changes.map(keyOf));
    const gone = this.#state.changes()
      .filter((change) =>
        part === StatePart.Targets
          ? change.kind === "target"
          : change.kind === "domain" && change.isOut
      )
      .filter((change) => !present.has(keyOf(change)))
      .map((change): StateChange =>
        change.kind === "target"
          ? { kind: "target", version, id: change.id }
          : { ...change, version, isOut: false } as StateChange
      );
    return [...read.changes, ...gone];
  }

  #withLapse(change: StateChange): StateChange {
    if (change.kind !== "target" || change.target) return change;
    const sinceMs = monotonicMs() - this.#failedAt;
    return { ...change, hasLapsed: sinceMs < LAPSE_WINDOW_MS };
  }

  #apply(changes: readonly StateChange[], from: string): void {
    const before = this.#state;
    this.#state = before.apply(changes, monotonicMs());
    if (this.#state === before) return;
    this.#logChanges(before, changes, from);
    this.#listeners.forEach((listen) => listen(this.#state));
  }

  #logChanges(
    before: FleetState,
    changes: readonly StateChange[],
    from: string,
  ): void {
    changes.forEach((change) => {
      const { version } = change;
      if (change.kind === "catalog") {
        const { version: catalog } = change.catalog;
        this.#log.info("catalog_applied", { version, catalog, from });
        return;
      }
      if (change.kind === "domain") {
        const { failureDomain, isOut } = change;
        this.#log.info("domain_changed", {
          version,
          failureDomain,
          isOut,
          from,
        });
        return;
      }
      if (change.kind !== "target") return;
      const old = before.targets.get(change.id)?.target;
      if (old?.state === change.target?.state) return;
      this.#log.info("target_changed", {
        version,
        target: change.id,
        pool: change.target?.pool ?? old?.pool,
        state: change.target?.state ?? "gone",
        lapsed: change.hasLapsed,
        coldMs: change.target?.coldMs,
        from,
      });
    });
  }
}

function keyOf(change: StateChange): string {
  switch (change.kind) {
    case "catalog":
      return "catalog";
    case "target":
      return `target/${change.id}`;
    case "domain":
      return `domain/${change.failureDomain}`;
    case "peer":
      return `peer/${change.name}`;
  }
}
