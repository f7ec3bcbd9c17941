/**
 * Observes crashes of targets, attributes them to segments of prompts together
 * with the other entries, and refuses prompts that would crash further targets.
 *
 * @module
 */

import { err, ok, type Result } from "neverthrow";
import { monotonicMs, sleep } from "../kernel/mod.ts";
import {
  CrashEvidence,
  type CrashReport,
  findQuarantined,
  probeDueAt,
  type PromptSegment,
  type Quarantine,
  type RequestContent,
  SETTLE_MS,
  suspectSegments,
} from "../quarantine/mod.ts";
import { rendezvousOrder } from "../routing/mod.ts";
import type { RecordedQuarantine } from "../serving/mod.ts";
import type { Logger, Metrics } from "../telemetry/mod.ts";
import { type BrokenCall, CallWatch } from "./call_watch.ts";
import {
  type CrashFleet,
  type CrashNotices,
  Reachability,
  type ReachabilityCheck,
  type WatchedTarget,
} from "./ports.ts";
import { ServedSegments } from "./served_segments.ts";
import { SuspectedCrashes } from "./suspected_crashes.ts";

/**
 * Time from a lost connection to the check of its target, in milliseconds: the
 * other connections to a target that has crashed end within it.
 */
const CHECK_DELAY_MS = 30;
/** Time that each entry has for a probe before the next may, in ms. */
const PROBE_TURN_MS = 1_500;
/** Number of entries that take turns; all others may probe after these. */
const MAX_PROBE_TURNS = 16;
/** Shortest time after which callers may repeat a refused prompt, in ms. */
const MIN_RETRY_AFTER_MS = 1_000;

/** Why a prompt is refused. */
export interface PromptRefusal {
  readonly segment: string;
  readonly retryAfterMs: number;
}

/** Request that is to be sent to targets. */
export interface ContentRequest extends RequestContent {
  readonly id: string;
}

/** Permit of a request to be sent to targets, valid until withdrawn. */
export interface PromptPermit {
  /** Returns why the request may not be sent now, if it may not. */
  refusal(): PromptRefusal | undefined;
}

/** Permit of requests that are not observed. */
export const ANY_PROMPT: PromptPermit = { refusal: () => undefined };

/** Services that the watch uses. */
export interface CrashWatchDeps {
  readonly self: string;
  readonly fleet: CrashFleet;
  readonly check: ReachabilityCheck;
  readonly notices: CrashNotices;
  readonly log: Logger;
  readonly metrics: Metrics;
}

/** Crashes and quarantines as one process knows them. */
export class CrashWatch {
  readonly #deps: CrashWatchDeps;
  readonly #served = new ServedSegments();
  readonly #suspected = new SuspectedCrashes();
  #evidence = new CrashEvidence();
  #quarantined: ReadonlyMap<string, Quarantine> = new Map();

