/**
 * Ports of an entry that calls its targets itself. An adapter to a platform
 * implements them; the services of this folder know no wire format.
 *
 * @module
 */

import type { Result } from "neverthrow";
import type {
  CallerLimits,
  ListedPeer,
  ListedTarget,
  ResultHandle,
  StateChange,
  TokenCounts,
} from "../serving/mod.ts";

/** Parts of the state that the store keeps. */
export const StatePart = {
  Configuration: "configuration",
  Targets: "targets",
  Peers: "peers",
} as const;
export type StatePart = typeof StatePart[keyof typeof StatePart];

/** Why the store gave no state. */
export type SourceError =
  | { readonly kind: "unreachable"; readonly detail: string }
  /** The changes since the given version are no longer kept. */
  | { readonly kind: "history-lost" };

/** Changes up to a version of the store. */
export interface StateRead {
  readonly changes: readonly StateChange[];
  readonly version: number;
}

/** Reads and follows the state that the platform's store keeps. */
export interface StateSource {
  /** All rows of a part. */
  snapshot(
    part: StatePart,
    signal: AbortSignal,
  ): Promise<Result<StateRead, SourceError>>;
  /** Changes after a version; waits up to `waitMs` for the first one. */
  follow(
    part: StatePart,
    from: { readonly after: number; readonly waitMs: number },
    signal: AbortSignal,
  ): Promise<Result<StateRead, SourceError>>;
  /** Lists this process for its peers. */
  register(
    peer: ListedPeer,
    signal: AbortSignal,
  ): Promise<Result<void, SourceError>>;
}

/** A caller's request, decoded. */
export interface CallerRequest {
  /** Caller's own identifier of this attempt. */
  readonly id: string;
  readonly method: string;
  readonly hostname: string;
  /** Path with its query, as sent. */
  readonly path: string;
  /** Headers that are passed on, as name and value in turn. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  readonly key?: string;
  /** Time that the caller waits, in milliseconds. */
  readonly deadlineMs?: number;
  /** Number of pieces of each stage. */
  readonly pieces: readonly number[];
  /** Key by which the first stages find the request's pieces. */
  readonly pieceKey?: string;
  /** Names of the parts of the prompt, the shared ones first. */
  readonly promptParts: readonly string[];
  /** What it asks an engine for; undefined for other requests. */
  readonly tokens?: TokenCounts;
  /** Last event that the caller has received of a stream. */
  readonly lastEventId?: string;
  /** Monotonic time at which the request was read. */
  readonly receivedAt: number;
}

/** Why a request gets no target's answer. */
export const RefusalKind = {
  /** No route matches. */
  UnknownRoute: "unknown-route",
  /** The key belongs to no organisation. */
  UnknownKey: "unknown-key",
  /** The request is malformed. */
  Malformed: "malformed",
  /** The body is larger than callers may send. */
  TooLarge: "too-large",
  /** The headers are larger than callers may send. */
  HeadTooLarge: "head-too-large",
  /** Not run and never will be; the caller may come back. */
  NotRun: "not-run",
  /** It may have run: the connection to the target failed. */
  Unknown: "unknown",
  /** It may have run: the time is over. */
  TimedOut: "timed-out",
} as const;
export type RefusalKind = typeof RefusalKind[keyof typeof RefusalKind];

/** Answer of this process in place of a target's. */
export interface Refusal {
  readonly kind: RefusalKind;
  readonly reason: string;
  /** When the caller may come back, in milliseconds. */
  readonly retryAfterMs?: number;
}

/** Where the answer to one request goes. */
export interface CallerAnswer {
  /** Aborts when the caller has gone. */
  readonly gone: AbortSignal;
  /** True once the status of a target's answer was passed on. */
  readonly hasBegun: boolean;
  /** Sends an answer of this process. */
  refuse(refusal: Refusal): void;
  /** Passes on the head of a target's answer. */
  begin(head: AnswerHead): void;
  /** Passes on bytes; `resume` is called when more may follow. */
  write(bytes: Buffer, resume: () => void): boolean;
  /** Ends a complete answer. */
  end(): void;
  /** Breaks off an answer so that it does not look complete. */
  cut(): void;
}

