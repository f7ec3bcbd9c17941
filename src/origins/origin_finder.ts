/**
 * Finds the origin of a stream that a caller takes up: here, at its keepers, in
 * the store, or by what is left when only one build can have begun it.
 *
 * @module
 */

import { monotonicMs } from "../kernel/mod.ts";
import {
  type ListedPeer,
  onlyOrigin,
  type RouteAddress,
  type StreamOrigin,
} from "../serving/mod.ts";
import type { Logger, Metrics } from "../telemetry/mod.ts";
import type { OriginAnswer } from "../wire/mod.ts";
import type { Keepers } from "./keepers.ts";
import {
  askKeepers,
  type KeeperFindings,
  NOBODY_ASKED,
} from "./origin_lookup.ts";
import type { OriginClients, OriginFleet } from "./ports.ts";
import type { StoredFinding, StoredOrigins } from "./stored_origins.ts";

/** Request that takes a stream up. */
export interface TakenUp {
  /** Identifier of the request, for the log. */
  readonly request: string;
  /** Attempt that brought the first event; undefined when not named. */
  readonly stream?: string;
  readonly route: RouteAddress;
}

/** How an origin was found. */
type OriginSource = "own" | "keeper" | "store" | "default" | "deduced";

/** What the finder uses. */
export interface OriginFinderDeps {
  readonly fleet: OriginFleet;
  readonly clients: OriginClients;
  readonly keepers: Keepers;
  readonly stored?: Pick<StoredOrigins, "find" | "findSince">;
  /** The origin of a stream if this entry knows it without asking. */
  known(stream: string | undefined): StreamOrigin | undefined;
  readonly log: Logger;
  readonly metrics: Metrics;
}

/** Finds origins of streams. */
export class OriginFinder {
  readonly #deps: OriginFinderDeps;

  constructor(deps: OriginFinderDeps) {
    this.#deps = deps;
  }

  /**
   * Finds the origin of a stream; undefined when it is not known and can't be
   * deduced.
   */
  async find(takenUp: TakenUp): Promise<StreamOrigin | undefined> {
    const startedAt = monotonicMs();
    const own = this.#deps.known(takenUp.stream);
    if (own) return this.#found(takenUp, own, { source: "own", startedAt });
    const findings = await this.#ask(takenUp);
    if (findings.origin) {
      const { origin, keeper } = findings;
      return this.#found(takenUp, origin, {
        source: "keeper",
        keeper,
        startedAt,
      });
    }
    const stored = await this.#findStored(takenUp, findings, startedAt);
    if (stored?.origin) {
      const source = stored.isDefault ? "default" : "store";
      return this.#found(takenUp, stored.origin, { source, startedAt });
    }
    const deduced = await this.#deduce(takenUp, findings);
    if (deduced) {
      return this.#found(takenUp, deduced, { source: "deduced", startedAt });
    }
    this.#logUnknown(takenUp, findings, startedAt);
    return undefined;
  }

  /**
   * The origin in the store, once no entry knows it any more; without a record,
   * the default one. An entry of an older program may not have recorded a stream
   * that began elsewhere.
   */
  async #findStored(
    { stream, route }: TakenUp,
    { answers }: KeeperFindings,
    startedAt: number,
  ): Promise<StoredFinding | undefined> {
    const { stored } = this.#deps;
    if (stream === undefined || !stored) return undefined;
    const origin = await stored.find(stream);
    if (origin) return { origin, isDefault: false };
    const found = await stored.findSince(startedAt, { stream, route });
    const isRecorded = answers.every(({ recordsOrigins }) => recordsOrigins);
    return found?.isDefault && !isRecorded ? undefined : found;
  }

  async #ask(
    { stream, route }: TakenUp,
    opts: { readonly among?: readonly ListedPeer[] } = {},
  ): Promise<KeeperFindings> {
    const [pool] = this.#deps.fleet.candidates(stream, route).pools;
    if (stream === undefined || pool === undefined) return NOBODY_ASKED;
    const { hostname, pathPrefix } = route;
    return await askKeepers({
      stream,
      pool,
      route: { hostname, pathPrefix },
      readsStore: opts.among !== undefined,
    }, { keepers: this.#deps.keepers, clients: this.#deps.clients, ...opts });
  }

  /**
   * The origin if only one pool, and only one build of it, can have begun the
   * stream. A view from before the stream was taken up may lack the build that
   * began it, so this entry or a keeper reads the store first, unless most
   * keepers answered.
   */
  async #deduce(
    takenUp: TakenUp,
    findings: KeeperFindings,
  ): Promise<StreamOrigin | undefined> {
    const isRecent = findings.isMajority ||
      this.#deps.keepers.order.peers.length === 0 ||
      await this.#deps.fleet.readChanges();
    if (isRecent) return this.#onlyOrigin(takenUp, findings.answers);
    if (findings.answered.length === 0) return undefined;
    const { answered: among } = findings;
    const { origin, answers } = await this.#ask(takenUp, { among });
    if (origin) return origin;
    const hasRead = answers.some(({ hasReadStore }) => hasReadStore);
    return hasRead ? this.#onlyOrigin(takenUp, answers) : undefined;
  }

  #onlyOrigin(
    { stream, route }: TakenUp,
    answers: readonly OriginAnswer[],
  ): StreamOrigin | undefined {
    const own = this.#deps.fleet.candidates(stream, route);
    const pools = new Set([
      ...own.pools,
      ...answers.flatMap(({ pools }) => pools),
    ]);
    const isSure = own.isSure ||
      answers.some(({ arePoolsSure }) => arePoolsSure);
    const [pool] = own.pools;
    if (pool === undefined || pools.size > 1 || !isSure) return undefined;
    const builds = answers.map(({ builds }) => new Set(builds.map(fromWire)));
    return onlyOrigin(pool, [this.#deps.fleet.buildsOf(pool), ...builds]);
  }

  #logUnknown(
    { request, stream, route }: TakenUp,
    { answers, isMajority }: KeeperFindings,
    startedAt: number,
  ): void {
    this.#deps.metrics.count("origin_lookups_total", { source: "unknown" });
    const { pools, isSure } = this.#deps.fleet.candidates(stream, route);
    this.#deps.log.warn("stream_origin_unknown", {
      request,
      stream,
      pools: pools.join(","),
      poolsSure: isSure,
      builds: pools.flatMap((pool) => [...this.#deps.fleet.buildsOf(pool)])
        .join(","),
      answers: answers.length,
      majority: isMajority,
      tookMs: Math.round(monotonicMs() - startedAt),
    });
  }

  #found(
    { request, stream }: TakenUp,
    origin: StreamOrigin,
    how: { source: OriginSource; keeper?: string; startedAt: number },
  ): StreamOrigin {
    const { source, keeper, startedAt } = how;
    this.#deps.metrics.count("origin_lookups_total", { source });
    this.#deps.log.info("stream_origin_found", {
      request,
      stream,
      pool: origin.pool,
      build: origin.build,
      source,
      keeper,
      tookMs: Math.round(monotonicMs() - startedAt),
    });
    return origin;
  }
}

function fromWire(build: string | null): string | undefined {
  return build ?? undefined;
}
