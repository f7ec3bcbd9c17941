/**
 * What the processes ask of each other.
 *
 * @module
 */

import type { Standing } from "../freshness/mod.ts";
import type { ListsUpdate } from "../lists/mod.ts";
import type {
  CallEvent,
  CostRow,
  DomainName,
  StageCall,
  Target,
  TargetLoad,
} from "../model/mod.ts";

/** Asked of entries and agents alike. */
export interface PeerApi {
  /** What the peer knows of the configuration. */
  peerState(): PeerState;
  /** What brings `version` up to date; null when the peer has nothing newer. */
  listsSince(version: number): ListsUpdate | null;
  /** Tells each side what the other knows. */
  exchange(question: GossipQuestion): GossipAnswer;
}

/** How a process is reached by its peers. */
export interface PeerInfo {
  /** Name of the process. */
  readonly name: string;
  readonly domain: DomainName;
  /** Base URL of the control address. */
  readonly url: string;
}

/** What one process tells and asks another. */
export interface GossipQuestion {
  /** The asker; absent when it serves no peers itself. */
  readonly from?: PeerInfo;
  readonly version: number;
  /** Newest change, for a receiver who lacks it. */
  readonly offer?: ListsUpdate;
}

/** What a process answers to a peer. */
export interface GossipAnswer {
  readonly state: PeerState;
  /** Brings the asker up to date; null when it is. */
  readonly update: ListsUpdate | null;
  /** Failure domains that the peer knows to have processes. */
  readonly domains: readonly DomainName[];
  /** Some other processes. */
  readonly peers: readonly PeerInfo[];
}

/** A peer's view of the configuration. */
export interface PeerState {
  /** Name of the process. */
  readonly process: string;
  readonly domain: DomainName;
  readonly listsVersion: number;
  /** Time since the last confirmation, in milliseconds; null without one. */
  readonly confirmedAgeMs: number | null;
  readonly standing: Standing;
  readonly ready: boolean;
}

/** Asked of an entry. */
export interface EntryApi extends PeerApi {
  /** Costs since the entry started. */
  costs(): readonly CostRow[];
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
