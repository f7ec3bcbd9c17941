/**
 * Micro-kernel: starts services in order, resolves services by name and stops
 * them in reverse order.
 *
 * @module
 */

/** Name of a service, with the service's type. */
export interface ServiceKey<T> {
  readonly name: string;
  /** Carries the type for the compiler; never set at run time. */
  readonly type?: T;
}

/** Returns the key of the service called `name`. */
export function serviceKey<T>(name: string): ServiceKey<T> {
  return { name };
}

/** Context that a service receives when it starts. */
export interface ServiceContext {
  /** Aborts when the service has to end immediately. */
  readonly signal: AbortSignal;
  /** Returns a service that started earlier; throws when there is none. */
  get<T>(key: ServiceKey<T>): T;
}

/** Definition of a service: its key and lifecycle hooks. */
export interface ServiceSpec<T = unknown> {
  readonly key: ServiceKey<T>;
  start(ctx: ServiceContext): T | Promise<T>;
  /**
   * Announces the planned stop while the service is still in operation. All
   * services announce before the first one drains.
   */
  leave?(service: T): void | Promise<void>;
  /** Finishes the work in flight. Resolves when none is left. */
  drain?(service: T): Promise<void>;
  /** Releases resources after all services have drained. */
  end?(service: T): void | Promise<void>;
}

/** Type-checks a spec and erases its type, so that specs fit into one list. */
export function service<T>(spec: ServiceSpec<T>): ServiceSpec {
  return spec as ServiceSpec;
}

/** Thrown when a service is missing or is started twice. */
export class KernelError extends Error {
  override readonly name = "KernelError";
}

interface RunningService {
  readonly spec: ServiceSpec;
  readonly instance: unknown;
  readonly abort: AbortController;
}

/** The running services of one process. */
export class Kernel {
  readonly #running = new Map<string, RunningService>();
  #stopping: Promise<void> | undefined;
  #draining: string | undefined;

  /**
   * Starts the services in the given order. When one fails to start, stops
   * those that run and throws.
   */
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

  /** Returns a running service by its key; throws when there is none. */
  get<T>(key: ServiceKey<T>): T {
    const found = this.#running.get(key.name);
    if (!found) throw new KernelError(`Service ${key.name} is not running`);
    return found.instance as T;
  }

  /** Name of the service that is draining; undefined when none is. */
  get draining(): string | undefined {
    return this.#draining;
  }

  /**
   * Stops gracefully: all services announce the stop, then they drain and then
   * end one after the other, in reverse start order. A service that fails to
   * stop does not prevent the others from stopping; its error rejects the
   * result after all have ended.
   */
  stop(): Promise<void> {
    this.#stopping ??= this.#stopAll();
    return this.#stopping;
  }

  /** Ends all services immediately, without announcing or draining. */
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
    const leaveResults = await Promise.allSettled(
      newestFirst.map(async ({ spec, instance }) =>
        await spec.leave?.(instance)
      ),
    );
    const drainResults = await runSequentially(
      newestFirst,
      async ({ spec, instance }) => {
        this.#draining = spec.key.name;
        await spec.drain?.(instance);
      },
    );
    this.#draining = undefined;
    const endResults = await runSequentially(
      newestFirst,
      async ({ spec, instance }) => await spec.end?.(instance),
    );
    newestFirst.forEach(({ abort }) => abort.abort());
    const errors = [...leaveResults, ...drainResults, ...endResults]
      .flatMap((result) => result.status === "rejected" ? [result.reason] : []);
    if (errors.length > 0) {
      throw new AggregateError(errors, "Services failed to stop");
    }
  }
}

/**
 * Runs a task for one item after the other and returns the outcomes. A failure
 * does not skip the remaining items.
 */
async function runSequentially<T>(
  items: readonly T[],
  task: (item: T) => Promise<void>,
): Promise<PromiseSettledResult<void>[]> {
  const results: PromiseSettledResult<void>[] = [];
  for (const item of items) {
    results.push(...await Promise.allSettled([task(item)]));
  }
  return results;
}
