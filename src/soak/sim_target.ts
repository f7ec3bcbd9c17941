/**
 * Simulated target that records the calls that it runs, with seeded faults.
 *
 * @module
 */

import { errAsync, ResultAsync } from "neverthrow";
import type {
  RunOptions,
  TargetClient,
  TargetFailure,
  TargetResponse,
} from "../agent/mod.ts";
import { sleep } from "../kernel/mod.ts";
import { RefusalReason, type StageCall } from "../model/mod.ts";
import type { SimProcess } from "./sim_process.ts";

/** Faults of a target. Shares are in [0, 1]. */
export interface TargetFaults {
  /** Share of calls refused before they run. */
  refuse: number;
  /** Share of calls that run and then fail. */
  failAfterRun: number;
  /** Share of calls that run and get no response. */
  mute: number;
  /** Maximum time of a call, in milliseconds. */
  maxCallMs: number;
}

/** One execution of a call at a target. */
export interface Execution {
  readonly callId: string;
  readonly requestId: string;
  readonly key: string;
  readonly marker: string;
  /** Sequence number, shared with the outcomes that callers receive. */
  readonly sequence: number;
}

/** Executions of all targets, for the audit. */
export class ExecutionLog {
  readonly executions: Execution[] = [];
  #sequence = 0;

  /** Returns the next sequence number of executions and outcomes. */
  next(): number {
    this.#sequence += 1;
    return this.#sequence;
  }

  add(call: StageCall): void {
    this.executions.push({
      callId: call.callId,
      requestId: call.requestId,
      key: call.idempotencyKey ?? "",
      marker: markerOf(call.input),
      sequence: this.next(),
    });
  }
}

/** Returns the marker in an input or output, or "none". */
export function markerOf(input: unknown): string {
  const match = /"marker":"([^"]*)"/.exec(JSON.stringify(input));
  return match?.[1] ?? "none";
}

/** Number of words that a generating call streams. */
const WORD_COUNT = 4;

/** Client of a target in the agent beside it. */
export class SimTarget implements TargetClient {
  readonly #log: ExecutionLog;
  readonly #faults: TargetFaults;
  readonly #random: () => number;
  readonly #simProcess: SimProcess;

  constructor(
    opts: {
      log: ExecutionLog;
      faults: TargetFaults;
      random: () => number;
      simProcess: SimProcess;
    },
  ) {
    this.#log = opts.log;
    this.#faults = opts.faults;
    this.#random = opts.random;
    this.#simProcess = opts.simProcess;
  }

  run(
    call: StageCall,
    opts: RunOptions,
  ): ResultAsync<TargetResponse, TargetFailure> {
    return this.#simProcess.performIo(() => this.#execute(call, opts));
  }

  close(): Promise<void> {
    return Promise.resolve();
  }

  #execute(
    call: StageCall,
    opts: RunOptions,
  ): ResultAsync<TargetResponse, TargetFailure> {
    const { refuse, failAfterRun, mute, maxCallMs } = this.#faults;
    if (this.#random() < refuse) return errAsync(failure(false));
    const lost = this.#random() < mute;
    const fails = this.#random() < failAfterRun;
    const work = async () => {
      await sleep(this.#random() * maxCallMs);
      this.#log.add(call);
      if (lost) await new Promise<never>(() => {});
      if (fails) throw new Error("failed after the run");
      return this.#respond(call, opts);
    };
    return ResultAsync.fromPromise(
      Promise.race([work(), rejectOnAbort(opts.signal)]),
      () => failure(true),
    );
  }

  async #respond(call: StageCall, opts: RunOptions): Promise<TargetResponse> {
    const marker = markerOf(call.input);
    if (call.kind !== "generate") {
      return { output: { marker, stage: call.stage }, tokens: 0 };
    }
    const words = Array.from(
      { length: WORD_COUNT },
      (_, i) => ` ${marker}.${i}`,
    );
    for (const word of words) {
      await sleep(1);
      opts.onText(word);
    }
    return {
      output: { text: words.join(""), marker },
      tokens: words.length,
    };
  }
}

/** Rejects when the signal aborts. */
function rejectOnAbort(signal: AbortSignal): Promise<never> {
  return new Promise((_resolve, reject) => {
    const fail = () => reject(new Error("aborted"));
    if (signal.aborted) return fail();
    signal.addEventListener("abort", fail, { once: true });
  });
}

function failure(mayHaveRun: boolean): TargetFailure {
  return {
    mayHaveRun,
    reason: RefusalReason.TargetFailed,
    detail: "Simulated fault",
    cold: false,
  };
}
