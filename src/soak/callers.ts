/**
 * Simulated callers: each sends one request and repeats its key until it is
 * told that the request is done, or its patience ends.
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

/** Rounds in which a key has to end once all faults have ended. */
const LAST_ROUNDS = 3;
/** Pause between those rounds, in milliseconds. */
const LAST_PAUSE_MS = 2_000;

/** What one request of a caller was told. */
export interface Telling {
  readonly marker: string;
  readonly spec: PipelineSpec;
  readonly requestId: string;
  readonly sentAt: number;
  readonly toldAt: number;
  /** Place of the answer in the order of the execution log. */
  readonly toldOrder: number;
  readonly told: "done" | "nothing" | Proof;
  readonly reason?: string;
  /** Output, when done. */
  readonly output?: unknown;
  /** Text that was streamed, when done. */
  readonly text: string;
  /** True when the entry was paused or died meanwhile. */
  readonly entryDisturbed: boolean;
}

/** Deadline of each request, in milliseconds. */
export const DEADLINE_MS = 4_000;
const PATIENCE_MS = DEADLINE_MS + 4_000;
const MAX_REPEATS = 5;
/** Share of the callers that choose their own keys. */
const KEYED_SHARE = 0.8;
/** Share of those that send their key twice at once. */
const TWICE_SHARE = 0.1;
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

/** Pipelines that callers use. */
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
  readonly tellings: Telling[] = [];
  /** What the last repeat of each key was told, after all faults ended. */
  readonly lastTellings: Telling[] = [];
  readonly #keyed: { marker: string; spec: PipelineSpec }[] = [];
  readonly #fleet: SimFleet;

  constructor(fleet: SimFleet) {
    this.#fleet = fleet;
  }

  /** Sends a request and repeats it. Some callers send their key twice at once. */
  async request(marker: string): Promise<void> {
    const { random } = this.#fleet;
    const spec = this.#pick(PIPELINES);
    const keyGiven = random() < KEYED_SHARE;
    if (keyGiven) this.#keyed.push({ marker, spec });
    if (keyGiven && random() < TWICE_SHARE) {
      void this.#send({ marker, spec, keyGiven });
    }
    for (let turn = 0; turn <= MAX_REPEATS; turn += 1) {
      const telling = await this.#send({ marker, spec, keyGiven });
      if (telling.told === "done" || !keyGiven) return;
      await sleep(random() * 2_000);
    }
  }

  /**
   * Repeats every key once more, all at once. A key that is refused under this
   * burst is repeated after a pause, as its caller would do, a few times.
   */
  async repeatAll(): Promise<void> {
    let open = this.#keyed;
    for (let round = 1; open.length > 0; round += 1) {
      const tellings = await Promise.all(
        open.map((one) => this.#send({ ...one, keyGiven: true })),
      );
      const isLast = round === LAST_ROUNDS;
      const ended = tellings.filter((one) => isLast || hasEnded(one));
      this.lastTellings.push(...ended);
      open = open.filter((_, n) => !ended.includes(tellings[n] as Telling));
      await sleep(LAST_PAUSE_MS);
    }
  }

  async #send(
    { marker, spec, keyGiven }: {
      marker: string;
      spec: PipelineSpec;
      keyGiven: boolean;
    },
  ): Promise<Telling> {
    const { shell, runner } = this.#pick(this.#fleet.entries);
    const sentAt = monotonicMs();
    const texts: string[] = [];
    const left = new AbortController();
    const { pauses, isPaused } = shell;
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
      signal: left.signal,
      onText: (_stage, text) => texts.push(text),
    };
    const gone = sleep(PATIENCE_MS, shell.death).then(() => left.abort());
    const run = shell.io().then(() => runner.run(req))
      .then(async (outcome) => {
        await shell.io();
        return outcome;
      });
    const outcome = await Promise.race([run, gone]);
    const about = {
      marker,
      spec,
      requestId: req.requestId,
      sentAt,
      toldAt: monotonicMs(),
      toldOrder: this.#fleet.log.next(),
      text: texts.join(""),
      entryDisturbed: isPaused || shell.pauses > pauses || !shell.isAlive,
    };
    const telling: Telling = outcome === undefined
      ? { ...about, told: "nothing" }
      : outcome.match<Telling>(
        (results) => ({
          ...about,
          told: "done",
          output: results.at(-1)?.output,
        }),
        ({ proof, reason }) => ({ ...about, told: proof, reason }),
      );
    this.tellings.push(telling);
    return telling;
  }

  #pick<T>(items: readonly T[]): T {
    return items[Math.floor(this.#fleet.random() * items.length)] as T;
  }
}

/** True when a repeat would tell nothing else. */
function hasEnded({ told, reason }: Telling): boolean {
  return told === "done" || reason === RefusalReason.KeyUnknown;
}
