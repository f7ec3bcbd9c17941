/**
 * Sends planned requests and keeps what each caller was told.
 *
 * @module
 */

import { Agent, request } from "undici";
import { monotonicMs, sleep, timeoutSignal } from "../kernel/mod.ts";
import { Proof } from "../model/mod.ts";
import { type Arrival, planArrivals } from "./arrivals.ts";
import type { LoadSettings } from "./settings.ts";

/** What a caller was told in the end. */
export const Told = {
  Done: "done",
  NotRun: "not-run",
  OutcomeUnknown: "outcome-unknown",
  /** The connection to the entry failed. */
  Nothing: "nothing",
} as const;
export type Told = typeof Told[keyof typeof Told];

/** Time and tokens of one stage of an answered request. */
export interface StageCost {
  readonly stage: string;
  readonly tokens: number;
  readonly serviceMs: number;
  readonly queuedMs: number;
}

/** One finished request. */
export interface Outcome {
  readonly arrival: Arrival;
  readonly told: Told;
  /** Reason of a refusal. */
  readonly reason?: string;
  readonly latencyMs: number;
  /** True when the answer carries another request's marker. */
  readonly misdelivered: boolean;
  readonly stages: readonly StageCost[];
}

/** Slack that a caller gives an answer beyond its deadline, in ms. */
const ANSWER_SLACK_MS = 2_000;
const CONNECTIONS = 512;

/** Sends the whole plan and resolves with every outcome. */
export async function runLoad(
  cfg: LoadSettings,
  onOutcome: (outcome: Outcome) => void = () => {},
): Promise<readonly Outcome[]> {
  const dispatcher = new Agent({ connections: CONNECTIONS });
  const startedAt = monotonicMs();
  const pending: Promise<Outcome>[] = [];
  for (const [i, arrival] of planArrivals(cfg).entries()) {
    await sleep(Math.max(0, startedAt + arrival.atMs - monotonicMs()));
    const url = cfg.entryUrls[i % cfg.entryUrls.length] as string;
    const sent = sendOne(url, arrival, {
      dispatcher,
      dueAt: startedAt + arrival.atMs,
    });
    void sent.then(onOutcome);
    pending.push(sent);
  }
  const outcomes = await Promise.all(pending);
  await dispatcher.close();
  return outcomes;
}

/** Sends one request. Latency counts from the planned arrival. */
export async function sendOne(
  url: string,
  arrival: Arrival,
  opts: { dispatcher: Agent; dueAt: number },
): Promise<Outcome> {
  const { work, customer, marker, key } = arrival;
  const latencyMs = () => monotonicMs() - opts.dueAt;
  try {
    const res = await request(`${url}/v1/pipelines/${work.pipeline}`, {
      method: "POST",
      headers: {
        "content-type": "application/json",
        "authorization": `Bearer ${customer.key}`,
        "idempotency-key": key,
        "deadline-ms": String(work.deadlineMs),
      },
      body: JSON.stringify({
        input: { marker, text: `Text of request ${marker}` },
      }),
      dispatcher: opts.dispatcher,
      signal: timeoutSignal(work.deadlineMs + ANSWER_SLACK_MS),
    });
    const body = await res.body.json() as AnswerBody;
    return outcomeOf(arrival, body, latencyMs());
  } catch (err) {
    return {
      arrival,
      told: Told.Nothing,
      reason: String(err),
      latencyMs: latencyMs(),
      misdelivered: false,
      stages: [],
    };
  }
}

interface AnswerBody {
  readonly type?: string;
  readonly outcome?: Proof;
  readonly output?: unknown;
  readonly stages?: readonly StageCost[];
}

function outcomeOf(
  arrival: Arrival,
  body: AnswerBody,
  latencyMs: number,
): Outcome {
  if (body.outcome !== undefined) {
    return {
      arrival,
      told: body.outcome === Proof.NotRun ? Told.NotRun : Told.OutcomeUnknown,
      reason: body.type,
      latencyMs,
      misdelivered: false,
      stages: [],
    };
  }
  return {
    arrival,
    told: Told.Done,
    latencyMs,
    misdelivered: !carriesOnly(arrival.marker, body.output),
    stages: body.stages ?? [],
  };
}

/** True when the output names the marker and no other one. */
function carriesOnly(marker: string, output: unknown): boolean {
  const text = JSON.stringify(output) ?? "";
  const found = text.match(/\bm\d+-\d+\b/g) ?? [];
  return found.length > 0 && found.every((one) => one === marker);
}
