/**
 * Records in the store which segments of prompts are in quarantine, so that
 * entries which all restart together still know them.
 *
 * @module
 */

import { every, monotonicMs, timeoutSignal } from "../kernel/mod.ts";
import { rendezvousOrder } from "../routing/mod.ts";
import type { RecordedQuarantine } from "../serving/mod.ts";
import type { Logger } from "../telemetry/mod.ts";
import type { CrashWatch } from "./crash_watch.ts";
import type { QuarantineChanges } from "./ports.ts";

/** Pause between checks for changes without a record, in milliseconds. */
const CHECK_PAUSE_MS = 500;
/** Pause between writes of one entry, in milliseconds. */
const WRITE_PAUSE_MS = 5_000;
/** Longest wait for the response to a write, in milliseconds. */
const WRITE_TIMEOUT_MS = 1_500;
/** Age from which a change is recorded, in ms: late reports may revise it. */
const RECORD_AFTER_MS = 2_000;
/**
 * Time that each entry leaves to the one before it to write, in milliseconds: a
 * write and the feed that returns it.
 */
const TURN_MS = 1_500;
/** Number of entries that take turns; all others write after these. */
const MAX_TURNS = 4;
/** Most rows of one write, a limit of transactions. */
const MAX_ROWS = 50;

/** Services that the recorder uses. */
export interface QuarantineRecorderDeps {
  readonly watch: Pick<CrashWatch, "quarantined">;
  /** Quarantines that the store lists. */
  listed(): readonly RecordedQuarantine[];
  /** Writes changes; resolves with false when that failed. */
  write(changes: QuarantineChanges, signal: AbortSignal): Promise<boolean>;
  readonly self: string;
  processes(): readonly string[];
  readonly log: Logger;
}

/** Writes the quarantines that the store does not list, and removes others. */
export class QuarantineRecorder {
  readonly #deps: QuarantineRecorderDeps;
  /** Monotonic times at which changes without a record were noticed. */
  #pending: ReadonlyMap<string, number> = new Map();
  #mayWriteAt = 0;

  constructor(deps: QuarantineRecorderDeps) {
    this.#deps = deps;
  }

  /** Checks for changes until `signal` aborts. */
  run(signal: AbortSignal): void {
    every(CHECK_PAUSE_MS, () => this.#round(signal), signal);
  }

  async #round(signal: AbortSignal): Promise<void> {
    const now = monotonicMs();
    const { quarantined } = this.#deps.watch;
    const listed = new Set(this.#deps.listed().map(({ segment }) => segment));
    const begun = [...quarantined.keys()].filter((one) => !listed.has(one));
    const ended = [...listed].filter((one) => !quarantined.has(one));
    this.#pending = new Map(
      [...begun, ...ended].map((one) => [one, this.#pending.get(one) ?? now]),
    );
    const isDue = (segment: string) =>
      (this.#pending.get(segment) ?? now) + this.#turnMs(segment) <= now;
    const changes: QuarantineChanges = {
      begun: begun.filter(isDue).slice(0, MAX_ROWS).flatMap((segment) => {
        const crashes = quarantined.get(segment)?.crashes;
        return crashes === undefined ? [] : [{ segment, crashes }];
      }),
      ended: ended.filter(isDue).slice(0, MAX_ROWS),
    };
    const count = changes.begun.length + changes.ended.length;
    if (count === 0 || now < this.#mayWriteAt) return;
    this.#mayWriteAt = now + WRITE_PAUSE_MS;
    const timeout = timeoutSignal(WRITE_TIMEOUT_MS, signal);
    const isWritten = await this.#deps.write(changes, timeout);
    this.#deps.log.info("quarantines_recorded", {
      begun: changes.begun.map(({ segment }) => segment).join(","),
      ended: changes.ended.join(","),
      ok: isWritten,
    });
  }

  /** Age at which it is this entry's turn to write a change, in ms. */
  #turnMs(segment: string): number {
    const order = rendezvousOrder(this.#deps.processes(), {
      key: segment,
      idOf: (name) => name,
    });
    const turn = Math.min(order.indexOf(this.#deps.self), MAX_TURNS);
    return RECORD_AFTER_MS + TURN_MS * turn;
  }
}
