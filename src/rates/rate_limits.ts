/**
 * Permits for requests to targets that limit them. The requests to one target
 * are permitted by one entry, which rendezvous hashing chooses, so that together
 * the entries use the whole limit and keep it. While no such entry responds,
 * each one uses its own share of the limit.
 *
 * @module
 */

import { monotonicMs, timeoutSignal } from "../kernel/mod.ts";
import { rendezvousOrder } from "../routing/mod.ts";
import { type ListedPeer, RequestBucket } from "../serving/mod.ts";
import type { Logger, Metrics } from "../telemetry/mod.ts";
import type { PermitAnswer, PermitRequest } from "../wire/mod.ts";
import { KnownLimits } from "./known_limits.ts";
import type { PermitClient, RateFleet, RateNotices } from "./ports.ts";

/** Longest wait for a permit from another entry, in milliseconds. */
const PERMIT_TIMEOUT_MS = 150;
/** The same when it is asked on behalf of a third one, in milliseconds. */
const FORWARD_TIMEOUT_MS = 60;
/** Time for which an entry that did not respond is not asked, in ms. */
const FAILED_PEER_MS = 2_000;
/** Time for which a question shows that others reach this entry, in ms. */
const ASKED_MS = 1_000;
/** Entries that are asked for a permit before the own share is used. */
const MAX_ASKED = 2;
/**
 * Longest time after a denial before a permit is asked for again, in
 * milliseconds: the limit may end meanwhile.
 */
const MAX_CLOSED_MS = 1_000;
/** Shortest such time, in milliseconds. */
const MIN_CLOSED_MS = 20;

/** Response of a target, as far as its limit is concerned. */
export interface RateAnswer {
  /** Identifies the target. */
  readonly target: string;
  /** Requests a second that the target takes; undefined: no limit. */
  readonly perS?: number;
  /** Monotonic time at which its request was sent. */
  readonly sentAt: number;
}

/** Services that the limits use. */
export interface RateLimitsDeps {
  readonly self: ListedPeer;
  readonly fleet: RateFleet;
  readonly ask: PermitClient;
  readonly notices: RateNotices;
  readonly log: Logger;
  readonly metrics: Metrics;
}

/** State of the requests to one limited target. */
interface TargetRate {
  /** Requests that this process permits on behalf of all entries. */
  bucket: RequestBucket;
  /** Share of this process while no entry permits requests. */
  share: RequestBucket;
  /** Monotonic time until which no permit is asked for. */
  closedUntil: number;
  /** Monotonic time at which the next permit is expected. */
  expectedAt: number;
}

/** Limits of targets and permits under them. */
export class RateLimits {
  readonly #deps: RateLimitsDeps;
  readonly #rates = new Map<string, TargetRate>();
  /** Entries that did not respond, and until when they are not asked. */
  readonly #failed = new Map<string, number>();
  #limits = new KnownLimits();
  /** Monotonic time at which another entry last asked for a permit. */
  #askedAt = Number.NEGATIVE_INFINITY;

  constructor(deps: RateLimitsDeps) {
    this.#deps = deps;
    const { notices, metrics } = deps;
    notices.onNotice("target-limit", (notice, at) => {
      if (notice.kind !== "target-limit") return;
      this.#learn(notice.target, { perS: notice.perS, at }, "peer");
    });
    metrics.gauge(
      "targets_limited",
      () => this.#limits.limited(monotonicMs()).length,
    );
  }

  /** Records what an answer of a target says about its limit. */
  observe({ target, perS, sentAt }: RateAnswer): void {
    const known = this.#limits.get(target);
    // Answers overtake each other: only one to a later request shows the end.
    const isEnd = perS === undefined;
    if (isEnd && (known?.perS === undefined || sentAt <= known.at)) return;
    this.#learn(target, { perS, at: monotonicMs() }, "own");
  }

  /** True while a target limits its requests. */
  isLimited(target: string): boolean {
    return this.#limits.perSOf(target, monotonicMs()) !== undefined;
  }

