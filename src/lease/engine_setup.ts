/**
 * Desired model and adapters of the engines of a pool, and the orders that
 * load them.
 *
 * @module
 */

import { type PoolName, sha256, type UseList } from "../model/mod.ts";

/** Kind of an order to an engine. */
export const OrderKind = {
  LoadModel: "load-model",
  LoadAdapter: "load-adapter",
} as const;
export type OrderKind = typeof OrderKind[keyof typeof OrderKind];

/** Order to an engine, without the fencing number that it is sent with. */
export interface Order {
  readonly kind: OrderKind;
  /** Name of the model or adapter. */
  readonly name: string;
}

/** Model and adapters that an engine has loaded, or is to load. */
export interface EngineSetup {
  readonly model: string;
  readonly adapters: readonly string[];
}

/**
 * Returns the setup for the engines of a pool: the model named by most of the
 * pool's stages, with the other names as adapters. Undefined when no stage
 * names a model.
 */
export function desiredSetup(
  use: UseList,
  pool: PoolName,
): EngineSetup | undefined {
  const names = use.pipelines
    .flatMap(({ stages }) => stages)
    .filter((stage) => stage.pool === pool)
    .flatMap(({ model }) => model === undefined ? [] : [model]);
  const useCount = (name: string) => names.filter((one) => one === name).length;
  const byUse = [...new Set(names)]
    .sort((a, b) => useCount(b) - useCount(a) || (a < b ? -1 : 1));
  const [model, ...adapters] = byUse;
  return model === undefined ? undefined : { model, adapters };
}

/**
 * Returns the next order on the way to the desired setup, or undefined when
 * the engine has it. Each target loads the adapters in a different sequence,
 * so that after the loss of a failure domain every adapter is soon available
 * on some of the replacements.
 */
export function nextOrder(
  desired: EngineSetup,
  current: EngineSetup,
  target: string,
): Order | undefined {
  if (current.model !== desired.model) {
    return { kind: OrderKind.LoadModel, name: desired.model };
  }
  const sortKey = (adapter: string) => sha256(`${target}/${adapter}`);
  const missing = desired.adapters
    .filter((adapter) => !current.adapters.includes(adapter))
    .sort((a, b) => sortKey(a) < sortKey(b) ? -1 : 1);
  const [name] = missing;
  return name === undefined ? undefined : { kind: OrderKind.LoadAdapter, name };
}
