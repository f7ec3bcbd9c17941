/**
 * Validates the response stream of one call: every event must belong to the
 * call, chunks must arrive in order without gaps, and the result must match
 * the call's fingerprint, its own digest and the streamed text.
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

/** State of a response stream. */
export interface Answer {
  readonly call: Pick<StageCall, "callId" | "fingerprint" | "stage">;
  /** Text of the chunks received so far. */
  readonly text: string;
  /** Number of chunks received so far. */
  readonly chunks: number;
}

/** Effect of one event of the stream. */
export type AnswerStep =
  | { readonly kind: "continue"; readonly answer: Answer }
  | { readonly kind: "text"; readonly answer: Answer; readonly text: string }
  /** The event belongs to another call or is a duplicate. */
  | { readonly kind: "dropped"; readonly answer: Answer }
  | { readonly kind: "done"; readonly result: StageResult }
  | { readonly kind: "refused"; readonly refusal: Refusal }
  /** The stream is invalid and can no longer be trusted. */
  | { readonly kind: "broken"; readonly refusal: Refusal };

const RETRY_AFTER_MS = 1_000;

/** Returns the state of a response of which nothing has been received. */
export function createAnswer(call: Answer["call"]): Answer {
  return { call, text: "", chunks: 0 };
}

/** Applies an event of the stream and returns its effect. */
export function applyAnswer(response: Answer, event: CallEvent): AnswerStep {
  switch (event.kind) {
    case "heartbeat":
      return { kind: "continue", answer: response };
    case "chunk":
      return event.callId === response.call.callId
        ? applyChunk(response, event)
        : { kind: "dropped", answer: response };
    case "result":
      return event.result.callId === response.call.callId
        ? applyResult(response, event)
        : { kind: "dropped", answer: response };
    case "refused":
      return event.callId === response.call.callId
        ? { kind: "refused", refusal: event.refusal }
        : { kind: "dropped", answer: response };
  }
}

function applyChunk(
  response: Answer,
  { seq, text }: { seq: number; text: string },
): AnswerStep {
  if (seq < response.chunks) return { kind: "dropped", answer: response };
  if (seq > response.chunks) return broken("A chunk of the stream is missing");
  const after = {
    ...response,
    text: response.text + text,
    chunks: response.chunks + 1,
  };
  return { kind: "text", answer: after, text };
}

function applyResult(
  response: Answer,
  { result, chunks }: { result: StageResult; chunks: number },
): AnswerStep {
  const { call } = response;
  if (
    result.fingerprint !== call.fingerprint || result.stage !== call.stage
  ) {
    return broken("The result belongs to another request");
  }
  if (result.digest !== digest(result.output ?? null)) {
    return broken("The result does not match its digest");
  }
  if (chunks !== response.chunks) return broken("The stream was cut short");
  if (chunks > 0 && textOf(result.output) !== response.text) {
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
