/**
 * Admits callers' requests: determines route, organisation and pool, or the
 * reason for a refusal.
 *
 * @module
 */

import { err, ok, type Result } from "neverthrow";
import type { CrashWatch, PromptRefusal } from "../crashes/mod.ts";
import {
  poolFor,
  type RequestTraits,
  type Route,
  RouteHistory,
} from "../serving/mod.ts";
import { catalogFields } from "./catalog_trace.ts";
import { STOPPED_RETRY_AFTER_MS } from "./conclusion.ts";
import { Exchange, type ExchangeDeps } from "./exchange.ts";
import type { FleetView } from "./fleet_view.ts";
import type { Peers } from "./peers.ts";
import {
  type CallerRequest,
  type CallerResponse,
  type Refusal,
  RefusalKind,
} from "./ports.ts";
import type { Admitted } from "./relay.ts";
import { fingerprintOf } from "./request_fingerprint.ts";
import { lookUp } from "./request_lookup.ts";
import { bindToOrigin } from "./stream_binding.ts";

/**
 * Time after which callers may retry while this process is not ready, in ms.
 */
const UNREADY_RETRY_AFTER_MS = 500;
/**
 * Time without a response of the store after which this process is cut off and
 * accepts no new requests if no peer responds either, in milliseconds.
 */
const CUT_OFF_MS = 5_000;

/** Refusal of a request that this process is too late to serve. */
const STOPPING: Refusal = {
  kind: RefusalKind.NotRun,
  reason: "the process stops before the request can end",
  retryAfterMs: STOPPED_RETRY_AFTER_MS,
};

const NO_CATALOG = notReady("no catalog is known");

/** Serves callers' requests. */
export class Gateway {
  readonly #view: FleetView;
  readonly #peers: Peers;
  readonly #crashes: Pick<CrashWatch, "admit">;
  readonly #deps: ExchangeDeps;
  readonly #histories = new Map<string, RouteHistory>();
  #inHand = 0;

  constructor(
    deps:
      & { view: FleetView; peers: Peers; crashes: CrashWatch }
      & ExchangeDeps,
  ) {
    this.#view = deps.view;
    this.#crashes = deps.crashes;
    this.#peers = deps.peers;
    this.#deps = deps;
  }

  /** Requests without a final response. */
  get inHand(): number {
    return this.#inHand;
  }

  /**
   * True when the catalog and targets are known and the process is not cut off.
   */
  get isReady(): boolean {
    return this.#view.state.targets.size > 0 && !this.unready;
  }

  /** Why this process accepts no request now; undefined when it does. */
  get unready(): Refusal | undefined {
    if (!this.#view.state.catalog) return NO_CATALOG;
    return this.#isCutOff
      ? notReady("cut off from store and peers")
      : undefined;
  }

  /** Refusal of a request that this process is likely to stop before ending. */
  refusalByStop(
    route: Route,
    deadlineMs?: number,
  ): Refusal | undefined {
    const { responseTimes, stop } = this.#deps;
    const neededMs = Math.min(
      responseTimes.totalMs(route),
      route.timeoutMs,
      deadlineMs ?? Infinity,
    );
    return neededMs > stop.remainingMs ? STOPPING : undefined;
  }

  /** Share of the newest requests of a route that are smaller than one. */
  sizeRankOf(req: RequestTraits, { name }: Route): number {
    const history = this.#histories.get(name) ?? new RouteHistory();
    return history.record(req).sizeRank(req);
  }

  /** Serves one request; resolves when it has ended. */
  async serve(req: CallerRequest, response: CallerResponse): Promise<void> {
    this.#recordConfigurationAge();
    const admitted = this.#admit(req);
    if (admitted.isErr()) return this.#refuse(req, response, admitted.error);
    this.#inHand += 1;
    try {
      const bound = await bindToOrigin(admitted.value, this.#deps.origins);
      if (bound.isErr()) return this.#refuse(req, response, bound.error);
      if (response.gone.aborted) return this.#logGone(req);
      await new Exchange(bound.value, response, this.#deps).run();
    } finally {
      this.#inHand -= 1;
    }
  }

  get #isCutOff(): boolean {
    return this.#view.storeAgeMs > CUT_OFF_MS && this.#peers.isIsolated;
  }

  #admit(req: CallerRequest): Result<Admitted, Refusal> {
    const { catalog } = this.#view.state;
    const { unready } = this;
    if (!catalog || unready) return err(unready ?? NO_CATALOG);
    const found = lookUp(catalog, req);
    if (found.isErr()) return err(found.error);
    const { route, organisation, priority } = found.value;
    const pool = catalog.pool(poolFor(route, req.id) ?? "");
    if (!pool) return err(notReady("the route's pool is not known"));
    const tooLate = this.refusalByStop(route, req.deadlineMs);
    if (tooLate) return err(tooLate);
    const content = {
      promptParts: req.promptParts,
      fingerprint: fingerprintOf(req, organisation),
    };
    const permit = this.#crashes.admit({ id: req.id, ...content })
      .mapErr(quarantined);
    if (permit.isErr()) return err(permit.error);
    const history = this.#recordHistory(req, route);
    return ok({
      req,
      catalog,
      standing: this.#view.catalogStanding,
      route,
      pool,
      organisation,
      priority,
      ageMs: history.ageMs(req),
      sizeRank: history.sizeRank(req),
      content,
      permit: permit.value,
    });
  }

  #recordHistory(req: CallerRequest, { name }: Route): RouteHistory {
    const history = (this.#histories.get(name) ?? new RouteHistory())
      .record({ deadlineMs: req.deadlineMs, tokens: req.tokens });
    this.#histories.set(name, history);
    return history;
  }

  /** Records how old the configuration may be that decides a request. */
  #recordConfigurationAge(): void {
    const { configurationAgeMs } = this.#view;
    if (!Number.isFinite(configurationAgeMs)) return;
    this.#deps.metrics.durations("configuration_age", {})
      .record(configurationAgeMs);
  }

  /** Logs that the caller left while the origin of its stream was sought. */
  #logGone({ id }: CallerRequest): void {
    this.#deps.log.info("request_ended", {
      request: id,
      outcome: "caller-gone",
      attempts: 0,
    });
  }

  #refuse(
    req: CallerRequest,
    response: CallerResponse,
    refusal: Refusal,
  ): void {
    const { kind, reason } = refusal;
    this.#deps.metrics.count("refusals_total", { kind });
    this.#deps.log.info("request_refused", {
      request: req.id,
      kind,
      reason,
      ...catalogFields(this.#view.catalogStanding),
      storeAgeMs: Math.round(Math.min(this.#view.storeAgeMs, 1e9)),
    });
    response.refuse(refusal);
  }
}

function quarantined({ segment, retryAfterMs }: PromptRefusal): Refusal {
  const reason = `content ${segment} is in quarantine`;
  return { kind: RefusalKind.NotRun, reason, retryAfterMs };
}

function notReady(reason: string): Refusal {
  return {
    kind: RefusalKind.NotRun,
    reason,
    retryAfterMs: UNREADY_RETRY_AFTER_MS,
  };
}
