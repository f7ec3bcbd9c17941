/**
 * Micro-kernel: starts services in order, lets them find each other by name
 * and stops them in the reverse order.
 *
 * @module
 */

/** Typed name of a service. */
export interface ServiceKey<T> {
  readonly name: string;
  /** Carries the type only; never present at run time. */
  readonly type?: T;
}

/** Declares the name of a service. */
export function serviceKey<T>(name: string): ServiceKey<T> {
  return { name };
}

/** What a service is given when it starts. */
export interface ServiceContext {
  /** Aborts when the service has to end at once. */
  readonly signal: AbortSignal;
  /** Finds a service that started earlier; throws when there is none. */
  get<T>(key: ServiceKey<T>): T;
}

/** How a service is started and drained. */
export interface ServiceSpec<T = unknown> {
  readonly key: ServiceKey<T>;
  start(ctx: ServiceContext): T | Promise<T>;
  /**
   * Announces the planned stop while the service still works. Every service
   * announces before any drains.
   */
  leave?(service: T): void | Promise<void>;
  /** Ends the work in hand. Resolves when none is left. */
  drain?(service: T): Promise<void>;
  /** Clears up once every service has drained. */
  end?(service: T): void | Promise<void>;
}

/** Helper that keeps the service type when specs are put into one list. */
export function service<T>(spec: ServiceSpec<T>): ServiceSpec {
  return spec as ServiceSpec;
}

/** Thrown when services are composed wrongly. */
export class KernelError extends Error {
  override readonly name = "KernelError";
}

interface Running {
  readonly spec: ServiceSpec;
  readonly instance: unknown;
  readonly abort: AbortController;
}

/** The running services of one process. */
export class Kernel {
  readonly #running = new Map<string, Running>();
  #stopping: Promise<void> | undefined;
  #draining: string | undefined;

  /** Starts the services in the order given. */
  static async start(specs: readonly ServiceSpec[]): Promise<Kernel> {
    const kernel = new Kernel();
    try {
      for (const spec of specs) await kernel.#add(spec);
    } catch (err) {
      await kernel.stop();
      throw err;
    }
    return kernel;
  }

  /** Finds a service by its name; throws when there is none. */
  get<T>(key: ServiceKey<T>): T {
    const found = this.#running.get(key.name);
    if (!found) throw new KernelError(`Service ${key.name} is not running`);
    return found.instance as T;
  }

  /** Service that a stop waits for; undefined when there is none. */
  get draining(): string | undefined {
    return this.#draining;
  }

  /**
   * Stops by plan: every service announces the stop, then all drain one after
   * the other and end, the newest first. A service that fails to stop does
   * not keep the others from it; its error rejects the result in the end.
   */
  stop(): Promise<void> {
    this.#stopping ??= this.#stopAll();
    return this.#stopping;
  }

  /** Ends every service at once, without announcing or draining. */
  async abort(): Promise<void> {
    const newestFirst = [...this.#running.values()].reverse();
    newestFirst.forEach(({ abort }) => abort.abort());
    await Promise.allSettled(
      newestFirst.map(async ({ spec, instance }) => await spec.end?.(instance)),
    );
  }

  async #add(spec: ServiceSpec): Promise<void> {
    const { name } = spec.key;
    if (this.#running.has(name)) {
      throw new KernelError(`Service ${name} is already running`);
    }
    const abort = new AbortController();
    const ctx: ServiceContext = {
      signal: abort.signal,
      get: (key) => this.get(key),
    };
    const instance = await spec.start(ctx);
    this.#running.set(name, { spec, instance, abort });
  }

  async #stopAll(): Promise<void> {
    const newestFirst = [...this.#running.values()].reverse();
    const left = await Promise.allSettled(
      newestFirst.map(async ({ spec, instance }) =>
        await spec.leave?.(instance)
      ),
    );
    const drained = await inTurn(
      newestFirst,
      async ({ spec, instance }) => {
        this.#draining = spec.key.name;
        await spec.drain?.(instance);
      },
    );
    this.#draining = undefined;
    const ended = await inTurn(
      newestFirst,
      async ({ spec, instance }) => await spec.end?.(instance),
    );
    newestFirst.forEach(({ abort }) => abort.abort());
    const errors = [...left, ...drained, ...ended]
      .flatMap((one) => one.status === "rejected" ? [one.reason] : []);
    if (errors.length > 0) {
      throw new AggregateError(errors, "Services failed to stop");
    }
  }
}

/** Runs a task for each item in turn; a failure does not end the turn. */
async function inTurn<T>(
  items: readonly T[],
  task: (item: T) => Promise<void>,
): Promise<PromiseSettledResult<void>[]> {
  const results: PromiseSettledResult<void>[] = [];
  for (const item of items) {
    results.push(...await Promise.allSettled([task(item)]));
  }
  return results;
}
