/**
 * Metrics of a process's calls to the table service.
 *
 * @module
 */

import type { ResultAsync } from "neverthrow";
import type { Metrics } from "../telemetry/mod.ts";
import type { PlatformError } from "./error.ts";
import type { Table, Transaction } from "./table.ts";

const CALLS_METRIC = "platform_calls_total";

/** Wraps a table and counts reads and writes by outcome. */
export class CountedTable implements Table {
  readonly #table: Table;
  readonly #metrics: Metrics;

  constructor(table: Table, metrics: Metrics) {
    this.#table = table;
    this.#metrics = metrics;
  }

  read(keys: readonly string[], signal?: AbortSignal) {
    return this.#count("read", this.#table.read(keys, signal));
  }

  scan(
    prefix: string,
    opts: { after?: string; limit?: number; signal?: AbortSignal } = {},
  ) {
    return this.#count("read", this.#table.scan(prefix, opts));
  }

  commit(tx: Transaction, signal?: AbortSignal) {
    return this.#count("write", this.#table.commit(tx, signal));
  }

  #count<T>(
    call: "read" | "write",
    result: ResultAsync<T, PlatformError>,
  ): ResultAsync<T, PlatformError> {
    return result
      .map((value) => {
        this.#metrics.count(CALLS_METRIC, { call, result: "ok" });
        return value;
      })
      .mapErr((err) => {
        this.#metrics.count(CALLS_METRIC, { call, result: err.kind });
        return err;
      });
  }
}
