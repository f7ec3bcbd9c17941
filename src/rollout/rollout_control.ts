/**
 * Carries out the orders to move pools to other builds, together with the other
 * entries. Without an order it changes nothing and sends nothing.
 *
 * @module
 */

import { every, monotonicMs, timeoutSignal } from "../kernel/mod.ts";
import { rendezvousOrder } from "../routing/mod.ts";
import {
  type ListedPeer,
  type ListedRollout,
  type ListedTarget,
  RolloutPhase,
  TargetObstacle,
} from "../serving/mod.ts";
import type { Logger, Metrics } from "../telemetry/mod.ts";
import {
  MAX_ROLLOUT_COUNTS,
  type RolloutAnswer,
  type RolloutReport,
} from "../wire/mod.ts";
import { Measure } from "./evidence.ts";
import { ExposureCredit } from "./exposure.ts";
import { judge } from "./judgement.ts";
import {
  type CallKind,
  observeCall,
  type ObservedCall,
} from "./observed_call.ts";
import { OpenCalls } from "./open_calls.ts";
import { isFinal } from "./phases.ts";
import {
  PoolRollout,
  type RolloutRequest,
  type TargetGroups,
} from "./pool_rollout.ts";
import type {
  RolloutBounds,
  RolloutClient,
  RolloutFleet,
  RolloutWriter,
} from "./ports.ts";
import { encodeCounts, LOOK_MS, RolloutDecider } from "./rollout_decider.ts";
import { figuresOf, logDecision, VerdictWriter } from "./verdict_writer.ts";

/** Pause between reports to the decider, in milliseconds. */
const REPORT_PAUSE_MS = 1_000;
/** The same during the shift, whose end the decider waits for, in ms. */
const SHIFT_REPORT_PAUSE_MS = 200;
/** Time of the decider that each report of all may take, in milliseconds. */
const REPORT_COST_MS = 6;
/** Largest part of the contact time between two reports. */
const MAX_REPORT_SHARE = 0.6;
/** Longest wait for the answer to a report, in milliseconds. */
const REPORT_TIMEOUT_MS = 600;
/** Time for which an entry that did not answer is passed over, in ms. */
const FAILED_PEER_MS = 2_500;
/**
 * Time from which a process decides on the counts of all others, in
 * milliseconds: they report to it once the one before it has failed.
 */
const TAKEOVER_MS = 2_000;
/** Largest part of the order's time that this takes. */
const TAKEOVER_SHARE = 0.25;
/** Time between rounds from which this process has stood still, in ms. */
const FROZEN_MS = 1_500;
/** Time after which an open call is reported, in milliseconds. */
const REPORTED_OPEN_MS = 250;

/** Services that the control uses. */
export interface RolloutControlDeps {
  readonly self: ListedPeer;
  readonly fleet: RolloutFleet;
  readonly bounds: RolloutBounds;
  readonly send: RolloutClient;
  readonly write: RolloutWriter;
  readonly log: Logger;
  readonly metrics: Metrics;
}

/** Entry that has the reports of this process, and the counts of them. */
interface KnownCounts {
  readonly peer: string;
  readonly counts: ReadonlySet<string>;
}

const NOTHING_KNOWN: KnownCounts = { peer: "", counts: new Set() };

/** An order as this process carries it out and may decide on it. */
interface ActiveOrder {
  readonly rollout: PoolRollout;
  readonly decider: RolloutDecider;
  known: KnownCounts;
  /** Monotonic time since which this process has decided; undefined: another. */
  decidesSince: number | undefined;
  reportAt: number;
  lookAt: number;
  isReporting: boolean;
}

/** Carries out orders. */
export class RolloutControl {
  readonly #deps: RolloutControlDeps;
  readonly #writer: VerdictWriter;
  readonly #open = new OpenCalls();
  readonly #active = new Map<string, ActiveOrder>();
  readonly #failed = new Map<string, number>();
  /** Numbers of the orders for unknown pools, by pool. */
  readonly #unknown = new Map<string, number>();
  #hasSeenCatalog = false;
  #roundAt = monotonicMs();
  #frozenAt = Number.NEGATIVE_INFINITY;

