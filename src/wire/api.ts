/**
 * Procedures that the processes call on each other.
 *
 * @module
 */

import type { FreshnessStatus } from "../freshness/mod.ts";
import type { ListsUpdate } from "../lists/mod.ts";
import type {
  CallEvent,
  CostRow,
  DomainName,
  StageCall,
  Target,
  TargetLoad,
} from "../model/mod.ts";

import type { NoticeMessage } from "./notices.ts";

/** Procedures of every process, entry or agent. */
export interface PeerApi {
  /** Returns the peer's view of the configuration. */
  peerState(): PeerState;
  /** Returns the update from `version`; null when there is nothing newer. */
  listsSince(version: number): ListsUpdate | null;
  /** Exchanges the known state of the lists in both directions. */
  exchange(request: GossipRequest): GossipResponse;
}

/** Name and address of a process, for its peers. */
export interface PeerInfo {
  /** Name of the process. */
  readonly name: string;
  readonly domain: DomainName;
  /** Base URL of the control address. */
  readonly url: string;
}

/** Gossip request of one process to another. */
export interface GossipRequest {
  /** The sender; absent when it serves no peers itself. */
  readonly from?: PeerInfo;
  /** Version of the sender's lists. */
  readonly version: number;
  /** Newest change, for a receiver that does not have it yet. */
  readonly offer?: ListsUpdate;
  readonly notices?: NoticeMessage;
}

/** Response to a gossip request. */
export interface GossipResponse {
  readonly state: PeerState;
  /** Update for the sender; null when it is up to date. */
  readonly update: ListsUpdate | null;
  /** Failure domains in which the peer knows of processes. */
  readonly domains: readonly DomainName[];
  /** Sample of the other processes. */
  readonly peers: readonly PeerInfo[];
  /** Absent when the peer does not exchange notices. */
  readonly notices?: NoticeMessage;
}

/** A peer's view of the configuration. */
export interface PeerState {
  /** Name of the process. */
  readonly process: string;
  readonly domain: DomainName;
  readonly listsVersion: number;
  /**
   * Time since the lists were last confirmed as the newest, in milliseconds;
   * null if they never were.
   */
  readonly confirmedAgeMs: number | null;
  readonly standing: FreshnessStatus;
  readonly ready: boolean;
}

/** Procedures of an entry. */
export interface EntryApi extends PeerApi {
  /** Returns the costs since the start of the entry. */
  costs(): readonly CostRow[];
}

/** Procedures of an agent. */
export interface AgentApi extends PeerApi {
  /** Runs one stage call and streams its events. */
  call(call: StageCall, signal: AbortSignal): AsyncIterable<CallEvent>;
  /** Returns the target and its load. */
  targetState(): TargetState;
}

/** A target and its load, as reported by its agent. */
export interface TargetState {
  readonly target: Target;
  readonly load: TargetLoad;
}
