/**
 * Orders that the engine stand-in accepts: load a model, load an adapter, set
 * the role.
 *
 * @module
 */

/** Order to an engine. */
export interface EngineOrder {
  readonly kind: "load-model" | "load-adapter" | "set-role";
  /** Name of the model, adapter or role. */
  readonly name: string;
  /** Fencing number of the sender's lease. */
  readonly fence: number;
}

/** Setup of an engine. */
export interface EngineRole {
  readonly model: string;
  readonly adapters: readonly string[];
  readonly role: string;
  /** Highest fencing number received so far. */
  readonly fence: number;
}

/**
 * Applies orders to the setup of an engine. With `checksFencing`, orders with
 * an outdated fencing number are refused.
 */
export class EngineOrders {
  readonly #checksFencing: boolean;
  #current: EngineRole = {
    model: "default",
    adapters: [],
    role: "both",
    fence: 0,
  };
  /** Orders applied although a higher fencing number had been received. */
  staleApplied = 0;

  constructor(opts: { checksFencing: boolean }) {
    this.#checksFencing = opts.checksFencing;
  }

  /** The setup in force. */
  get current(): EngineRole {
    return this.#current;
  }

  /** Applies an order; returns false when it is refused as outdated. */
  execute(order: EngineOrder): boolean {
    const isOutdated = order.fence < this.#current.fence;
    if (isOutdated && this.#checksFencing) return false;
    if (isOutdated) this.staleApplied += 1;
    const fence = Math.max(order.fence, this.#current.fence);
    this.#current = { ...applyOrder(this.#current, order), fence };
    return true;
  }
}

function applyOrder(role: EngineRole, order: EngineOrder): EngineRole {
  switch (order.kind) {
    case "load-model":
      return { ...role, model: order.name, adapters: [] };
    case "load-adapter":
      return {
        ...role,
        adapters: [...new Set([...role.adapters, order.name])],
      };
    case "set-role":
      return { ...role, role: order.name };
  }
}