/** Head of a target's answer. */
export interface AnswerHead {
  readonly status: number;
  /** Headers to pass on, as name and value in turn. */
  readonly headers: readonly string[];
  /** True when the answer is to the request that was sent. */
  readonly isOwn: boolean;
  /** True when it bears the target's signature. */
  readonly isSigned: boolean;
  /** True when the target says that the request has not run. */
  readonly isNotRun: boolean;
  /** True when another target has taken over the address. */
  readonly isOtherTarget: boolean;
  /** Requests that the target runs and that wait there, if it tells. */
  readonly load?: number;
}

/** Failure of a call to a target. */
export interface CallFailure {
  /** False when no byte of the request can have reached the target. */
  readonly mayHaveRun: boolean;
  readonly detail: string;
}

/** Events of one call to a target, in order; `ended` or `failed` is last. */
export interface CallListener {
  head(head: AnswerHead): void;
  /** False asks to pause until the call's `resume`. */
  data(bytes: Buffer): boolean;
  ended(): void;
  failed(failure: CallFailure): void;
}

/** What is sent to a target. */
export interface TargetCall {
  readonly target: ListedTarget;
  readonly req: CallerRequest;
  /** Time that is left, in milliseconds. */
  readonly remainingMs: number;
  readonly organisation?: string;
  /** Rank among the requests at the target; 0 is the most urgent. */
  readonly urgency: number;
  /** Results of the stages that the target reads. */
  readonly inputs?: readonly ResultHandle[];
  /** Resumes a stream behind this event. */
  readonly lastEventId?: string;
  /** Most connections of this process to the target. */
  readonly maxConnections: number;
}

/** Call that is under way. */
export interface RunningCall {
  /** Breaks it off; the listener hears `failed`. */
  abort(reason: string): void;
  resume(): void;
}

/** One piece of a stage. */
export interface Piece {
  readonly requestId: string;
  readonly stage: number;
  readonly segment: number;
  /** Set on pieces of the first stages. */
  readonly key?: string;
  /** Results of the stages before. */
  readonly inputs?: readonly ResultHandle[];
}

/** Why a target made no result of a piece. */
export const PieceFault = {
  /** Its time had passed. */
  Late: "late",
  /** One of its inputs is gone. */
  InputGone: "input-gone",
  /** The target has no room for the result. */
  NoRoom: "no-room",
  Failed: "failed",
} as const;
export type PieceFault = typeof PieceFault[keyof typeof PieceFault];

/** Outcome of one piece. */
export type PieceOutcome =
  | { readonly result: ResultHandle }
  | { readonly fault: PieceFault };

/** Failure of a whole call of pieces. */
export type PiecesError =
  /** The target refused the call and did not work on it. */
  | { readonly kind: "full" }
  /** Another target has taken over the address. */
  | { readonly kind: "other-target" }
  | { readonly kind: "failed"; readonly detail: string };

/**
 * Longest time to open a connection to a target, in milliseconds: a host that
 * is up answers within a few round trips, one that is dark never does.
 */
export const CONNECT_TIMEOUT_MS = 600;

/** Calls targets. */
export interface TargetClient {
  /** Sends a request. */
  send(call: TargetCall, listener: CallListener): RunningCall;
  /** Has a target work on pieces; outcomes are in the order of the pieces. */
  runPieces(
    target: ListedTarget,
    pieces: readonly (Piece & { readonly remainingMs: number })[],
    signal: AbortSignal,
  ): Promise<Result<readonly PieceOutcome[], PiecesError>>;
  /** Frees the room of results; resolves when their makers have answered. */
  freeResults(results: readonly ResultHandle[]): Promise<void>;
  /** Forgets the connections of targets that are not in use. */
  keepOnly(addresses: ReadonlySet<string>): void;
  close(): Promise<void>;
}

/** Translates between a caller's HTTP messages and the types above. */
export interface CallerCodec {
  decode(raw: RawRequest): Result<CallerRequest, Refusal>;
  /** Status, headers and body of a refusal. */
  encodeRefusal(
    refusal: Refusal,
    requestId: string | undefined,
  ): { status: number; headers: readonly string[]; body: string };
  /** Identifier of a request whose head was read. */
  requestId(headers: NodeJS.Dict<string | string[]>): string | undefined;
}

/** A request as the HTTP server read it. */
export interface RawRequest {
  readonly method: string;
  readonly path: string;
  /** Names in lower case. */
  readonly headers: NodeJS.Dict<string | string[]>;
  /** Names and values in turn, as sent. */
  readonly rawHeaders: readonly string[];
  readonly body: Buffer;
  readonly receivedAt: number;
}

/** Limits that hold until the first catalog is known. */
export const INITIAL_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};
