/**
 * What a caller reads from the answer of an entry.
 *
 * @module
 */

import { readSse } from "../agent/mod.ts";
import { monotonicMs } from "../kernel/mod.ts";
import type { Proof } from "../model/mod.ts";

/** Time and tokens of one stage of an answered request. */
export interface StageCost {
  readonly stage: string;
  readonly tokens: number;
  readonly serviceMs: number;
  readonly queuedMs: number;
}

/** Final part of an answer: a result, or a refusal with its proof. */
export interface FinalAnswer {
  readonly type?: string;
  readonly outcome?: Proof;
  readonly retryAfterMs?: number;
  readonly output?: unknown;
  readonly stages?: readonly StageCost[];
}

/** Monotonic times of the streamed pieces of text, in milliseconds. */
export type TextTimes = readonly number[];

/** An answer that was read to its end. */
export interface ReadAnswer {
  /** Undefined when the stream ended without a final event. */
  readonly final?: FinalAnswer;
  readonly textAt: TextTimes;
}

/** Final events of a stream. */
const FINAL_MEMBERS = ["requestId", "outcome"];

/** Reads an answer in the form that its content type tells. */
export async function readAnswer(
  res: {
    headers: Record<string, string | string[] | undefined>;
    body: AsyncIterable<Uint8Array> & { json(): Promise<unknown> };
  },
): Promise<ReadAnswer> {
  const type = String(res.headers["content-type"] ?? "");
  if (!type.includes("text/event-stream")) {
    return { final: await res.body.json() as FinalAnswer, textAt: [] };
  }
  return await readStream(res.body);
}

async function readStream(
  body: AsyncIterable<Uint8Array>,
): Promise<ReadAnswer> {
  const textAt: number[] = [];
  let final: FinalAnswer | undefined;
  for await (const data of readSse(body)) {
    const event = JSON.parse(data) as object;
    const isFinal = FINAL_MEMBERS.some((member) => member in event);
    if (isFinal) final = event as FinalAnswer;
    else textAt.push(monotonicMs());
  }
  return { final, textAt };
}
