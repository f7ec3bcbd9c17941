/**
 * Admits callers' requests: finds route, organisation and pool, or the reason
 * for a refusal.
 *
 * @module
 */

import { err, ok, type Result } from "neverthrow";
import {
  type Organisation,
  poolFor,
  type Route,
  RouteHistory,
} from "../serving/mod.ts";
import { Exchange, type ExchangeDeps } from "./exchange.ts";
import type { FleetView } from "./fleet_view.ts";
import type { Peers } from "./peers.ts";
import {
  type CallerAnswer,
  type CallerRequest,
  type Refusal,
  RefusalKind,
} from "./ports.ts";
import type { Admitted } from "./relay.ts";

/** When callers may come back while this process knows nothing, in ms. */
const UNREADY_RETRY_MS = 500;
/**
 * Time without the store and without any peer after which this process counts
 * as cut off and takes no new work, in milliseconds.
 */
const CUT_OFF_MS = 5_000;

/** Ranks of routes within one rank of organisations. */
const ROUTE_RANKS = 10;

/** Serves callers' requests. */
export class Gateway {
  readonly #view: FleetView;
  readonly #peers: Peers;
  readonly #deps: ExchangeDeps;
  readonly #histories = new Map<string, RouteHistory>();
  #inHand = 0;

  constructor(deps: { view: FleetView; peers: Peers } & ExchangeDeps) {
    this.#view = deps.view;
    this.#peers = deps.peers;
    this.#deps = deps;
  }

  /** Requests without a final answer. */
  get inHand(): number {
    return this.#inHand;
  }

  /** True when requests can be served: the catalog and targets are known. */
  get isReady(): boolean {
    const { catalog, targets } = this.#view.state;
    return catalog !== undefined && targets.size > 0 && !this.#isCutOff;
  }

  /** Serves one request; resolves when it is over. */
  async serve(req: CallerRequest, answer: CallerAnswer): Promise<void> {
    const admitted = this.#admit(req);
    if (admitted.isErr()) return this.#refuse(req, answer, admitted.error);
    this.#inHand += 1;
    try {
      await new Exchange(admitted.value, answer, this.#deps).run();
    } finally {
      this.#inHand -= 1;
    }
  }

  get #isCutOff(): boolean {
    return this.#view.storeAgeMs > CUT_OFF_MS && this.#peers.isAlone;
  }

  #admit(req: CallerRequest): Result<Admitted, Refusal> {
    const { catalog } = this.#view.state;
    if (!catalog) return err(notReady("no catalog is known"));
    if (this.#isCutOff) return err(notReady("cut off from store and peers"));
    const path = req.path.split("?", 1)[0] ?? req.path;
    const route = catalog.routeOf(req.hostname, path);
    if (!route) {
      return err({ kind: RefusalKind.UnknownRoute, reason: "no such route" });
    }
    const needsKey = catalog.needsKeys && !route.isPublic;
    const organisation = req.key === undefined
      ? undefined
      : catalog.organisationOf(req.key);
    if (needsKey && !organisation) {
      return err({ kind: RefusalKind.UnknownKey, reason: "unknown key" });
    }
    const pool = catalog.pool(poolFor(route, req.id) ?? "");
    if (!pool) return err(notReady("the route's pool is not known"));
    const priority = rankOf(route, organisation);
    const history = this.#historyWith(req, route);
    return ok({
      req,
      catalog,
      route,
      pool,
      organisation,
      priority,
      ageMs: history.ageMs(req),
      sizeRank: history.sizeRank(req),
    });
  }

  #historyWith(req: CallerRequest, { name }: Route): RouteHistory {
    const history = (this.#histories.get(name) ?? new RouteHistory())
      .note({ deadlineMs: req.deadlineMs, tokens: req.tokens });
    this.#histories.set(name, history);
    return history;
  }

  #refuse(req: CallerRequest, answer: CallerAnswer, refusal: Refusal): void {
    const { kind, reason } = refusal;
    this.#deps.metrics.count("refusals_total", { kind });
    this.#deps.log.info("request_refused", {
      request: req.id,
      kind,
      reason,
      catalog: this.#view.state.catalog?.version,
      storeAgeMs: Math.round(Math.min(this.#view.storeAgeMs, 1e9)),
    });
    answer.refuse(refusal);
  }
}

/**
 * Rank of a request, 0 for the most urgent: by its organisation first, among
 * equals by its route.
 */
function rankOf(route: Route, organisation: Organisation | undefined): number {
  return (organisation?.priority ?? 0) * ROUTE_RANKS +
    Math.min(ROUTE_RANKS - 1, route.priority);
}

function notReady(reason: string): Refusal {
  return { kind: RefusalKind.NotRun, reason, retryAfterMs: UNREADY_RETRY_MS };
}
