/**
 * Reads the response of an entry as a caller receives it.
 *
 * @module
 */

import { readSse } from "../agent/mod.ts";
import { monotonicMs } from "../kernel/mod.ts";
import type { Proof } from "../model/mod.ts";

/** Time and tokens of one stage of a completed request. */
export interface StageCost {
  readonly stage: string;
  readonly tokens: number;
  readonly serviceMs: number;
  readonly queuedMs: number;
}

/** Final part of a response: a result, or a refusal with its proof. */
export interface FinalResponse {
  readonly type?: string;
  readonly outcome?: Proof;
  readonly retryAfterMs?: number;
  readonly output?: unknown;
  readonly stages?: readonly StageCost[];
}

/** Monotonic arrival times of the streamed pieces of text, in milliseconds. */
export type TextTimes = readonly number[];

/** Response of an entry, read to its end. */
export interface EntryResponse {
  /** Undefined when the stream ended without a final event. */
  readonly final?: FinalResponse;
  readonly textTimes: TextTimes;
}

/** Members that only the final event of a stream has. */
const FINAL_MEMBERS = ["requestId", "outcome"];

/** Reads a response as JSON or as a stream, by its content type. */
export async function readResponse(
  res: {
    headers: Record<string, string | string[] | undefined>;
    body: AsyncIterable<Uint8Array> & { json(): Promise<unknown> };
  },
): Promise<EntryResponse> {
  const type = String(res.headers["content-type"] ?? "");
  if (!type.includes("text/event-stream")) {
    return { final: await res.body.json() as FinalResponse, textTimes: [] };
  }
  return await readStream(res.body);
}

async function readStream(
  body: AsyncIterable<Uint8Array>,
): Promise<EntryResponse> {
  const textTimes: number[] = [];
  let final: FinalResponse | undefined;
  for await (const data of readSse(body)) {
    const event = JSON.parse(data) as object;
    const isFinal = FINAL_MEMBERS.some((member) => member in event);
    if (isFinal) final = event as FinalResponse;
    else textTimes.push(monotonicMs());
  }
  return { final, textTimes };
}
