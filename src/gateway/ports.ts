/**
 * Ports of an entry that calls its targets directly. The adapter to a platform
 * implements them; the services of this folder depend on no wire format.
 *
 * @module
 */

import type { Result } from "neverthrow";
import type {
  QuarantineChanges,
  Reachability,
  WatchedTarget,
} from "../crashes/mod.ts";
import type { OriginStore } from "../origins/mod.ts";
import type { RolloutWrite, RolloutWritten } from "../rollout/mod.ts";
import type {
  CallerLimits,
  ListedPeer,
  ListedTarget,
  LoadReport,
  PoolBuild,
  ResultHandle,
  StateChange,
  TokenCounts,
} from "../serving/mod.ts";

/** Parts of the state that the store holds, each with its own version. */
export const StatePart = {
  Configuration: "configuration",
  Targets: "targets",
  Peers: "peers",
} as const;
export type StatePart = typeof StatePart[keyof typeof StatePart];

/** Why a read from the store failed. */
export type SourceError =
  | { readonly kind: "unreachable"; readonly detail: string }
  /** The store no longer holds the changes since the requested version. */
  | { readonly kind: "history-lost" }
  /** The store has returned from a copy: its versions are of a new era. */
  | { readonly kind: "restored"; readonly era: number };

/** Changes up to a version of the store. */
export interface StateRead {
  readonly changes: readonly StateChange[];
  readonly version: number;
}

/** Reads and follows the state in the platform's store. */
export interface StateSource {
  /** Reads all rows of a part. */
  snapshot(
    part: StatePart,
    signal: AbortSignal,
  ): Promise<Result<StateRead, SourceError>>;
  /**
   * Reads the changes after a version; waits up to `waitMs` for the first one.
   */
  follow(
    part: StatePart,
    from: { readonly after: number; readonly waitMs: number },
    signal: AbortSignal,
  ): Promise<Result<StateRead, SourceError>>;
  /** Registers this process so that its peers can find it. */
  register(
    peer: ListedPeer,
    signal: AbortSignal,
  ): Promise<Result<void, SourceError>>;
  /**
   * Writes which segments of prompts are kept away from targets, and which no
   * longer; they come back as changes of the part `Peers`.
   */
  recordQuarantines(
    changed: QuarantineChanges,
    signal: AbortSignal,
  ): Promise<Result<void, SourceError>>;
  /** Origins of streams, which are read on demand only. */
  readonly origins: OriginStore;
  /**
   * Writes records of builds; they come back as changes of the part `Peers`.
   */
  recordBuilds(
    builds: readonly PoolBuild[],
    signal: AbortSignal,
  ): Promise<Result<void, SourceError>>;
  /**
   * Writes the decision on an order and the operator's status row, unless the
   * decision's row has another version than expected.
   */
  recordRollout(
    write: RolloutWrite,
    signal: AbortSignal,
  ): Promise<Result<RolloutWritten, SourceError>>;
}

/** Decoded request of a caller. */
export interface CallerRequest {
  /** Identifier that the caller gave to this attempt. */
  readonly id: string;
  readonly method: string;
  readonly hostname: string;
  /** Path and query, as sent. */
  readonly path: string;
  /** Headers to forward, as alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  readonly key?: string;
  /** Time that the caller is willing to wait, in milliseconds. */
  readonly deadlineMs?: number;
  /** Number of pieces of each stage. */
  readonly pieces: readonly number[];
  /** Key under which the first stages find the pieces of the request. */
  readonly pieceKey?: string;
  /** Names of the segments of the prompt, the shared ones first. */
  readonly promptParts: readonly string[];
  /** Token counts of those segments, in the same order; 0 if not stated. */
  readonly promptPartTokens?: readonly number[];
  /** Token counts of a request to an engine; undefined for other requests. */
  readonly tokens?: TokenCounts;
  /** Number of generated tokens that the caller expects at the median. */
  readonly expectedOutput?: number;
  /** Last event of a stream that the caller has received. */
  readonly lastEventId?: string;
  /**
   * Identifier of the attempt that delivered the first event of the stream that
   * this request resumes.
   */
  readonly originAttemptId?: string;
  /** Monotonic time at which the head of the request was read. */
  readonly receivedAt: number;
}

