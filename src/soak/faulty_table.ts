/**
 * Table service with seeded faults: delays, outages, rate limits, answers that
 * are lost after the write took effect, and writes that take effect after the
 * caller gave up.
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
import type { ProcessShell } from "./process_shell.ts";

/** Faults of the table. Shares are in [0, 1]. */
export interface TableFaults {
  outage: boolean;
  /** Share of answers that are lost after the write took effect. */
  loseAnswers: number;
  /** Share of writes that take effect long after they were given up. */
  lateWrites: number;
  /** Share of calls that the rate limit turns away. */
  rateLimited: number;
  /** Longest delay of a call, in milliseconds. */
  maxDelayMs: number;
}

const LATE_MS = 4_000;
const ANSWER_TIMEOUT_MS = 1_000;

/** The table as one process reaches it. */
export class FaultyTable implements Table {
  readonly #inner: Table;
  readonly #faults: TableFaults;
  readonly #random: () => number;
  readonly #shell: ProcessShell;

  constructor(
    inner: Table,
    opts: {
      faults: TableFaults;
      random: () => number;
      shell: ProcessShell;
    },
  ) {
    this.#inner = inner;
    this.#faults = opts.faults;
    this.#random = opts.random;
    this.#shell = opts.shell;
  }

  read(keys: readonly string[]) {
    return this.#call(() => this.#inner.read(keys));
  }

  scan(prefix: string, opts: { after?: string; limit?: number } = {}) {
    return this.#call(() => this.#inner.scan(prefix, opts));
  }

  commit(tx: Transaction) {
    return this.#call(() => {
      if (this.#happens(this.#faults.lateWrites)) return this.#late(tx);
      const done = this.#inner.commit(tx);
      return this.#happens(this.#faults.loseAnswers) ? lostAfter(done) : done;
    });
  }

  #call<T>(
    call: () => ResultAsync<T, PlatformError>,
  ): ResultAsync<T, PlatformError> {
    return this.#shell.around(() => {
      const { outage, rateLimited, maxDelayMs } = this.#faults;
      if (outage) return failed(PlatformErrorKind.Unavailable);
      if (this.#happens(rateLimited)) {
        return failed(PlatformErrorKind.RateLimited);
      }
      const delay = sleep(this.#random() * maxDelayMs);
      return ResultAsync.fromSafePromise(delay).andThen(call);
    });
  }

  /** Gives the write up now and lets it take effect later. */
  #late(tx: Transaction): ResultAsync<never, PlatformError> {
    setTimeout(() => void this.#inner.commit(tx), LATE_MS * this.#random());
    return lostAfter(ResultAsync.fromSafePromise(Promise.resolve()));
  }

  #happens(share: number): boolean {
    return this.#random() < share;
  }
}

function lostAfter(
  done: ResultAsync<unknown, PlatformError>,
): ResultAsync<never, PlatformError> {
  return done.andThen(() =>
    ResultAsync.fromSafePromise(sleep(ANSWER_TIMEOUT_MS))
  ).andThen(() => failed<never>(PlatformErrorKind.Unanswered));
}

function failed<T>(kind: PlatformErrorKind): ResultAsync<T, PlatformError> {
  return errAsync(new PlatformError(kind, `Simulated fault: ${kind}`));
}
