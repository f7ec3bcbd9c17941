/**
 * Table service with seeded faults: delays, outages, rate limits, responses
 * that are lost after the write took effect, and writes that take effect after
 * the caller timed out.
 *
 * @module
 */

import { errAsync, ResultAsync } from "neverthrow";
import { sleep } from "../kernel/mod.ts";
import {
  PlatformError,
  PlatformErrorKind,
  type Table,
  type Transaction,
} from "../store/mod.ts";
import type { SimProcess } from "./sim_process.ts";

/** Faults of the table. Shares are in [0, 1]. */
export interface TableFaults {
  outage: boolean;
  /** Share of writes that take effect and whose responses are lost. */
  loseAnswers: number;
  /**
   * Share of writes that get no response and take effect later, most of them
   * after the caller has timed out.
   */
  delayedWrites: number;
  /** Share of calls that the rate limit refuses. */
  rateLimited: number;
  /** Maximum delay of a call, in milliseconds. */
  maxDelayMs: number;
}

/** Maximum delay of a write that takes effect later, in milliseconds. */
const MAX_WRITE_DELAY_MS = 4_000;
/** Time after which a call without a response fails, in milliseconds. */
const RESPONSE_TIMEOUT_MS = 1_000;

/** Client of the table in one process. */
export class FaultyTable implements Table {
  readonly #inner: Table;
  readonly #faults: TableFaults;
  readonly #random: () => number;
  readonly #simProcess: SimProcess;

  constructor(
    inner: Table,
    opts: {
      faults: TableFaults;
      random: () => number;
      simProcess: SimProcess;
    },
  ) {
    this.#inner = inner;
    this.#faults = opts.faults;
    this.#random = opts.random;
    this.#simProcess = opts.simProcess;
  }

  read(keys: readonly string[]) {
    return this.#call(() => this.#inner.read(keys));
  }

  scan(prefix: string, opts: { after?: string; limit?: number } = {}) {
    return this.#call(() => this.#inner.scan(prefix, opts));
  }

  commit(tx: Transaction) {
    return this.#call(() => {
      if (this.#happens(this.#faults.delayedWrites)) return this.#defer(tx);
      const committed = this.#inner.commit(tx);
      return this.#happens(this.#faults.loseAnswers)
        ? loseResponse(committed)
        : committed;
    });
  }

  #call<T>(
    call: () => ResultAsync<T, PlatformError>,
  ): ResultAsync<T, PlatformError> {
    return this.#simProcess.performIo(() => {
      const { outage, rateLimited, maxDelayMs } = this.#faults;
      if (outage) return failed(PlatformErrorKind.Unavailable);
      if (this.#happens(rateLimited)) {
        return failed(PlatformErrorKind.RateLimited);
      }
      const delay = sleep(this.#random() * maxDelayMs);
      return ResultAsync.fromSafePromise(delay).andThen(call);
    });
  }

  /** Commits after a delay and fails the call without a response. */
  #defer(tx: Transaction): ResultAsync<never, PlatformError> {
    setTimeout(
      () => void this.#inner.commit(tx),
      MAX_WRITE_DELAY_MS * this.#random(),
    );
    return loseResponse(ResultAsync.fromSafePromise(Promise.resolve()));
  }

  #happens(share: number): boolean {
    return this.#random() < share;
  }
}

/** Waits for the call, then fails as if its response had been lost. */
function loseResponse(
  call: ResultAsync<unknown, PlatformError>,
): ResultAsync<never, PlatformError> {
  return call.andThen(() =>
    ResultAsync.fromSafePromise(sleep(RESPONSE_TIMEOUT_MS))
  ).andThen(() => failed<never>(PlatformErrorKind.Unanswered));
}

function failed<T>(kind: PlatformErrorKind): ResultAsync<T, PlatformError> {
  return errAsync(new PlatformError(kind, `Simulated fault: ${kind}`));
}
