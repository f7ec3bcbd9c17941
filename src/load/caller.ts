/**
 * One caller: sends a request through the balancer and repeats it where its
 * settings allow.
 *
 * @module
 */

import { type Agent, request } from "undici";
import { monotonicMs, sleep, timeoutSignal } from "../kernel/mod.ts";
import { Proof } from "../model/mod.ts";
import type { Arrival } from "./arrivals.ts";
import {
  type FinalAnswer,
  type ReadAnswer,
  readAnswer,
  type StageCost,
  type TextTimes,
} from "./answer.ts";

/** What a caller was told in the end. */
export const Told = {
  Done: "done",
  NotRun: "not-run",
  OutcomeUnknown: "outcome-unknown",
  /** The connection to the entry failed. */
  Nothing: "nothing",
} as const;
export type Told = typeof Told[keyof typeof Told];

/** One finished request. */
export interface Outcome {
  readonly arrival: Arrival;
  readonly told: Told;
  /** Reason of a refusal. */
  readonly reason?: string;
  /** Time from the planned arrival, in milliseconds. */
  readonly latencyMs: number;
  /** Time from the planned arrival to the first text; streams only. */
  readonly firstTextMs?: number;
  /** Times between pieces of text, in milliseconds; streams only. */
  readonly textGapsMs: readonly number[];
  /** True when the answer carries another request's marker. */
  readonly misdelivered: boolean;
  readonly stages: readonly StageCost[];
  /** Times that the request was sent to an entry. */
  readonly sends: number;
}

/** How callers send. */
export interface CallerOptions {
  readonly dispatcher: Agent;
  /** Base URLs of the entries behind the balancer. */
  readonly entryUrls: readonly string[];
  /** Entry that the balancer takes first, as a position in `entryUrls`. */
  readonly first: number;
  /** Planned arrival on the monotonic clock, in milliseconds. */
  readonly dueAt: number;
  readonly streaming?: boolean;
  readonly repeats?: { readonly notRun: number; readonly lost: number };
}

/** Slack that a caller gives an answer beyond its deadline, in ms. */
const ANSWER_SLACK_MS = 2_000;
/** Pause before a repeat when the refusal names none, in milliseconds. */
const REPEAT_PAUSE_MS = 100;
const REFUSED_CODES = ["ECONNREFUSED", "UND_ERR_CONNECT_TIMEOUT"];

/** Result of one exchange with the entries. */
type Exchange =
  | { readonly kind: "answered"; readonly answer: ReadAnswer }
  | { readonly kind: "lost"; readonly reason: string };

/** Sends one request until it has its final answer. */
export async function sendOne(
  arrival: Arrival,
  opts: CallerOptions,
): Promise<Outcome> {
  let sends = 0;
  let notRunLeft = opts.repeats?.notRun ?? 0;
  let lostLeft = opts.repeats?.lost ?? 0;
  while (true) {
    const exchange = await exchangeOne(arrival, opts, sends);
    sends += 1;
    const outcome = outcomeOf(arrival, exchange, { ...opts, sends });
    const pauseMs = pauseOf(exchange);
    const mayRepeat = outcome.told === Told.NotRun
      ? notRunLeft-- > 0
      : outcome.told === Told.Nothing && lostLeft-- > 0;
    if (!mayRepeat || remainingMs(arrival, opts) <= pauseMs) return outcome;
    await sleep(pauseMs);
  }
}

/** Sends to the entry whose turn it is, or to the next one that listens. */
async function exchangeOne(
  arrival: Arrival,
  opts: CallerOptions,
  sends: number,
): Promise<Exchange> {
  const { entryUrls, first } = opts;
  let reason = "";
  for (let i = 0; i < entryUrls.length; i += 1) {
    const url = entryUrls[(first + sends + i) % entryUrls.length] as string;
    try {
      return await exchangeAt(url, arrival, opts);
    } catch (err) {
      reason = String(err);
      if (!REFUSED_CODES.includes(String((err as { code?: unknown }).code))) {
        break;
      }
    }
  }
  return { kind: "lost", reason };
}

async function exchangeAt(
  url: string,
  arrival: Arrival,
  opts: CallerOptions,
): Promise<Exchange> {
  const { work, organisation, marker, key, document = "" } = arrival;
  const leftMs = Math.max(1, remainingMs(arrival, opts));
  const res = await request(`${url}/v1/pipelines/${work.pipeline}`, {
    method: "POST",
    headers: {
      "content-type": "application/json",
      "authorization": `Bearer ${organisation.key}`,
      "idempotency-key": key,
      "deadline-ms": String(leftMs),
      ...(opts.streaming ? { accept: "text/event-stream" } : {}),
    },
    body: JSON.stringify({
      input: { document, marker, text: `Text of request ${marker}` },
    }),
    dispatcher: opts.dispatcher,
    signal: timeoutSignal(leftMs + ANSWER_SLACK_MS),
  });
  const answer = await readAnswer(res);
  return answer.final
    ? { kind: "answered", answer }
    : { kind: "lost", reason: "The stream has no final event" };
}

function remainingMs({ work }: Arrival, { dueAt }: CallerOptions): number {
  return work.deadlineMs - (monotonicMs() - dueAt);
}

function pauseOf(exchange: Exchange): number {
  if (exchange.kind === "lost") return REPEAT_PAUSE_MS;
  return exchange.answer.final?.retryAfterMs ?? REPEAT_PAUSE_MS;
}

function outcomeOf(
  arrival: Arrival,
  exchange: Exchange,
  { dueAt, sends }: { dueAt: number; sends: number },
): Outcome {
  const shared = { arrival, sends, latencyMs: monotonicMs() - dueAt };
  if (exchange.kind === "lost") {
    return { ...shared, ...UNANSWERED, reason: exchange.reason };
  }
  const { final = {}, textAt } = exchange.answer;
  return {
    ...shared,
    ...textFigures(textAt, dueAt),
    ...toldBy(arrival, final),
  };
}

const UNANSWERED = {
  told: Told.Nothing,
  misdelivered: false,
  stages: [],
  textGapsMs: [],
} as const;

function textFigures(textAt: TextTimes, dueAt: number) {
  const [first] = textAt;
  return {
    firstTextMs: first === undefined ? undefined : first - dueAt,
    textGapsMs: textAt.slice(1).map((at, i) => at - (textAt[i] as number)),
  };
}

function toldBy(
  { marker }: Arrival,
  final: FinalAnswer,
): Pick<Outcome, "told" | "reason" | "misdelivered" | "stages"> {
  if (final.outcome !== undefined) {
    return {
      told: final.outcome === Proof.NotRun ? Told.NotRun : Told.OutcomeUnknown,
      reason: final.type,
      misdelivered: false,
      stages: [],
    };
  }
  return {
    told: Told.Done,
    misdelivered: !carriesOnly(marker, final.output),
    stages: final.stages ?? [],
  };
}

/** True when the output names the marker and no other one. */
function carriesOnly(marker: string, output: unknown): boolean {
  const text = JSON.stringify(output) ?? "";
  const found = text.match(/\bm\d+-\d+\b/g) ?? [];
  return found.length > 0 && found.every((one) => one === marker);
}
