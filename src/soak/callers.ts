/**
 * Simulated callers: each sends one request and repeats it with the same key
 * until the request is done or the maximum number of repeats is reached.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import type { PipelineRequest } from "../entry/mod.ts";
import { monotonicMs, sleep } from "../kernel/mod.ts";
import {
  type Organisation,
  type PipelineSpec,
  type Plan,
  Proof,
  RefusalReason,
  StageKind,
} from "../model/mod.ts";
import type { SimFleet } from "./sim_fleet.ts";

/** Rounds within which each key has to end after all faults have ended. */
const FINAL_ROUNDS = 3;
/** Pause between those rounds, in milliseconds. */
const FINAL_PAUSE_MS = 2_000;

/** Outcome of one request, as its caller received it. */
export interface ReportedOutcome {
  readonly marker: string;
  readonly spec: PipelineSpec;
  readonly requestId: string;
  readonly sentAt: number;
  readonly endedAt: number;
  /** Sequence number of the outcome in the execution log. */
  readonly endSequence: number;
  /** "nothing" when the caller timed out or its entry died. */
  readonly reported: "done" | "nothing" | Proof;
  readonly reason?: string;
  /** Output of the last stage; set when the request is done. */
  readonly output?: unknown;
  /** Text that was streamed to the caller. */
  readonly text: string;
  /** True when the entry was paused or died during the request. */
  readonly entryInterrupted: boolean;
}

/** Deadline of each request, in milliseconds. */
export const DEADLINE_MS = 4_000;
/** Time after which a caller cancels its request, in milliseconds. */
const CALLER_TIMEOUT_MS = DEADLINE_MS + 4_000;
const MAX_REPEATS = 5;
/** Share of the callers that send an idempotency key. */
const KEYED_SHARE = 0.8;
/** Share of those that send two requests with their key at the same time. */
const DUPLICATE_SHARE = 0.1;
const ORGANISATION: Organisation = { id: "c", plan: "p", keySha256: "" };
const PLAN: Plan = {
  name: "p",
  weight: 1,
  maxConcurrent: 1_000,
  pipelines: [],
};

const stage = (
  name: string,
  over: Partial<PipelineSpec["stages"][number]> = {},
) => ({
  name,
  kind: StageKind.Encode,
  pool: "encode",
  idempotent: true,
  expectedMs: 5,
  ...over,
});
const file = (name: string) =>
  stage(name, { kind: StageKind.File, pool: "file", idempotent: false });
const pipeline = (
  name: string,
  stages: PipelineSpec["stages"],
  durable = false,
): PipelineSpec => ({
  name,
  stages,
  durable,
  priority: "interactive",
  deadlineMs: DEADLINE_MS,
});

/** Pipelines that the callers request. */
export const PIPELINES: readonly PipelineSpec[] = [
  pipeline("filing", [stage("look-up"), file("file")]),
  pipeline("two-filings", [file("first"), stage("note"), file("second")]),
  pipeline("summary", [
    stage("encode"),
    stage("rank"),
    stage("draft", { kind: StageKind.Generate }),
  ], true),
  pipeline("durable-filing", [stage("encode"), file("file")], true),
];

/** Callers of one fleet. */
export class Callers {
  readonly outcomes: ReportedOutcome[] = [];
  /** Outcome of the last repeat of each key, after all faults have ended. */
  readonly finalOutcomes: ReportedOutcome[] = [];
  readonly #keyedRequests: { marker: string; spec: PipelineSpec }[] = [];
  readonly #fleet: SimFleet;

  constructor(fleet: SimFleet) {
    this.#fleet = fleet;
  }

  /**
   * Sends a request and repeats it until it is done. Some callers send two
   * requests with their key at the same time.
   */
  async request(marker: string): Promise<void> {
    const { random } = this.#fleet;
    const spec = this.#pick(PIPELINES);
    const keyGiven = random() < KEYED_SHARE;
    if (keyGiven) this.#keyedRequests.push({ marker, spec });
    if (keyGiven && random() < DUPLICATE_SHARE) {
      void this.#send({ marker, spec, keyGiven });
    }
    for (let attempt = 0; attempt <= MAX_REPEATS; attempt += 1) {
      const outcome = await this.#send({ marker, spec, keyGiven });
      if (outcome.reported === "done" || !keyGiven) return;
      await sleep(random() * 2_000);
    }
  }

  /**
   * Repeats the requests of all keys at the same time. A key whose outcome is
   * not final, such as one refused under this burst, is repeated after a pause,
   * up to the maximum number of rounds.
   */
  async repeatAll(): Promise<void> {
    let pending = this.#keyedRequests;
    for (let round = 1; pending.length > 0; round += 1) {
      const outcomes = await Promise.all(
        pending.map((one) => this.#send({ ...one, keyGiven: true })),
      );
      const isLast = round === FINAL_ROUNDS;
      const finals = outcomes.filter((one) => isLast || isFinal(one));
      this.finalOutcomes.push(...finals);
      pending = pending.filter((_, n) =>
        !finals.includes(outcomes[n] as ReportedOutcome)
      );
      await sleep(FINAL_PAUSE_MS);
    }
  }

  async #send(
    { marker, spec, keyGiven }: {
      marker: string;
      spec: PipelineSpec;
      keyGiven: boolean;
    },
  ): Promise<ReportedOutcome> {
    const { simProcess, runner } = this.#pick(this.#fleet.entries);
    const sentAt = monotonicMs();
    const texts: string[] = [];
    const callerAbort = new AbortController();
    const { pauseCount, isPaused } = simProcess;
    const req: PipelineRequest = {
      requestId: randomUUID(),
      organisation: ORGANISATION,
      plan: PLAN,
      spec,
      key: `k-${marker}`,
      keyGiven,
      input: { marker },
      deadlineAt: sentAt + DEADLINE_MS,
      listsVersion: 1,
      signal: callerAbort.signal,
      onText: (_stage, text) => texts.push(text),
    };
    const callerTimeout = sleep(CALLER_TIMEOUT_MS, simProcess.exitSignal).then(
      () => callerAbort.abort(),
    );
    const run = simProcess.ioReady().then(() => runner.run(req))
      .then(async (result) => {
        await simProcess.ioReady();
        return result;
      });
    const result = await Promise.race([run, callerTimeout]);
    const common = {
      marker,
      spec,
      requestId: req.requestId,
      sentAt,
      endedAt: monotonicMs(),
      endSequence: this.#fleet.log.next(),
      text: texts.join(""),
      entryInterrupted: isPaused || simProcess.pauseCount > pauseCount ||
        !simProcess.isAlive,
    };
    const outcome: ReportedOutcome = result === undefined
      ? { ...common, reported: "nothing" }
      : result.match<ReportedOutcome>(
        (results) => ({
          ...common,
          reported: "done",
          output: results.at(-1)?.output,
        }),
        ({ proof, reason }) => ({ ...common, reported: proof, reason }),
      );
    this.outcomes.push(outcome);
    return outcome;
  }

  #pick<T>(items: readonly T[]): T {
    return items[Math.floor(this.#fleet.random() * items.length)] as T;
  }
}

/** True when a repeated request would get the same outcome. */
function isFinal({ reported, reason }: ReportedOutcome): boolean {
  return reported === "done" || reason === RefusalReason.KeyUnknown;
}