/** Why a request is refused by this process. */
export const RefusalKind = {
  /** No route matches. */
  UnknownRoute: "unknown-route",
  /** The key belongs to no organisation. */
  UnknownKey: "unknown-key",
  /** The request is malformed. */
  Malformed: "malformed",
  /** The body exceeds the size limit. */
  TooLarge: "too-large",
  /** The headers exceed the size limit. */
  HeadTooLarge: "head-too-large",
  /** The request was not run and will not be; the caller may retry. */
  NotRun: "not-run",
  /** The request may have run: no target gave a usable response. */
  Unknown: "unknown",
  /** The request may have run: its deadline passed. */
  TimedOut: "timed-out",
} as const;
export type RefusalKind = typeof RefusalKind[keyof typeof RefusalKind];

/** Response of this process in place of one of a target. */
export interface Refusal {
  readonly kind: RefusalKind;
  readonly reason: string;
  /** Time after which the caller may retry, in milliseconds. */
  readonly retryAfterMs?: number;
}

/** Sends the response to one request of a caller. */
export interface CallerResponse {
  /** Aborts when the caller disconnects. */
  readonly gone: AbortSignal;
  /** True once the head of a response was sent. */
  readonly hasBegun: boolean;
  /** Sends a refusal by this process. */
  refuse(refusal: Refusal): void;
  /** Forwards the head of a target's response. */
  begin(head: ResponseHead): void;
  /**
   * Forwards body bytes. On false, the sender pauses until `resume` is called.
   */
  write(bytes: Buffer, resume: () => void): boolean;
  /** Ends a complete response. */
  end(): void;
  /** Aborts the response so that the caller sees it as incomplete. */
  cut(): void;
}

/** What a response tells of whether its request was run. */
export const RunReport = {
  /** The response promises nothing; callers receive it as it is. */
  Answered: "answered",
  /** The target states that it has not run the request. */
  NotRun: "not-run",
  /** Another target serves the address and has not run the request. */
  OtherTarget: "other-target",
  /**
   * The status tells callers that the request was not run, but the target does
   * not state it. The request may have run.
   */
  Unconfirmed: "unconfirmed",
} as const;
export type RunReport = typeof RunReport[keyof typeof RunReport];

/** Head of a target's response. */
export interface ResponseHead {
  readonly status: number;
  /** Headers to forward, as alternating names and values. */
  readonly headers: readonly string[];
  /** True when the response belongs to the request that was sent. */
  readonly isMatching: boolean;
  /** True when the response carries the target's signature. */
  readonly isSigned: boolean;
  readonly report: RunReport;
  /** Load of the target, if reported. */
  readonly load?: LoadReport;
  /** Length of the body in bytes, if the head states it. */
  readonly bodyBytes?: number;
  /** True when the end of the connection ends the body. */
  readonly endsWithConnection?: boolean;
  /** True when the head says that the body is something else than events. */
  readonly isOtherMedia?: boolean;
}

/** Failure of a call to a target. */
export interface CallFailure {
  /** False when no byte of the request can have reached the target. */
  readonly mayHaveRun: boolean;
  readonly detail: string;
}

/**
 * Events of one call to a target, in order; `ended` or `failed` is the last.
 */
export interface CallListener {
  head(head: ResponseHead): void;
  /** Receives body bytes; false pauses the call until its `resume`. */
  data(bytes: Buffer): boolean;
  ended(): void;
  failed(failure: CallFailure): void;
}

/** Request to send to a target. */
export interface TargetCall {
  readonly target: ListedTarget;
  readonly req: CallerRequest;
  /** Time left until the deadline, in milliseconds. */
  readonly remainingMs: number;
  readonly organisation?: string;
  /** Class among the requests at the target, from 0 (most urgent) to 9. */
  readonly urgency: number;
  /** Results of the stages that the target reads. */
  readonly inputs?: readonly ResultHandle[];
  /** Event after which a stream is resumed. */
  readonly lastEventId?: string;
  /** Maximum number of connections of this process to the target. */
  readonly maxConnections: number;
}