  /** False while a permit for a request to the target would be denied. */
  isOpen(target: string): boolean {
    const now = monotonicMs();
    const closedUntil = this.#rates.get(target)?.closedUntil ?? 0;
    return now >= closedUntil ||
      this.#limits.perSOf(target, now) === undefined;
  }

  /**
   * Time until the target is expected to take a request of this process, in
   * milliseconds.
   */
  expectedWaitMs(target: string): number {
    const now = monotonicMs();
    if (this.#limits.perSOf(target, now) === undefined) return 0;
    const expectedAt = this.#rates.get(target)?.expectedAt ?? 0;
    return Math.max(0, expectedAt - now);
  }

  /** Takes a permit for one request; false when there is none now. */
  async acquire(target: string): Promise<boolean> {
    const perS = this.#limits.perSOf(target, monotonicMs());
    if (perS === undefined) return true;
    const answer = await this.#permitOf(target, perS);
    this.#deps.metrics.count("permits_total", {
      outcome: answer.isGranted ? "granted" : "denied",
    });
    if (!answer.isGranted) this.#close(target, perS, answer.waitMs);
    return answer.isGranted;
  }

  /**
   * Decides on a request of a peer. If this entry knows one that goes before it
   * and responds, the request is passed on, so that all agree on one entry.
   */
  async handlePermit(request: PermitRequest): Promise<PermitAnswer> {
    const { target, perS, ageMs, isForwarded } = request;
    this.#askedAt = monotonicMs();
    this.#learn(target, { perS, at: monotonicMs() - ageMs }, "peer");
    if (!isForwarded) {
      const forwarded = await this.#ask(
        { ...request, isForwarded: true },
        FORWARD_TIMEOUT_MS,
      );
      if (forwarded) return forwarded;
    }
    return this.#decide(target, this.#perSNow(target, perS));
  }

  /**
   * Time until this process may send a request to a target to which no other
   * entry sends any, in milliseconds.
   */
  waitMs(target: string): number {
    const now = monotonicMs();
    const perS = this.#limits.perSOf(target, now);
    return perS === undefined ? 0 : Math.min(
      MAX_CLOSED_MS,
      this.#rate(target, perS).bucket.waitMs(now, perS),
    );
  }

  /** Records such a request. */
  spend(target: string): void {
    const perS = this.#limits.perSOf(target, monotonicMs());
    if (perS !== undefined) this.#decide(target, perS);
  }

  #learn(
    target: string,
    limit: { perS?: number; at: number },
    source: "own" | "peer",
  ): void {
    const isNews = this.#limits.isNews(target, limit);
    const before = this.#limits.get(target)?.perS;
    this.#limits = this.#limits.with(target, limit);
    if (!isNews) return;
    const { perS, at } = limit;
    if (perS !== before) {
      this.#deps.log.info("target_limit_changed", { target, perS, source });
    }
    this.#deps.notices
      .post(`limit/${target}`, { kind: "target-limit", target, perS }, at);
    if (perS === undefined) this.#rates.delete(target);
  }

  async #permitOf(target: string, perS: number): Promise<PermitAnswer> {
    const ageMs = monotonicMs() - (this.#limits.get(target)?.at ?? 0);
    const request = { target, perS, ageMs, isForwarded: false };
    return await this.#ask(request, PERMIT_TIMEOUT_MS) ??
      this.#useShare(target, perS);
  }

  /**
   * Asks the first entries of the order that respond for a permit; decides if
   * this is the first one. Undefined when none of them responds.
   */
  async #ask(
    request: PermitRequest,
    timeoutMs: number,
  ): Promise<PermitAnswer | undefined> {
    const { target, perS } = request;
    let isAnyLost = false;
    for (const peer of this.#order(target).slice(0, MAX_ASKED)) {
      if (peer.name === this.#deps.self.name) {
        // An entry that reaches no other may itself be cut off from them.
        const mayDecide = !isAnyLost || this.#isAsked;
        return mayDecide
          ? this.#decide(target, this.#perSNow(target, perS))
          : undefined;
      }
      if (this.#hasFailed(peer)) {
        isAnyLost = true;
        continue;
      }
      const answer = await this.#askPeer(peer, request, timeoutMs);
      if (answer) return answer;
      isAnyLost = true;
    }
    return undefined;
  }

  async #askPeer(
    peer: ListedPeer,
    request: PermitRequest,
    timeoutMs: number,
  ): Promise<PermitAnswer | undefined> {
    const { ask, metrics, log } = this.#deps;
    try {
      return await ask(peer.url, request, timeoutSignal(timeoutMs));
    } catch (err) {
      this.#failed.set(peer.name, monotonicMs() + FAILED_PEER_MS);
      metrics.count("permit_failures_total");
      log.warn("permit_not_answered", {
        peer: peer.name,
        target: request.target,
        detail: String(err),
      });
      return undefined;
    }
  }

  #hasFailed({ name }: ListedPeer): boolean {
    return (this.#failed.get(name) ?? 0) > monotonicMs();
  }

  /** True when another entry has lately asked this one for a permit. */
  get #isAsked(): boolean {
    return monotonicMs() - this.#askedAt < ASKED_MS;
  }

  /** Usable entries in the order in which they permit requests to a target. */
  #order(target: string): readonly ListedPeer[] {
    const { fleet, self } = this.#deps;
    const others = fleet.entries().filter((peer) => peer.name !== self.name);
    return rendezvousOrder(
      [...others, self].filter((peer) => fleet.isUsable(peer)),
      { key: target, idOf: ({ name }) => name },
    );
  }

  /** Decides on a request as the entry that permits them for all. */
  #decide(target: string, perS: number): PermitAnswer {
    const now = monotonicMs();
    const rate = this.#rate(target, perS);
    const next = rate.bucket.take(now, perS);
    if (!next) {
      return { isGranted: false, waitMs: rate.bucket.waitMs(now, perS) };
    }
    rate.bucket = next;
    return { isGranted: true, waitMs: 0 };
  }

  #useShare(target: string, perS: number): PermitAnswer {
    const now = monotonicMs();
    const rate = this.#rate(target, perS);
    const ownPerS = perS / Math.max(1, this.#deps.fleet.entries().length);
    const next = rate.share.take(now, ownPerS);
    if (!next) {
      return { isGranted: false, waitMs: rate.share.waitMs(now, ownPerS) };
    }
    rate.share = next;
    return { isGranted: true, waitMs: 0 };
  }

  #close(target: string, perS: number, waitMs: number): void {
    const ms = Math.min(MAX_CLOSED_MS, Math.max(MIN_CLOSED_MS, waitMs));
    const now = monotonicMs();
    const rate = this.#rate(target, perS);
    rate.closedUntil = now + ms;
    rate.expectedAt = now + Math.max(MIN_CLOSED_MS, waitMs);
  }

  /** The limit as known here; as the asking peer knows it when there is none. */
  #perSNow(target: string, perS: number): number {
    return this.#limits.perSOf(target, monotonicMs()) ?? perS;
  }

  #rate(target: string, perS: number): TargetRate {
    const found = this.#rates.get(target);
    if (found) return found;
    const now = monotonicMs();
    const created: TargetRate = {
      bucket: new RequestBucket(Math.min(1, perS), now),
      share: new RequestBucket(0, now),
      closedUntil: 0,
      expectedAt: 0,
    };
    this.#discardEnded(now);
    this.#rates.set(target, created);
    return created;
  }

  /** Discards the state of targets that no longer limit their requests. */
  #discardEnded(now: number): void {
    [...this.#rates.keys()]
      .filter((target) => this.#limits.perSOf(target, now) === undefined)
      .forEach((target) => this.#rates.delete(target));
    [...this.#failed].filter(([, until]) => until <= now)
      .forEach(([name]) => this.#failed.delete(name));
  }
}
