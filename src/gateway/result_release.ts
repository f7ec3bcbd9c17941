/**
 * Releases results at the targets that hold them.
 *
 * @module
 */

import { monotonicMs } from "../kernel/mod.ts";
import type { RateLimits, TargetPauses } from "../rates/mod.ts";
import {
  addressOf,
  type FleetState,
  type ResultHandle,
} from "../serving/mod.ts";
import type { TargetClient } from "./ports.ts";

/** Services that it uses. */
export interface ResultReleaseDeps {
  readonly usable: FleetState["usable"];
  readonly client: Pick<TargetClient, "freeResults">;
  readonly rates: Pick<RateLimits, "isLimited">;
  readonly pauses: Pick<TargetPauses, "waitMs">;
}

/** Releases results of batched pools. */
export class ResultRelease {
  readonly #deps: ResultReleaseDeps;

  constructor(deps: ResultReleaseDeps) {
    this.#deps = deps;
  }

  /**
   * Releases results and returns those that were released. Leaves out results
   * at targets that limit their requests or have asked for a pause: calls go
   * before releases there, and the results expire.
   */
  async release(
    pool: string,
    results: readonly ResultHandle[],
  ): Promise<readonly ResultHandle[]> {
    const limited = this.#limitedAddresses(pool);
    const released = results.filter((one) => !limited.has(addressOf(one)));
    if (released.length > 0) await this.#deps.client.freeResults(released);
    return released;
  }

  #limitedAddresses(pool: string): ReadonlySet<string> {
    const { usable, rates, pauses } = this.#deps;
    return new Set(
      usable(pool, monotonicMs())
        .filter((target) =>
          rates.isLimited(target.id) || pauses.waitMs(target) > 0
        )
        .map(({ address }) => address),
    );
  }
}
