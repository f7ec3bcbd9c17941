/**
 * What the processes ask of each other.
 *
 * @module
 */

import type {
  CallEvent,
  Lists,
  StageCall,
  Target,
  TargetLoad,
} from "../model/mod.ts";

/** Asked of entries and agents alike. */
export interface PeerApi {
  /** What the peer knows of the configuration. */
  peerState(): PeerState;
  /** The peer's lists when they are newer than `version`; null otherwise. */
  listsSince(version: number): Lists | null;
}

/** A peer's view of the configuration. */
export interface PeerState {
  /** Name of the process. */
  readonly process: string;
  readonly listsVersion: number;
  /** Time since the version was last confirmed newest, in milliseconds. */
  readonly confirmedAgeMs: number;
  readonly ready: boolean;
}

/** Asked of an agent. */
export interface AgentApi extends PeerApi {
  /** Runs one stage call and streams its events. */
  call(call: StageCall, signal: AbortSignal): AsyncIterable<CallEvent>;
  /** The target and its load. */
  targetState(): TargetState;
}

/** A target as its agent reports it. */
export interface TargetState {
  readonly target: Target;
  readonly load: TargetLoad;
}
