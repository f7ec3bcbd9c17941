/**
 * One caller: sends a request to the entries in turn, as a load balancer would,
 * and repeats it as far as the settings allow.
 *
 * @module
 */

import { type Agent, request } from "undici";
import { monotonicMs, sleep, timeoutSignal } from "../kernel/mod.ts";
import { Proof } from "../model/mod.ts";
import type { Arrival } from "./arrivals.ts";
import {
  type EntryResponse,
  type FinalResponse,
  readResponse,
  type StageCost,
  type TextTimes,
} from "./response.ts";

/** Result of a request as reported to its caller. */
export const ReportedOutcome = {
  Done: "done",
  NotRun: "not-run",
  OutcomeUnknown: "outcome-unknown",
  /** No final response: the connection failed or the stream ended early. */
  NoResponse: "nothing",
} as const;
export type ReportedOutcome =
  typeof ReportedOutcome[keyof typeof ReportedOutcome];

/** Outcome of one request. */
export interface Outcome {
  readonly arrival: Arrival;
  readonly reported: ReportedOutcome;
  /** Type of the refusal, or the error when there is no response. */
  readonly reason?: string;
  /** Time from the planned arrival to the outcome, in milliseconds. */
  readonly latencyMs: number;
  /** Time from the planned arrival to the first text, in ms; streams only. */
  readonly firstTextMs?: number;
  /** Times between consecutive pieces of text, in ms; streams only. */
  readonly textGapsMs: readonly number[];
  /** True when the output lacks the marker or carries another request's. */
  readonly misdelivered: boolean;
  readonly stages: readonly StageCost[];
  /** Number of times the request was sent. */
  readonly sendCount: number;
}

/** Options of a caller. */
export interface CallerOptions {
  readonly dispatcher: Agent;
  /** Base URLs of the entries behind the balancer. */
  readonly entryUrls: readonly string[];
  /** Index in `entryUrls` of the entry that is tried first. */
  readonly firstEntry: number;
  /** Planned arrival on the monotonic clock, in milliseconds. */
  readonly plannedAt: number;
  readonly streaming?: boolean;
  readonly repeats?: { readonly notRun: number; readonly lost: number };
}

/** Time beyond the deadline for which a caller waits for a response, in ms. */
const RESPONSE_GRACE_MS = 2_000;
/** Pause before a repeat when the response sets none, in milliseconds. */
const DEFAULT_REPEAT_PAUSE_MS = 100;
/** Errors of a connection that was never made; the next entry is tried. */
const CONNECT_ERROR_CODES = ["ECONNREFUSED", "UND_ERR_CONNECT_TIMEOUT"];

/** Result of sending a request once. */
type Exchange =
  | { readonly kind: "answered"; readonly response: EntryResponse }
  | { readonly kind: "lost"; readonly reason: string };

/** Sends one request and repeats it while its settings and deadline allow. */
export async function sendOne(
  arrival: Arrival,
  opts: CallerOptions,
): Promise<Outcome> {
  let sendCount = 0;
  let notRunLeft = opts.repeats?.notRun ?? 0;
  let lostLeft = opts.repeats?.lost ?? 0;
  while (true) {
    const exchange = await sendOnce(arrival, opts, sendCount);
    sendCount += 1;
    const outcome = outcomeOf(arrival, exchange, { ...opts, sendCount });
    const pauseMs = pauseMsOf(exchange);
    const mayRepeat = outcome.reported === ReportedOutcome.NotRun
      ? notRunLeft-- > 0
      : outcome.reported === ReportedOutcome.NoResponse && lostLeft-- > 0;
    if (!mayRepeat || remainingMs(arrival, opts) <= pauseMs) return outcome;
    await sleep(pauseMs);
  }
}

/**
 * Sends to the next entry in turn. When no connection can be made, tries the
 * entries after it; any other error ends the attempt.
 */
async function sendOnce(
  arrival: Arrival,
  opts: CallerOptions,
  sendCount: number,
): Promise<Exchange> {
  const { entryUrls, firstEntry } = opts;
  let reason = "";
  for (let i = 0; i < entryUrls.length; i += 1) {
    const url =
      entryUrls[(firstEntry + sendCount + i) % entryUrls.length] as string;
    try {
      return await sendTo(url, arrival, opts);
    } catch (err) {
      reason = String(err);
      if (
        !CONNECT_ERROR_CODES.includes(String((err as { code?: unknown }).code))
      ) {
        break;
      }
    }
  }
  return { kind: "lost", reason };
}

async function sendTo(
  url: string,
  arrival: Arrival,
  opts: CallerOptions,
): Promise<Exchange> {
  const { workload, organisation, marker, key, document = "" } = arrival;
  const leftMs = Math.max(1, remainingMs(arrival, opts));
  const res = await request(`${url}/v1/pipelines/${workload.pipeline}`, {
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
    signal: timeoutSignal(leftMs + RESPONSE_GRACE_MS),
  });
  const response = await readResponse(res);
  return response.final
    ? { kind: "answered", response }
    : { kind: "lost", reason: "The stream has no final event" };
}

function remainingMs(
  { workload }: Arrival,
  { plannedAt }: CallerOptions,
): number {
  return workload.deadlineMs - (monotonicMs() - plannedAt);
}

function pauseMsOf(exchange: Exchange): number {
  if (exchange.kind === "lost") return DEFAULT_REPEAT_PAUSE_MS;
  return exchange.response.final?.retryAfterMs ?? DEFAULT_REPEAT_PAUSE_MS;
}

function outcomeOf(
  arrival: Arrival,
  exchange: Exchange,
  { plannedAt, sendCount }: { plannedAt: number; sendCount: number },
): Outcome {
  const shared = { arrival, sendCount, latencyMs: monotonicMs() - plannedAt };
  if (exchange.kind === "lost") {
    return { ...shared, ...NO_RESPONSE, reason: exchange.reason };
  }
  const { final = {}, textTimes } = exchange.response;
  return {
    ...shared,
    ...textTimings(textTimes, plannedAt),
    ...classifyFinal(arrival, final),
  };
}

const NO_RESPONSE = {
  reported: ReportedOutcome.NoResponse,
  misdelivered: false,
  stages: [],
  textGapsMs: [],
} as const;

function textTimings(textTimes: TextTimes, plannedAt: number) {
  const [first] = textTimes;
  return {
    firstTextMs: first === undefined ? undefined : first - plannedAt,
    textGapsMs: textTimes.slice(1).map((at, i) =>
      at - (textTimes[i] as number)
    ),
  };
}

function classifyFinal(
  { marker }: Arrival,
  final: FinalResponse,
): Pick<Outcome, "reported" | "reason" | "misdelivered" | "stages"> {
  if (final.outcome !== undefined) {
    return {
      reported: final.outcome === Proof.NotRun
        ? ReportedOutcome.NotRun
        : ReportedOutcome.OutcomeUnknown,
      reason: final.type,
      misdelivered: false,
      stages: [],
    };
  }
  return {
    reported: ReportedOutcome.Done,
    misdelivered: !containsOnlyMarker(marker, final.output),
    stages: final.stages ?? [],
  };
}

/** True when the output contains the marker and no other one. */
function containsOnlyMarker(marker: string, output: unknown): boolean {
  const text = JSON.stringify(output) ?? "";
  const found = text.match(/\bm\d+-\d+\b/g) ?? [];
  return found.length > 0 && found.every((one) => one === marker);
}