  constructor(deps: RolloutControlDeps) {
    this.#deps = deps;
    this.#writer = new VerdictWriter(deps);
    deps.metrics.gauge("rollouts_in_force", () => this.#active.size);
  }

  /** Targets that a request to a pool may go to, the preferred group first. */
  targetsFor(
    pool: string,
    usable: readonly ListedTarget[],
    request: RolloutRequest = {},
  ): TargetGroups {
    const rollout = this.#active.get(pool)?.rollout;
    return rollout ? rollout.groups(usable, request, monotonicMs()) : [usable];
  }

  /** Targets of a pool of stages that calls may go to now or soon. */
  membersOf(
    pool: string,
    usable: readonly ListedTarget[],
  ): readonly ListedTarget[] {
    const rollout = this.#active.get(pool)?.rollout;
    return rollout ? rollout.members(usable, monotonicMs()) : usable;
  }

  /** Most pieces of a call to a target of a pool of stages; 0: no call. */
  maxPieces(target: ListedTarget): number {
    return this.#active.get(target.pool)?.rollout
      .maxPieces(target, monotonicMs()) ?? Number.POSITIVE_INFINITY;
  }

  /** Records a call to a target. */
  observe(target: ListedTarget, kind: CallKind): ObservedCall {
    return observeCall(target, kind, {
      open: this.#open,
      rollout: this.#active.get(target.pool)?.rollout,
      metrics: this.#deps.metrics,
    });
  }

  /** Takes the orders and decisions over from the state of the fleet. */
  refresh(): void {
    const { state } = this.#deps.fleet;
    const known = state();
    const { rollouts, catalog } = known;
    const hasJoinedLater = !this.#hasSeenCatalog;
    this.#hasSeenCatalog ||= catalog !== undefined;
    const all = rollouts.listed;
    if (all.length === 0 && this.#active.size === 0) return;
    const now = monotonicMs();
    // An order in force stays so while the catalog lacks its pool: its credit
    // must not begin anew.
    const listed = all.filter((one) =>
      catalog?.pool(one.pool) !== undefined ||
      this.#active.get(one.pool)?.rollout.isOf(one)
    );
    this.#logUnknown(all.filter((one) => !listed.includes(one)));
    const pools = new Set(listed.map(({ pool }) => pool));
    [...this.#active.keys()].filter((pool) => !pools.has(pool))
      .forEach((pool) => this.#active.delete(pool));
    listed.forEach((one) => {
      const found = this.#active.get(one.pool);
      const active = found?.rollout.isOf(one)
        ? found
        : this.#begin(one.pool, { hasJoinedLater });
      // Targets that drain serve no requests that could be kept there.
      const hasOthers = known.members(one.pool, now).some((
        { target, obstacle },
      ) =>
        target.build !== one.order.to &&
        obstacle !== TargetObstacle.Draining &&
        obstacle !== TargetObstacle.Leaving
      );
      active?.rollout.update(one, hasOthers, now);
    });
  }

  /** Logs orders for pools that the catalog does not have, once each. */
  #logUnknown(orders: readonly ListedRollout[]): void {
    const news = orders.filter(({ pool, orderNumber }) =>
      this.#unknown.get(pool) !== orderNumber
    );
    news.forEach(({ pool, orderNumber, order }) => {
      this.#unknown.set(pool, orderNumber);
      this.#deps.log.warn("rollout_unknown_pool", { pool, to: order.to });
    });
  }

  #begin(
    pool: string,
    { hasJoinedLater }: { readonly hasJoinedLater: boolean },
  ): ActiveOrder | undefined {
    const { fleet, bounds } = this.#deps;
    const listed = fleet.state().rollouts.of(pool);
    if (!listed) return undefined;
    const created: ActiveOrder = {
      rollout: new PoolRollout(listed, {
        credit: ExposureCredit.begin(bounds, {
          processes: this.#entries().length,
          hasJoinedLater,
        }),
        contactMs: Math.min(bounds.contactMs, bounds.rollbackMs),
        share: bounds.share,
      }),
      decider: new RolloutDecider(),
      known: NOTHING_KNOWN,
      decidesSince: undefined,
      reportAt: 0,
      lookAt: 0,
      isReporting: false,
    };
    this.#active.set(pool, created);
    return created;
  }

  /** Reports and decides until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    await every(LOOK_MS, () => {
      this.#round(signal);
      return Promise.resolve();
    }, signal);
  }

  /** Takes the counts of another entry. */
  handleReport(report: RolloutReport): RolloutAnswer {
    const active = this.#active.get(report.pool);
    const listed = active?.rollout.listed;
    const isKnown = listed?.orderNumber === report.order &&
      listed.order.to === report.to;
    if (!active || !isKnown) return {};
    const isComplete = active.decider.receive(report, monotonicMs());
    // A stop that the sender has heard of and this process has not.
    if (report.phase === RolloutPhase.Reverted) {
      this.#adopt(active, report.phase, "peer");
    }
    const { phase } = active.rollout;
    const isDeclined = !this.#hasStore && report.hasStore;
    return {
      phase,
      needsWhole: !isComplete || undefined,
      isDeclined: isDeclined || undefined,
    };
  }

  #round(signal: AbortSignal): void {
    const now = monotonicMs();
    if (now - this.#roundAt > FROZEN_MS) this.#frozenAt = now;
    this.#roundAt = now;
    const processes = this.#entries().length;
    this.#active.forEach((active) => {
      active.rollout.shareAmong(processes);
      const { phase } = active.rollout;
      const isOver = isFinal(phase) &&
        this.#writer.isWritten(active.rollout, phase);
      if (isOver) return;
      this.#lookAtOwn(active, now);
      const decider = this.#deciderOf(active, now);
      const isOwn = decider.name === this.#deps.self.name;
      if (isOwn) this.#decide(active, now, signal);
      else if (now >= active.reportAt) this.#report(active, decider, signal);
    });
  }