  constructor(deps: CrashWatchDeps) {
    this.#deps = deps;
    const { notices, metrics } = deps;
    notices.onNotice("target-crashed", (notice, at) => {
      if (notice.kind !== "target-crashed") return;
      const suspects = notice.suspects
        .map(([id, depth, inProgressMs]) => ({ id, depth, inProgressMs }));
      this.#recordCrash({ target: notice.target, at, suspects }, "peer");
    });
    notices.onNotice("segment-survived", (notice, at) => {
      if (notice.kind === "segment-survived") {
        this.#recordSurvival(notice.segment, at);
      }
    });
    notices.onNotice("segment-probed", (notice, at) => {
      if (notice.kind === "segment-probed") {
        this.#recordProbe(notice.segment, at);
      }
    });
    metrics.gauge("segments_quarantined", () => this.#quarantined.size);
    metrics.gauge("crashes_remembered", () => this.#evidence.crashes.length);
  }

  /** Segments in quarantine. */
  get quarantined(): ReadonlyMap<string, Quarantine> {
    return this.#quarantined;
  }

  /**
   * Admits a request, unless its prompt is in quarantine and it is not the turn
   * of this process to test whether the prompt still crashes targets.
   */
  admit(req: ContentRequest): Result<PromptPermit, PromptRefusal> {
    const segments = suspectSegments(req);
    const found = this.#find(segments);
    if (!found) return ok({ refusal: () => this.#refusalOf(segments) });
    const now = monotonicMs();
    const dueAt = this.#probeAt(found);
    if (now < dueAt) {
      this.#deps.metrics.count("prompts_quarantined_total");
      return err(refusalUntil(found, dueAt));
    }
    this.#deps.log.info("segment_probed", {
      request: req.id,
      segment: found.segment,
      crashes: found.crashes,
    });
    this.#recordProbe(found.segment, now);
    return ok({ refusal: () => this.#probeRefusal(segments, found, now) });
  }

  /**
   * Returns the quarantine that applies to a request now, with the time until
   * this process may send one as a probe. Nothing is counted or recorded.
   */
  quarantineOf(
    content: RequestContent,
  ): (Quarantine & { readonly probeInMs: number }) | undefined {
    const found = this.#find(suspectSegments(content));
    if (!found) return undefined;
    const probeInMs = Math.max(0, this.#probeAt(found) - monotonicMs());
    return { ...found, probeInMs };
  }

  /** Watches a call that sends a request to a target. */
  watch(target: WatchedTarget, content: RequestContent): CallWatch {
    return new CallWatch(target, suspectSegments(content), {
      survived: (segments) => this.#survived(segments),
      broke: (call) => this.#broke(call),
    });
  }

  /** Adopts the quarantines that the store lists. */
  adopt(listed: readonly RecordedQuarantine[]): void {
    const next = this.#evidence.withRecorded(listed, monotonicMs());
    if (next === this.#evidence) return;
    this.#evidence = next;
    this.#judge();
  }

  /** Checks for suspected crashes: the list of targets has changed. */
  recheck(): void {
    this.#discardExpired();
    this.#suspected.undecided(monotonicMs())
      .filter((target) => !this.#deps.fleet.isListed(target))
      .forEach((target) => this.#confirm(target, "not listed any more"));
  }

  #discardExpired(): void {
    const next = this.#evidence.pruned(monotonicMs());
    if (next === this.#evidence) return;
    this.#evidence = next;
    this.#judge();
  }

  #find(segments: readonly PromptSegment[]): Quarantine | undefined {
    return segments.flatMap(({ id }) => this.#quarantined.get(id) ?? [])
      .sort((a, b) => b.crashes - a.crashes)[0];
  }

  #refusalOf(segments: readonly PromptSegment[]): PromptRefusal | undefined {
    const found = this.#find(segments);
    return found && refusalUntil(found, this.#probeAt(found));
  }

  /**
   * A probe ends with the first crash after its permit at `since`, and here with
   * the first lost connection: whether that was a crash is known a little later.
   */
  #probeRefusal(
    segments: readonly PromptSegment[],
    probed: Quarantine,
    since: number,
  ): PromptRefusal | undefined {
    const found = this.#find(segments);
    const isSame = found?.segment === probed.segment &&
      found.crashes <= probed.crashes;
    const hasBroken = this.#suspected.hasBroken(probed.segment, since);
    return isSame && !hasBroken ? undefined : this.#refusalOf(segments);
  }

  /** Time from which this process may send a probe: processes take turns. */
  #probeAt(quarantine: Quarantine): number {
    const { fleet, self } = this.#deps;
    const order = rendezvousOrder(fleet.processes(), {
      key: `${quarantine.segment}/${quarantine.crashes}`,
      idOf: (name) => name,
    });
    const turn = Math.min(Math.max(0, order.indexOf(self)), MAX_PROBE_TURNS);
    return probeDueAt(quarantine, this.#evidence) + turn * PROBE_TURN_MS;
  }

  #survived(segments: readonly PromptSegment[]): void {
    const now = monotonicMs();
    segments.forEach(({ id }) => {
      this.#served.add(id, now);
      if (this.#evidence.isSuspect(id)) this.#recordSurvival(id, now);
    });
  }

  #broke(call: BrokenCall): void {
    const { target } = call;
    const toCheck = this.#suspected.add(call, monotonicMs());
    if (toCheck) this.#check(target);
    if (this.#suspected.isConfirmed(target)) this.#report(target);
  }

  async #check(target: WatchedTarget): Promise<void> {
    await sleep(CHECK_DELAY_MS);
    const reachability = await this.#deps.check(target);
    this.#deps.metrics.count("crash_checks_total", { reachability });
    this.#deps.log.info("target_checked", { target: target.id, reachability });
    if (reachability === Reachability.Refuses) {
      return this.#confirm(target, "refuses connections");
    }
    if (reachability === Reachability.Accepts) {
      this.#survived(this.#suspected.takeComplete(target));
    }
    this.#suspected.leaveUndecided(target);
  }

  #confirm(target: WatchedTarget, reason: string): void {
    this.#deps.log.warn("target_crashed", { target: target.id, reason });
    this.#deps.metrics.count("crashes_total");
    this.#suspected.confirm(target);
    this.#report(target);
  }

  /** Records a confirmed crash with all its suspects. */
  #report(target: WatchedTarget): void {
    const crash = this.#suspected.reportOf(
      target,
      (id) => this.#served.has(id),
    );
    if (crash) this.#recordCrash(crash, "own");
  }

  #recordCrash(report: CrashReport, source: "own" | "peer"): void {
    const next = this.#evidence.pruned(monotonicMs()).crashed(report);
    if (next === this.#evidence) return;
    this.#evidence = next;
    const known = next.crashOf(report.target);
    if (!known) return;
    this.#deps.log.info("crash_recorded", {
      target: report.target,
      suspects: known.suspects.length,
      source,
    });
    this.#deps.notices.post(`crash/${report.target}`, {
      kind: "target-crashed",
      target: report.target,
      suspects: known.suspects
        .map(({ id, depth, inProgressMs }) => [id, depth, inProgressMs]),
    }, known.at);
    // What is posted while notices of a peer are handled is not sent to it.
    queueMicrotask(() => this.#shareServed(known));
    this.#judge();
    setTimeout(() => this.#judge(), SETTLE_MS + 1).unref();
  }

  /** Tells the other entries on which suspects this one has had answers. */
  #shareServed({ suspects }: CrashReport): void {
    suspects.forEach(({ id }) => {
      const servedAt = this.#served.at(id);
      if (servedAt === undefined) return;
      if (this.#evidence.survivedAt(id) !== undefined) return;
      this.#recordSurvival(id, servedAt);
    });
  }

  #recordSurvival(segment: string, at: number): void {
    const next = this.#evidence.survived(segment, at);
    if (next === this.#evidence) return;
    this.#evidence = next;
    this.#deps.notices.post(`survival/${segment}`, {
      kind: "segment-survived",
      segment,
    }, at);
    this.#judge();
  }

  #recordProbe(segment: string, at: number): void {
    const next = this.#evidence.probed(segment, at);
    if (next === this.#evidence) return;
    this.#evidence = next;
    this.#deps.notices.post(`probe/${segment}`, {
      kind: "segment-probed",
      segment,
    }, at);
  }

  /** Decides anew which segments are in quarantine. */
  #judge(): void {
    const before = this.#quarantined;
    this.#quarantined = findQuarantined(this.#evidence, {
      hasServed: (segment) => this.#served.has(segment),
      now: monotonicMs(),
    });
    const { log } = this.#deps;
    this.#quarantined.forEach(({ segment, crashes }) => {
      if (before.get(segment)?.crashes === crashes) return;
      log.warn("segment_quarantined", { segment, crashes });
    });
    before.forEach(({ segment }) => {
      if (this.#quarantined.has(segment)) return;
      log.info("segment_released", { segment });
    });
  }
}

function refusalUntil({ segment }: Quarantine, dueAt: number): PromptRefusal {
  const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, dueAt - monotonicMs());
  return { segment, retryAfterMs: Math.ceil(retryAfterMs) };
}
