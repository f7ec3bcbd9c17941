/**
 * Checks the answer stream of one call: every event has to belong to the call,
 * chunks have to come in order without gaps, and the result has to match the
 * call's fingerprint, its own digest and the text that was streamed.
 *
 * @module
 */

import {
  type CallEvent,
  digest,
  outcomeUnknown,
  type Refusal,
  RefusalReason,
  type StageCall,
  type StageResult,
} from "../model/mod.ts";

/** State of an answer stream. */
export interface Answer {
  readonly call: Pick<StageCall, "callId" | "fingerprint" | "stage">;
  /** Text of the chunks so far. */
  readonly text: string;
  /** Number of the chunks so far. */
  readonly chunks: number;
}

/** What an event of the stream means. */
export type AnswerStep =
  | { readonly kind: "continue"; readonly answer: Answer }
  | { readonly kind: "text"; readonly answer: Answer; readonly text: string }
  /** The event belongs to another call, or came twice. */
  | { readonly kind: "dropped"; readonly answer: Answer }
  | { readonly kind: "done"; readonly result: StageResult }
  | { readonly kind: "refused"; readonly refusal: Refusal }
  /** The stream cannot be trusted any more. */
  | { readonly kind: "broken"; readonly refusal: Refusal };

const RETRY_AFTER_MS = 1_000;

/** Answer of which nothing has come. */
export function createAnswer(call: Answer["call"]): Answer {
  return { call, text: "", chunks: 0 };
}

/** Applies an event of the stream. */
export function applyAnswer(answer: Answer, event: CallEvent): AnswerStep {
  switch (event.kind) {
    case "heartbeat":
      return { kind: "continue", answer };
    case "chunk":
      return event.callId === answer.call.callId
        ? applyChunk(answer, event)
        : { kind: "dropped", answer };
    case "result":
      return event.result.callId === answer.call.callId
        ? applyResult(answer, event)
        : { kind: "dropped", answer };
    case "refused":
      return event.callId === answer.call.callId
        ? { kind: "refused", refusal: event.refusal }
        : { kind: "dropped", answer };
  }
}

function applyChunk(
  answer: Answer,
  { seq, text }: { seq: number; text: string },
): AnswerStep {
  if (seq < answer.chunks) return { kind: "dropped", answer };
  if (seq > answer.chunks) return broken("A chunk of the stream is missing");
  const after = {
    ...answer,
    text: answer.text + text,
    chunks: answer.chunks + 1,
  };
  return { kind: "text", answer: after, text };
}

function applyResult(
  answer: Answer,
  { result, chunks }: { result: StageResult; chunks: number },
): AnswerStep {
  const { call } = answer;
  if (
    result.fingerprint !== call.fingerprint || result.stage !== call.stage
  ) {
    return broken("The result belongs to another request");
  }
  if (result.digest !== digest(result.output ?? null)) {
    return broken("The result does not match its digest");
  }
  if (chunks !== answer.chunks) return broken("The stream was cut short");
  if (chunks > 0 && textOf(result.output) !== answer.text) {
    return broken("The streamed text differs from the result");
  }
  return { kind: "done", result };
}

function textOf(output: unknown): unknown {
  return (output as { text?: unknown } | null)?.text;
}

function broken(detail: string): AnswerStep {
  const refusal = outcomeUnknown(
    RefusalReason.BrokenAnswer,
    detail,
    RETRY_AFTER_MS,
  );
  return { kind: "broken", refusal };
}
