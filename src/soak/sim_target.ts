/**
 * Simulated target that counts what it ran, with seeded faults.
 *
 * @module
 */

import { errAsync, ResultAsync } from "neverthrow";
import type {
  RunOptions,
  TargetAnswer,
  TargetClient,
  TargetFailure,
} from "../agent/mod.ts";
import { sleep } from "../kernel/mod.ts";
import { RefusalReason, type StageCall } from "../model/mod.ts";
import type { ProcessShell } from "./process_shell.ts";

/** Faults of a target. Shares are in [0, 1]. */
export interface TargetFaults {
  /** Share of calls refused before they run. */
  refuse: number;
  /** Share of calls that run and then fail. */
  failAfter: number;
  /** Share of calls that run and are never answered. */
  mute: number;
  /** Longest time of a call, in milliseconds. */
  maxMs: number;
}

/** One run of a call at a target. */
export interface Execution {
  readonly callId: string;
  readonly requestId: string;
  readonly key: string;
  readonly marker: string;
  /** Place of the run in the order of what happened. */
  readonly order: number;
}

/** What all targets ran, for the audit. */
export class ExecutionLog {
  readonly executions: Execution[] = [];
  #order = 0;

  /** Next place in the order of what happens. */
  next(): number {
    this.#order += 1;
    return this.#order;
  }

  add(call: StageCall): void {
    this.executions.push({
      callId: call.callId,
      requestId: call.requestId,
      key: call.idempotencyKey ?? "",
      marker: markerOf(call.input),
      order: this.next(),
    });
  }
}

/** Marker that the input of a call carries. */
export function markerOf(input: unknown): string {
  const found = /"marker":"([^"]*)"/.exec(JSON.stringify(input));
  return found?.[1] ?? "none";
}

const WORDS = 4;

/** Target as the agent beside it reaches it. */
export class SimTarget implements TargetClient {
  readonly #log: ExecutionLog;
  readonly #faults: TargetFaults;
  readonly #random: () => number;
  readonly #shell: ProcessShell;

  constructor(
    opts: {
      log: ExecutionLog;
      faults: TargetFaults;
      random: () => number;
      shell: ProcessShell;
    },
  ) {
    this.#log = opts.log;
    this.#faults = opts.faults;
    this.#random = opts.random;
    this.#shell = opts.shell;
  }

  run(
    call: StageCall,
    opts: RunOptions,
  ): ResultAsync<TargetAnswer, TargetFailure> {
    return this.#shell.around(() => this.#serve(call, opts));
  }

  close(): Promise<void> {
    return Promise.resolve();
  }

  #serve(
    call: StageCall,
    opts: RunOptions,
  ): ResultAsync<TargetAnswer, TargetFailure> {
    const { refuse, failAfter, mute, maxMs } = this.#faults;
    if (this.#random() < refuse) return errAsync(failure(false));
    const lost = this.#random() < mute;
    const fails = this.#random() < failAfter;
    const work = async () => {
      await sleep(this.#random() * maxMs);
      this.#log.add(call);
      if (lost) await new Promise<never>(() => {});
      if (fails) throw new Error("failed after the run");
      return this.#answer(call, opts);
    };
    return ResultAsync.fromPromise(
      Promise.race([work(), aborted(opts.signal)]),
      () => failure(true),
    );
  }

  async #answer(call: StageCall, opts: RunOptions): Promise<TargetAnswer> {
    const marker = markerOf(call.input);
    if (call.kind !== "generate") {
      return { output: { marker, stage: call.stage }, tokens: 0 };
    }
    const words = Array.from({ length: WORDS }, (_, i) => ` ${marker}.${i}`);
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

function aborted(signal: AbortSignal): Promise<never> {
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
