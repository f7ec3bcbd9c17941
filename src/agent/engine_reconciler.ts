/**
 * Brings the engine beside the agent to the setup that the lists name. Reads
 * what the engine has loaded and sends the next order, under a lease, until
 * nothing is missing.
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

/** Mean pause between two checks of the engine, in milliseconds. */
const MEAN_INTERVAL_MS = 5_000;
/**
 * Longest pause after the first failed reservation of weights, in ms. It
 * doubles with each further failure.
 */
const INITIAL_BACKOFF_MS = 2_000;
const MAX_BACKOFF_MS = 60_000;
/** Longest sleep between two renewals of the lease, in milliseconds. */
const MAX_RENEW_INTERVAL_MS = 2_000;

/** Dependencies of an {@linkcode EngineReconciler}. */
export interface EngineReconcilerDeps {
  readonly target: Target;
  readonly control: EngineControl;
  readonly lease: LeaseHolder;
  readonly weights: WeightStore;
  /** The use list in force. */
  use(): UseList;
  /** Called after the engine applied an order that leaves it cold. */
  onCold(): void;
  readonly metrics: Metrics;
  readonly log: Logger;
}

/** Keeps the engine beside an agent at the desired setup. */
export class EngineReconciler {
  readonly #deps: EngineReconcilerDeps;
  #failedReservations = 0;

  constructor(deps: EngineReconcilerDeps) {
    this.#deps = deps;
  }

  /** Checks the engine periodically until `signal` aborts. */
  run(signal: AbortSignal): void {
    const pauseMs = () => MEAN_INTERVAL_MS * (0.5 + Math.random());
    void every(pauseMs, () => this.reconcile(signal), signal);
  }

  /** Sends at most one order. Writes no lease when no order is needed. */
  async reconcile(signal: AbortSignal): Promise<void> {
    const { lease } = this.#deps;
    if (!await this.#nextOrder(signal)) return;
    if (!await lease.acquire(signal)) return;
    try {
      // Another holder may have sent the order before this lease began.
      const order = await this.#nextOrder(signal);
      if (order && await this.#reserve(order, signal)) {
        await this.#send(order, signal);
      }
    } finally {
      await lease.release();
    }
  }

  /** Returns the next order; undefined when none is needed or known. */
  async #nextOrder(signal: AbortSignal): Promise<Order | undefined> {
    const { target, control } = this.#deps;
    const desired = desiredSetup(this.#deps.use(), target.pool);
    if (!desired) return undefined;
    const current = await control.role(signal);
    current.mapErr((err) => this.#recordFailure("role", err));
    return current
      .map((role): Order | undefined => nextOrder(desired, role, target.id))
      .unwrapOr(undefined);
  }

  /**
   * Reserves a transfer of the weights and waits until it may start. After a
   * failed reservation it releases the lease and pauses. False when the
   * reservation fails or `signal` aborts.
   */
  async #reserve(order: Order, signal: AbortSignal): Promise<boolean> {
    const { weights, log } = this.#deps;
    const reserved = await weights.reserve(order.name, signal);
    if (reserved.isErr()) {
      const detail = reserved.error.message;
      log.warn("weights_reservation_failed", { name: order.name, detail });
      await this.#deps.lease.release();
      await this.#backOff(signal);
      return false;
    }
    this.#failedReservations = 0;
    return await this.#waitUnderLease(reserved.value.waitMs, signal);
  }

  /** Sleeps and keeps the lease; false when `signal` aborts. */
  async #waitUnderLease(waitMs: number, signal: AbortSignal): Promise<boolean> {
    for (
      let remainingMs = waitMs;
      remainingMs > 0;
      remainingMs -= MAX_RENEW_INTERVAL_MS
    ) {
      await sleep(Math.min(remainingMs, MAX_RENEW_INTERVAL_MS), signal);
      if (!await this.#deps.lease.acquire(signal)) return false;
    }
    return !signal.aborted;
  }

  /**
   * Pauses with exponential backoff and full jitter, so that the agents of a
   * replaced failure domain do not retry at the same time.
   */
  async #backOff(signal: AbortSignal): Promise<void> {
    const ceiling = INITIAL_BACKOFF_MS * 2 ** this.#failedReservations;
    this.#failedReservations += 1;
    const pauseMs = Math.min(ceiling, MAX_BACKOFF_MS) * Math.random();
    await sleep(pauseMs, signal);
  }

  async #send(order: Order, signal: AbortSignal): Promise<void> {
    const { control, lease, metrics, log } = this.#deps;
    if (!lease.mayOrder) {
      metrics.count("orders_total", { result: "lease-lapsed" });
      return;
    }
    const sent = await control.order({ ...order, fence: lease.fence }, signal);
    sent.match(
      (role) => this.#onApplied(order, role),
      (err) => this.#recordFailure(order.kind, err),
    );
    if (sent.isErr()) log.warn("order_failed", { name: order.name });
  }

  #onApplied(order: Order, role: EngineSetup): void {
    const { metrics, log } = this.#deps;
    metrics.count("orders_total", { result: "obeyed" });
    log.info("order_applied", {
      kind: order.kind,
      name: order.name,
      model: role.model,
    });
    if (order.kind === OrderKind.LoadModel) this.#deps.onCold();
  }

  #recordFailure(what: string, err: OrderError): void {
    if (err.kind === OrderErrorKind.Unsupported) return;
    const { metrics, log } = this.#deps;
    metrics.count("orders_total", { result: err.kind });
    log.warn("engine_request_failed", {
      what,
      kind: err.kind,
      detail: err.message,
    });
  }
}
