/**
 * Validates the response stream of one call: events of other calls and
 * duplicates are discarded, chunks must arrive in order without gaps, and the
 * result must match the call's fingerprint and stage, its own digest and the
 * streamed text.
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
export interface CallResponse {
  readonly call: Pick<StageCall, "callId" | "fingerprint" | "stage">;
  /** Text of the chunks received so far. */
  readonly text: string;
  /** Number of chunks received so far. */
  readonly chunks: number;
}

/** Effect of one event of the stream. */
export type CallResponseStep =
  | { readonly kind: "continue"; readonly response: CallResponse }
  | {
    readonly kind: "text";
    readonly response: CallResponse;
    readonly text: string;
  }
  /** The event belongs to another call or is a duplicate. */
  | { readonly kind: "discarded"; readonly response: CallResponse }
  | { readonly kind: "done"; readonly result: StageResult }
  | { readonly kind: "refused"; readonly refusal: Refusal }
  /** The stream is invalid and can no longer be trusted. */
  | { readonly kind: "broken"; readonly refusal: Refusal };

const RETRY_AFTER_MS = 1_000;

/** Returns the state of a response of which nothing has been received. */
export function createCallResponse(call: CallResponse["call"]): CallResponse {
  return { call, text: "", chunks: 0 };
}

/** Applies an event of the stream and returns its effect. */
export function applyCallEvent(
  response: CallResponse,
  event: CallEvent,
): CallResponseStep {
  switch (event.kind) {
    case "heartbeat":
      return { kind: "continue", response };
    case "chunk":
      return event.callId === response.call.callId
        ? applyChunk(response, event)
        : { kind: "discarded", response };
    case "result":
      return event.result.callId === response.call.callId
        ? applyResult(response, event)
        : { kind: "discarded", response };
    case "refused":
      return event.callId === response.call.callId
        ? { kind: "refused", refusal: event.refusal }
        : { kind: "discarded", response };
  }
}

function applyChunk(
  response: CallResponse,
  { seq, text }: { seq: number; text: string },
): CallResponseStep {
  if (seq < response.chunks) return { kind: "discarded", response };
  if (seq > response.chunks) return broken("A chunk of the stream is missing");
  const after = {
    ...response,
    text: response.text + text,
    chunks: response.chunks + 1,
  };
  return { kind: "text", response: after, text };
}

function applyResult(
  response: CallResponse,
  { result, chunks }: { result: StageResult; chunks: number },
): CallResponseStep {
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

function broken(detail: string): CallResponseStep {
  const refusal = outcomeUnknown(
    RefusalReason.BrokenResponse,
    detail,
    RETRY_AFTER_MS,
  );
  return { kind: "broken", refusal };
}
