/**
 * Which model and adapters the engines of a pool should hold.
 *
 * @module
 */

import { type PoolName, sha256, type UseList } from "../model/mod.ts";

/** Kinds of orders to an engine. */
export const OrderKind = {
  LoadModel: "load-model",
  LoadAdapter: "load-adapter",
} as const;
export type OrderKind = typeof OrderKind[keyof typeof OrderKind];

/** An order before it is given under a lease. */
export interface Order {
  readonly kind: OrderKind;
  /** Name of the model or adapter. */
  readonly name: string;
}

/** What an engine holds. */
export interface EngineSetup {
  readonly model: string;
  readonly adapters: readonly string[];
}

/**
 * Setup for the engines of a pool: the model that most stages of the pool
 * name, and the other names as adapters. Undefined when no stage names one.
 */
export function desiredSetup(
  use: UseList,
  pool: PoolName,
): EngineSetup | undefined {
  const names = use.pipelines
    .flatMap(({ stages }) => stages)
    .filter((stage) => stage.pool === pool)
    .flatMap(({ model }) => model === undefined ? [] : [model]);
  const uses = (name: string) => names.filter((one) => one === name).length;
  const ranked = [...new Set(names)]
    .sort((a, b) => uses(b) - uses(a) || (a < b ? -1 : 1));
  const [model, ...adapters] = ranked;
  return model === undefined ? undefined : { model, adapters };
}

/**
 * Next order that brings an engine closer to its setup. Each target loads the
 * adapters in an order of its own, so that after the loss of a domain every
 * adapter is soon held by some of the replacements.
 */
export function nextOrder(
  desired: EngineSetup,
  held: EngineSetup,
  target: string,
): Order | undefined {
  if (held.model !== desired.model) {
    return { kind: OrderKind.LoadModel, name: desired.model };
  }
  const rank = (adapter: string) => sha256(`${target}/${adapter}`);
  const missing = desired.adapters
    .filter((adapter) => !held.adapters.includes(adapter))
    .sort((a, b) => rank(a) < rank(b) ? -1 : 1);
  const [name] = missing;
  return name === undefined ? undefined : { kind: OrderKind.LoadAdapter, name };
}
