/**
 * Orders to move pools to other builds, and the recorded decisions on them.
 *
 * @module
 */

import type {
  RolloutOrder,
  RolloutVerdict,
  StateChange,
} from "./state_change.ts";
import { numberOf } from "./store_version.ts";

type OrderChange = Extract<StateChange, { kind: "rollout-order" }>;
type VerdictChange = Extract<StateChange, { kind: "rollout-verdict" }>;

interface OrderRecord {
  readonly version: number;
  readonly order?: RolloutOrder;
  /** Monotonic time at which the order was first known here. */
  readonly receivedAt: number;
}

interface VerdictRecord {
  readonly version: number;
  readonly verdict?: RolloutVerdict;
  readonly isRemoved: boolean;
  /** Monotonic time at which its order was first seen; undefined: unknown. */
  readonly startedAt?: number;
}

/** Order in force with the recorded decision on it. */
export interface ListedRollout {
  readonly pool: string;
  readonly order: RolloutOrder;
  /** Identifies the order; stays the same when the store is restored. */
  readonly orderNumber: number;
  /** Monotonic time at which the order was given, as far as known. */
  readonly startedAt: number;
  /** Undefined while none is recorded for this order. */
  readonly verdict?: RolloutVerdict;
  /** Version of the decision's row, also of one on an earlier order; 0: none. */
  readonly verdictVersion: number;
}

/** Orders and decisions by pool. Immutable. */
export class RolloutRecords {
  readonly #orders: ReadonlyMap<string, OrderRecord>;
  readonly #verdicts: ReadonlyMap<string, VerdictRecord>;

  constructor(
    orders: ReadonlyMap<string, OrderRecord> = new Map(),
    verdicts: ReadonlyMap<string, VerdictRecord> = new Map(),
  ) {
    this.#orders = orders;
    this.#verdicts = verdicts;
  }

  /** Orders in force. */
  get listed(): readonly ListedRollout[] {
    return [...this.#orders.keys()].flatMap((pool) => this.of(pool) ?? []);
  }

  /** Order in force for a pool; undefined without one. */
  of(pool: string): ListedRollout | undefined {
    const record = this.#orders.get(pool);
    if (!record?.order) return undefined;
    const { order, version, receivedAt } = record;
    const orderNumber = numberOf(version);
    const known = this.#verdicts.get(pool);
    const isOnOrder = known?.verdict?.order === orderNumber &&
      known.verdict.to === order.to;
    return {
      pool,
      order,
      orderNumber,
      startedAt: Math.min(
        receivedAt,
        (isOnOrder ? known.startedAt : undefined) ?? receivedAt,
      ),
      verdict: isOnOrder ? known.verdict : undefined,
      verdictVersion: known && !known.isRemoved ? known.version : 0,
    };
  }

  /** Version of the row of a change; 0 when unknown. */
  versionOf({ kind, pool }: OrderChange | VerdictChange): number {
    const records = kind === "rollout-order" ? this.#orders : this.#verdicts;
    return records.get(pool)?.version ?? 0;
  }

  /** Returns the records after a change received at monotonic time `now`. */
  apply(change: OrderChange | VerdictChange, now: number): RolloutRecords {
    const { pool, version } = change;
    if (change.kind === "rollout-order") {
      const record = nextOrder(this.#orders.get(pool), change, now);
      return new RolloutRecords(
        new Map(this.#orders).set(pool, record),
        this.#verdicts,
      );
    }
    const { verdict, ageMs, isRemoved = false } = change;
    const startedAt = ageMs === undefined ? undefined : now - ageMs;
    const record = { version, verdict, isRemoved, startedAt };
    return new RolloutRecords(
      this.#orders,
      new Map(this.#verdicts).set(pool, record),
    );
  }

  /** Returns the changes that lead to these records at time `now`. */
  changes(now: number): readonly StateChange[] {
    return [
      ...[...this.#orders].map(([pool, { version, order }]) =>
        ({ kind: "rollout-order", version, pool, order }) satisfies StateChange
      ),
      ...[...this.#verdicts].map(([pool, { startedAt, ...record }]) =>
        ({
          kind: "rollout-verdict",
          pool,
          ...record,
          ageMs: startedAt === undefined
            ? undefined
            : Math.max(0, now - startedAt),
        }) satisfies StateChange
      ),
    ];
  }
}

/** Returns the record of an order; a restored store lists the same one again. */
function nextOrder(
  before: OrderRecord | undefined,
  { version, order }: OrderChange,
  now: number,
): OrderRecord {
  const isSame = before?.order !== undefined && order !== undefined &&
    numberOf(before.version) === numberOf(version) &&
    before.order.to === order.to &&
    before.order.durationMs === order.durationMs;
  return { version, order, receivedAt: isSame ? before.receivedAt : now };
}
