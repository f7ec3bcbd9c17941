/**
 * Orders to the engine stand-in: load a model or adapter, change the role.
 *
 * @module
 */

/** An order to an engine. */
export interface EngineOrder {
  readonly kind: "load-model" | "load-adapter" | "set-role";
  /** Name of the model, adapter or role. */
  readonly name: string;
  /** Fencing number of the sender's lease. */
  readonly fence: number;
}

/** What an engine is set up for. */
export interface EngineRole {
  readonly model: string;
  readonly adapters: readonly string[];
  readonly role: string;
  /** Highest fencing number seen. */
  readonly fence: number;
}

/** Keeps the role and, if told to, refuses orders with old fencing numbers. */
export class EngineOrders {
  readonly #checksFencing: boolean;
  #current: EngineRole = {
    model: "default",
    adapters: [],
    role: "both",
    fence: 0,
  };
  /** Orders that were obeyed although a newer number had been seen. */
  stale = 0;

  constructor(opts: { checksFencing: boolean }) {
    this.#checksFencing = opts.checksFencing;
  }

  /** The role in force. */
  get current(): EngineRole {
    return this.#current;
  }

  /** Obeys an order; false when its fencing number is old. */
  obey(order: EngineOrder): boolean {
    const isOld = order.fence < this.#current.fence;
    if (isOld && this.#checksFencing) return false;
    if (isOld) this.stale += 1;
    const fence = Math.max(order.fence, this.#current.fence);
    this.#current = { ...changed(this.#current, order), fence };
    return true;
  }
}

function changed(role: EngineRole, order: EngineOrder): EngineRole {
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