/** Call in flight. */
export interface RunningCall {
  /** Aborts the call; the listener receives `failed`. */
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
  /** Results of the previous stages. */
  readonly inputs?: readonly ResultHandle[];
}

/** Why a target produced no result for a piece. */
export const PieceFault = {
  /** The deadline of the piece had passed. */
  DeadlineExceeded: "late",
  /** One of the inputs no longer exists. */
  InputMissing: "input-gone",
  /** The target has no result memory left. */
  ResultMemoryFull: "no-room",
  Failed: "failed",
} as const;
export type PieceFault = typeof PieceFault[keyof typeof PieceFault];

/** Outcome of one piece. */
export type PieceOutcome =
  | { readonly result: ResultHandle }
  | { readonly fault: PieceFault };

/** Failure of a whole call of pieces. */
export type PiecesError =
  /** The target refused the call without working on it. */
  | { readonly kind: "full" }
  /** Another target now serves the address. */
  | { readonly kind: "other-target" }
  | { readonly kind: "failed"; readonly detail: string };

/**
 * Timeout for opening a connection to a target, in milliseconds: a host that is
 * up responds within a few round trips, an unreachable one never does.
 */
export const CONNECT_TIMEOUT_MS = 600;

/** What the head of a target's response to any call says of its load. */
export interface TargetAnswer {
  readonly target: ListedTarget;
  /**
   * Limit of the target on the requests of all entries together, with no `perS`
   * when it names none; undefined when the limit could not be read.
   */
  readonly limit?: { readonly perS?: number };
  /** True when the target says that it is about to leave. */
  readonly isLeaving: boolean;
  /**
   * Time for which the target wants no request from this process, in
   * milliseconds.
   */
  readonly pauseMs?: number;
  /** Monotonic time at which its request was sent. */
  readonly sentAt: number;
}

/** Calls targets. */
export interface TargetClient {
  /** Calls `listener` with the head of each response of a target. */
  onAnswer(listener: (answer: TargetAnswer) => void): void;
  /** Sends a request. */
  send(call: TargetCall, listener: CallListener): RunningCall;
  /** Runs pieces at a target; the outcomes are in the order of the pieces. */
  runPieces(
    target: ListedTarget,
    pieces: readonly (Piece & { readonly remainingMs: number })[],
    signal: AbortSignal,
  ): Promise<Result<readonly PieceOutcome[], PiecesError>>;
  /**
   * Releases results; resolves when the targets that hold them have responded.
   */
  freeResults(results: readonly ResultHandle[]): Promise<void>;
  /** Checks by a new connection whether a target accepts connections. */
  checkReachability(target: WatchedTarget): Promise<Reachability>;
  /** Closes the connections to addresses that are not in the set. */
  retainConnections(addresses: ReadonlySet<string>): void;
  close(): Promise<void>;
}

/** Translates between a caller's HTTP messages and the types above. */
export interface CallerCodec {
  decode(raw: RawRequest): Result<CallerRequest, Refusal>;
  /** Returns status, headers and body of a refusal. */
  encodeRefusal(
    refusal: Refusal,
    requestId: string | undefined,
  ): { status: number; headers: readonly string[]; body: string };
  /** Returns the identifier of a request from its headers. */
  requestId(headers: NodeJS.Dict<string | string[]>): string | undefined;
}

/** A request as read by the HTTP server. */
export interface RawRequest {
  readonly method: string;
  readonly path: string;
  /** Headers by their names in lower case. */
  readonly headers: NodeJS.Dict<string | string[]>;
  /** Alternating names and values, as sent. */
  readonly rawHeaders: readonly string[];
  readonly body: Buffer;
  readonly receivedAt: number;
}

/** Limits in force until the first catalog is known. */
export const INITIAL_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};