  /** Stops at once when the own counts show that the build is bad. */
  #lookAtOwn(active: ActiveOrder, now: number): void {
    const { rollout } = active;
    if (isFinal(rollout.phase) || rollout.isStopped || now < active.lookAt) {
      return;
    }
    active.lookAt = now + LOOK_MS;
    const { pool, order } = rollout.listed;
    const news = this.#deps.fleet.state().usable(pool, now)
      .filter((one) => rollout.isNew(one));
    const judgement = judge(this.#evidenceOf(rollout, now), {
      // Each process looks, so the probability is divided among all of them.
      looks: order.durationMs / LOOK_MS * this.#entries().length,
      isLast: false,
      hasSeveralTargets: news.length > 1,
    });
    if (!judgement.isBad) return;
    rollout.isStopped = true;
    active.reportAt = 0;
    this.#deps.log.warn("rollout_stopped_here", {
      pool,
      to: order.to,
      ...figuresOf(judgement),
    });
  }

  /** True while this process hears from the store. */
  get #hasStore(): boolean {
    return this.#deps.fleet.storeAgeMs() < this.#deps.bounds.contactMs;
  }

  /**
   * First usable entry in the order of the pool; the same one for all. One that
   * does not hear from the store leaves the decision to those that do.
   */
  #deciderOf({ rollout, decider }: ActiveOrder, now: number): ListedPeer {
    const { fleet, self } = this.#deps;
    const { pool } = rollout.listed;
    const isDeclined = !this.#hasStore &&
      decider.isOtherConnected(self.name, now);
    const candidates = this.#entries().filter((peer) => {
      const isSkipped = peer.name === self.name
        ? isDeclined
        : (this.#failed.get(peer.name) ?? 0) > now;
      return fleet.isUsable(peer) && !isSkipped;
    });
    const [first = self] = rendezvousOrder(candidates, {
      key: `rollout/${pool}`,
      idOf: ({ name }) => name,
    });
    return first;
  }

  #entries(): readonly ListedPeer[] {
    const { fleet, self } = this.#deps;
    const entries = fleet.entries();
    return entries.some(({ name }) => name === self.name)
      ? entries
      : [...entries, self];
  }

  #evidenceOf(rollout: PoolRollout, now: number) {
    const { pool, startedAt } = rollout.listed;
    return this.#open.of(pool)
      .filter(({ sentAt }) =>
        sentAt >= startedAt && now - sentAt >= REPORTED_OPEN_MS
      )
      .reduce(
        (sum, { target, route, sentAt, scale }) =>
          sum.waiting({
            route,
            measure: Measure.Whole,
            target: rollout.isNew(target) ? target.id : undefined,
          }, (now - sentAt) * scale),
        rollout.evidence,
      );
  }

  #reportOf(rollout: PoolRollout, now: number): RolloutReport {
    const { pool, orderNumber, order } = rollout.listed;
    return {
      from: this.#deps.self.name,
      pool,
      order: orderNumber,
      to: order.to,
      phase: rollout.phase,
      hasStore: this.#hasStore,
      isBad: rollout.isStopped || undefined,
      openElsewhere: this.#open.of(pool)
        .filter(({ target }) => !rollout.isNew(target)).length,
      isWhole: true,
      counts: encodeCounts(this.#evidenceOf(rollout, now).all)
        .slice(0, MAX_ROLLOUT_COUNTS),
    };
  }

  async #report(
    active: ActiveOrder,
    decider: ListedPeer,
    signal: AbortSignal,
  ): Promise<void> {
    if (active.isReporting) return;
    active.isReporting = true;
    const { rollout } = active;
    const { send, log, metrics } = this.#deps;
    const sentAt = monotonicMs();
    const whole = this.#reportOf(rollout, sentAt);
    const counts = new Set(whole.counts.map((one) => JSON.stringify(one)));
    const { known } = active;
    const isWhole = known.peer !== decider.name;
    // Only what has changed, so that the reports of long orders stay small.
    const changed = isWhole
      ? whole.counts
      : whole.counts.filter((one) => !known.counts.has(JSON.stringify(one)));
    active.known = NOTHING_KNOWN;
    try {
      const { phase, needsWhole, isDeclined } = await send(
        decider.url,
        { ...whole, isWhole, counts: changed },
        timeoutSignal(REPORT_TIMEOUT_MS, signal),
      );
      metrics.count("rollout_reports_total", { outcome: "answered" });
      if (phase === undefined) {
        // It may have missed the row, or may not have read it yet.
        if (rollout.ageMs(monotonicMs()) >= this.#takeoverMs(rollout)) {
          this.#passOver(decider);
          log.warn("rollout_report_failed", {
            pool: rollout.listed.pool,
            peer: decider.name,
            detail: "it does not know the order",
          });
        }
        return;
      }
      if (!needsWhole) active.known = { peer: decider.name, counts };
      // An attempt that fails leaves this process the entry that decides.
      if (!isDeclined) active.decidesSince = undefined;
      // The answer is as of its request at least.
      rollout.heardAt = Math.max(rollout.heardAt, sentAt);
      active.reportAt = sentAt + this.#pauseMs(rollout.phase);
      if (isDeclined) {
        this.#passOver(decider);
        active.reportAt = 0;
      }
      this.#adopt(active, phase, "decider");
    } catch (err) {
      if (signal.aborted) return;
      this.#passOver(decider);
      metrics.count("rollout_reports_total", { outcome: "failed" });
      log.warn("rollout_report_failed", {
        pool: rollout.listed.pool,
        peer: decider.name,
        detail: String(err),
      });
    } finally {
      active.isReporting = false;
    }
  }

  /** Time in which all entries learn of an order or of a change of decider. */
  #takeoverMs({ listed }: PoolRollout): number {
    return Math.min(TAKEOVER_MS, TAKEOVER_SHARE * listed.order.durationMs);
  }

  /** Reports to the next entry for a time. */
  #passOver({ name }: ListedPeer): void {
    this.#failed.set(name, monotonicMs() + FAILED_PEER_MS);
  }

  /**
   * Pause between reports: the more entries, the longer, since one of them
   * reads all, and less than the contact time.
   */
  #pauseMs(phase: RolloutPhase): number {
    const leastMs = phase === RolloutPhase.Shifting
      ? SHIFT_REPORT_PAUSE_MS
      : REPORT_PAUSE_MS;
    const loadMs = this.#entries().length * REPORT_COST_MS;
    const mostMs = MAX_REPORT_SHARE * this.#deps.bounds.contactMs;
    return Math.max(leastMs, Math.min(loadMs, mostMs));
  }

  #adopt(active: ActiveOrder, phase: RolloutPhase, from: string): void {
    const { rollout } = active;
    if (!rollout.adopt(phase, monotonicMs())) return;
    active.reportAt = 0;
    const { pool, order } = rollout.listed;
    this.#deps.log.info("rollout_phase", { pool, to: order.to, phase, from });
  }

  /** Decides as the entry that does it for all. */
  #decide(active: ActiveOrder, now: number, signal: AbortSignal): void {
    const { fleet, self } = this.#deps;
    const { rollout, decider } = active;
    const storeAgeMs = fleet.storeAgeMs();
    // What a process that stood still knows may be out of date.
    if (now - storeAgeMs <= this.#frozenAt) return;
    decider.receive(this.#reportOf(rollout, now), now);
    active.decidesSince ??= now;
    // Without the store and the others it may be another one that decides.
    rollout.heardAt = Math.max(
      rollout.heardAt,
      now - storeAgeMs,
      decider.askedAt(self.name),
    );
    const decision = decider.decide(rollout, fleet.state(), {
      now,
      hasAll: now - active.decidesSince >= this.#takeoverMs(rollout),
      entries: this.#entries().filter((peer) => fleet.isUsable(peer))
        .map(({ name }) => name),
    });
    if (decision?.phase === RolloutPhase.Reverted) {
      logDecision(this.#deps.log, rollout, decision);
      this.#adopt(active, decision.phase, "own");
    }
    const wanted = decision?.phase ?? rollout.phase;
    if (!this.#writer.isWritten(rollout, wanted)) {
      this.#writer.write(rollout, wanted, decision, signal);
    }
  }
}
