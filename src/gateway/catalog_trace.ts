/**
 * Records how the catalog in force became known, so that logs and metrics show
 * by which configuration a request was decided and how old that may have been.
 *
 * @module
 */

import { monotonicMs } from "../kernel/mod.ts";
import type { Catalog } from "../serving/mod.ts";

/** How the catalog in force became known, as of some moment. */
export interface CatalogStanding {
  /** Operator's version; undefined while no catalog is known. */
  readonly catalog?: number;
  /** `store`, or the peer that reported it, by its name or address. */
  readonly from?: string;
  /** Time for which it has been in force here, in milliseconds. */
  readonly inForceMs?: number;
  /**
   * Time since the store, or a peer by way of it, last showed that nothing newer
   * was written, in milliseconds; undefined before the first time.
   */
  readonly confirmedMs?: number;
}

/** Trace of the catalogs of one process. */
export class CatalogTrace {
  #catalog: Catalog | undefined;
  #from: string | undefined;
  #appliedAt = 0;
  #confirmedAt = Number.NEGATIVE_INFINITY;

  /** Records that a catalog is in force from now on. */
  applied(catalog: Catalog, from: string): void {
    this.#catalog = catalog;
    this.#from = from;
    this.#appliedAt = monotonicMs();
  }

  /** Records that all that was written before monotonic time `at` is known. */
  confirmed(at: number): void {
    this.#confirmedAt = Math.max(this.#confirmedAt, at);
  }

  /** Time since the last confirmation, in milliseconds. */
  get confirmedAgeMs(): number {
    return monotonicMs() - this.#confirmedAt;
  }

  get standing(): CatalogStanding {
    return {
      catalog: this.#catalog?.version,
      from: this.#from,
      inForceMs: this.#catalog && monotonicMs() - this.#appliedAt,
      confirmedMs: Number.isFinite(this.#confirmedAt)
        ? this.confirmedAgeMs
        : undefined,
    };
  }
}

/** Fields of a log line that tell by which catalog something was decided. */
export function catalogFields(
  { catalog, from, inForceMs, confirmedMs }: CatalogStanding,
): Record<string, string | number | undefined> {
  return {
    catalog,
    catalogFrom: from,
    catalogAgeMs: inForceMs === undefined ? undefined : Math.round(inForceMs),
    catalogConfirmedMs: confirmedMs === undefined
      ? undefined
      : Math.round(confirmedMs),
  };
}
