/**
 * Orders to the engine beside the agent: reads back what the engine holds and
 * gives the next order, under a lease, until it holds what the lists name.
 *
 * @module
 */

import { every, sleep } from "../kernel/mod.ts";
import {
  desiredSetup,
  type EngineSetup,
  nextOrder,
  type Order,
  OrderKind,
} from "../lease/mod.ts";
import type { Target, UseList } from "../model/mod.ts";
import type { WeightStore } from "../store/mod.ts";
import type { Logger, Metrics } from "../telemetry/mod.ts";
import {
  type EngineControl,
  type OrderError,
  OrderErrorKind,
} from "./engine_control.ts";
import type { LeaseHolder } from "./lease_holder.ts";

/** Mean time between two looks at the engine, in milliseconds. */
const ROUND_MS = 5_000;
/** First pause after the weight store refused a reservation, in ms. */
const WEIGHTS_RETRY_MS = 2_000;
const MAX_WEIGHTS_RETRY_MS = 60_000;
/** Longest sleep between two renewals of the lease, in milliseconds. */
const RENEW_MS = 2_000;

/** What the orders of an agent are made of. */
export interface OrdersParts {
  readonly target: Target;
  readonly control: EngineControl;
  readonly lease: LeaseHolder;
  readonly weights: WeightStore;
  /** The use list in force. */
  use(): UseList;
  /** Called when the engine obeyed an order that leaves it cold. */
  onCold(): void;
  readonly metrics: Metrics;
  readonly log: Logger;
}

/** Keeps the engine beside an agent in the desired setup. */
export class Orders {
  readonly #parts: OrdersParts;
  #refusals = 0;

  constructor(parts: OrdersParts) {
    this.#parts = parts;
  }

  /** Works until `signal` aborts. */
  run(signal: AbortSignal): void {
    const pauseMs = () => ROUND_MS * (0.5 + Math.random());
    void every(pauseMs, () => this.round(signal), signal);
  }

  /** Gives at most one order; nothing is written when none is needed. */
  async round(signal: AbortSignal): Promise<void> {
    const { lease } = this.#parts;
    if (!await this.#next(signal)) return;
    if (!await lease.acquire(signal)) return;
    try {
      // Another holder may have given the order before this lease began.
      const order = await this.#next(signal);
      if (order && await this.#reserve(order, signal)) {
        await this.#give(order, signal);
      }
    } finally {
      await lease.release();
    }
  }

  /** The order that the engine needs next. */
  async #next(signal: AbortSignal): Promise<Order | undefined> {
    const { target, control } = this.#parts;
    const desired = desiredSetup(this.#parts.use(), target.pool);
    if (!desired) return undefined;
    const held = await control.role(signal);
    held.mapErr((err) => this.#failed("role", err));
    return held
      .map((role): Order | undefined => nextOrder(desired, role, target.id))
      .unwrapOr(undefined);
  }

  /** Waits for the weight store's turn; false when it refuses. */
  async #reserve(order: Order, signal: AbortSignal): Promise<boolean> {
    const { weights, log } = this.#parts;
    const reserved = await weights.reserve(order.name, signal);
    if (reserved.isErr()) {
      const detail = reserved.error.message;
      log.warn("weights_refused", { name: order.name, detail });
      await this.#parts.lease.release();
      await this.#backOff(signal);
      return false;
    }
    this.#refusals = 0;
    return await this.#hold(reserved.value.waitMs, signal);
  }

  /** Sleeps while it keeps the lease. */
  async #hold(waitMs: number, signal: AbortSignal): Promise<boolean> {
    for (let left = waitMs; left > 0; left -= RENEW_MS) {
      await sleep(Math.min(left, RENEW_MS), signal);
      if (!await this.#parts.lease.acquire(signal)) return false;
    }
    return !signal.aborted;
  }

  /** Full jitter spreads the agents of a replaced failure domain. */
  async #backOff(signal: AbortSignal): Promise<void> {
    const ceiling = WEIGHTS_RETRY_MS * 2 ** this.#refusals;
    this.#refusals += 1;
    const pauseMs = Math.min(ceiling, MAX_WEIGHTS_RETRY_MS) * Math.random();
    await sleep(pauseMs, signal);
  }

  async #give(order: Order, signal: AbortSignal): Promise<void> {
    const { control, lease, metrics, log } = this.#parts;
    if (!lease.mayOrder) {
      metrics.count("orders_total", { result: "lease-lapsed" });
      return;
    }
    const given = await control.order({ ...order, fence: lease.fence }, signal);
    given.match(
      (role) => this.#obeyed(order, role),
      (err) => this.#failed(order.kind, err),
    );
    if (given.isErr()) log.warn("order_failed", { name: order.name });
  }

  #obeyed(order: Order, role: EngineSetup): void {
    const { metrics, log } = this.#parts;
    metrics.count("orders_total", { result: "obeyed" });
    log.info("order_obeyed", {
      kind: order.kind,
      name: order.name,
      model: role.model,
    });
    if (order.kind === OrderKind.LoadModel) this.#parts.onCold();
  }

  #failed(what: string, err: OrderError): void {
    if (err.kind === OrderErrorKind.Unsupported) return;
    const { metrics, log } = this.#parts;
    metrics.count("orders_total", { result: err.kind });
    log.warn("engine_refused", { what, kind: err.kind, detail: err.message });
  }
}
