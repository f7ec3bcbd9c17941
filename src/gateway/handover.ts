/**
 * Handover of a request from a silent target to another one. The call to the
 * silent target goes on until the other one has taken the request.
 *
 * @module
 */

import type { Result } from "neverthrow";
import {
  discardAttempt,
  type PreparedAttempt,
  type Unprepared,
} from "./attempt_preparer.ts";
import type { AttemptEnd, Relay } from "./relay.ts";

/**
 * Time without a refusal after which a target has taken a request, in
 * milliseconds: a full target refuses at once. While it lasts, two targets may
 * work on the request.
 */
const ACCEPT_MS = 300;

/** An attempt whose request was sent. */
export interface RunningAttempt {
  readonly relay: Relay;
  readonly ended: Promise<AttemptEnd>;
}

/** What a handover uses of the exchange of its request. */
export interface HandoverDeps {
  /** Prepares the next attempt. */
  prepare(signal: AbortSignal): Promise<Result<PreparedAttempt, Unprepared>>;
  /** Sends the request; calls `onAccepted` when a response begins. */
  start(attempt: PreparedAttempt, onAccepted: () => void): RunningAttempt;
  /** Called once the other target has taken the request. */
  onTaken(): void;
  /** Called when no other target took the request. */
  onFailed(reason: string): void;
}

/** One handover. */
export class Handover {
  readonly #deps: HandoverDeps;
  readonly #abort = new AbortController();
  readonly #started: Promise<RunningAttempt | undefined>;
  #isTaken = false;

  /** Starts to prepare the next attempt. */
  constructor(deps: HandoverDeps) {
    this.#deps = deps;
    this.#started = this.#run().catch((err: unknown) => {
      this.#fail(String(err));
      return undefined;
    });
  }

  /** Ends the handover, unless the other target has taken the request. */
  cancel(): void {
    if (!this.#isTaken) this.#abort.abort();
  }

  /**
   * Continues with the other target, since the call to the silent one has ended.
   * Resolves with undefined when the request can't be sent.
   */
  adopt(): Promise<RunningAttempt | undefined> {
    this.#isTaken = true;
    return this.#started;
  }

  async #run(): Promise<RunningAttempt | undefined> {
    const { signal } = this.#abort;
    const prepared = await this.#deps.prepare(signal);
    if (prepared.isErr()) {
      this.#fail(prepared.error.reason);
      return undefined;
    }
    if (signal.aborted) {
      discardAttempt(prepared.value);
      return undefined;
    }
    const next = this.#deps.start(prepared.value, () => this.#take());
    signal.addEventListener("abort", () => next.relay.cancel());
    const timer = setTimeout(() => this.#take(), ACCEPT_MS);
    next.ended.then((end) => {
      clearTimeout(timer);
      if (!this.#isTaken) this.#fail(end.kind);
    });
    return next;
  }

  #fail(reason: string): void {
    if (!this.#abort.signal.aborted) this.#deps.onFailed(reason);
  }

  #take(): void {
    if (this.#isTaken || this.#abort.signal.aborted) return;
    this.#isTaken = true;
    this.#deps.onTaken();
  }
}
