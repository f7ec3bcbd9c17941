/**
 * Watches an accepted change until it is in force in every process.
 *
 * @module
 */

import { okAsync } from "neverthrow";
import { MAX_CONFIRMED_AGE_MS } from "../freshness/mod.ts";
import { monotonicMs, sleep, timeoutSignal } from "../kernel/mod.ts";
import type { ListsUpdate } from "../lists/mod.ts";
import type { Table } from "../store/mod.ts";
import { readPeers } from "../process/mod.ts";
import {
  connectPeers,
  type GossipRequest,
  type PeerClient,
  type PeerInfo,
  type PeerState,
} from "../wire/mod.ts";
import { operatorKeyStore } from "./command.ts";

const POLL_INTERVAL_MS = 100;
const RESPONSE_TIMEOUT_MS = 1_000;
/** Largest number of processes that are queried concurrently. */
const MAX_CONCURRENT_QUERIES = 64;

/** A process and its state; no state when it did not respond. */
export interface ProcessStatus {
  readonly info: PeerInfo;
  readonly state?: PeerState;
}

/** Progress of a change through the processes. */
export interface Rollout {
  readonly version: number;
  /** Time from the acceptance until the last process had the change, in ms. */
  readonly inForceMs: number;
  /** Processes in which the change was in force when the watch ended. */
  readonly inForce: readonly string[];
  /** Processes that responded with an older version. */
  readonly lagging: readonly string[];
  /** Processes that did not respond. */
  readonly unreachable: readonly string[];
  /**
   * True when no reachable process lags. The result of `watchRollout()` also
   * requires that the processes could be listed and that unreachable ones
   * accept no new work by now.
   */
  readonly done: boolean;
}

/** Options of a watch. */
export interface RolloutOptions {
  readonly table: Table;
  /** The accepted change, sent to every process. */
  readonly update?: ListsUpdate;
  /** Processes to watch; by default, those registered in the table. */
  readonly peers?: readonly PeerInfo[];
  readonly waitMs: number;
  /** Monotonic time of the acceptance, in milliseconds. */
  readonly acceptedAt: number;
  readonly connect?: (info: PeerInfo) => PeerClient;
}

/**
 * Sends a change to every registered process and waits until it is in force.
 * For unreachable processes it waits `MAX_CONFIRMED_AGE_MS` from the
 * acceptance: after that time a process that is cut off accepts no new work.
 */
export async function watchRollout(
  version: number,
  opts: RolloutOptions,
): Promise<Rollout> {
  const connect = opts.connect ?? connectPeers(operatorKeyStore());
  const waitEndsAt = opts.acceptedAt + opts.waitMs;
  const read = opts.peers ? okAsync(opts.peers) : readPeers(opts.table);
  const registered = await read;
  const peers = registered.unwrapOr([]);
  const appliedMs = new Map<string, number>();
  let statuses: readonly ProcessStatus[] = [];
  while (true) {
    const missing = peers.filter(({ name }) => !appliedMs.has(name));
    const query = { version, offer: opts.update };
    statuses = await queryProcesses(missing, { connect, query });
    statuses.filter(({ state }) => (state?.listsVersion ?? 0) >= version)
      .forEach(({ info }) =>
        appliedMs.set(info.name, monotonicMs() - opts.acceptedAt)
      );
    const rollout = rolloutOf(version, {
      appliedMs,
      statuses,
    });
    const elapsedMs = monotonicMs() - opts.acceptedAt;
    const isSettled = rollout.unreachable.length === 0 ||
      elapsedMs > MAX_CONFIRMED_AGE_MS;
    if (rollout.done && isSettled && registered.isOk()) return rollout;
    if (monotonicMs() >= waitEndsAt) {
      return {
        ...rollout,
        done: rollout.done && isSettled && registered.isOk(),
      };
    }
    await sleep(POLL_INTERVAL_MS);
  }
}

/** Queries the state of processes, in batches. */
export async function queryProcesses(
  infos: readonly PeerInfo[],
  opts: {
    connect: (info: PeerInfo) => PeerClient;
    query: GossipRequest;
  },
): Promise<readonly ProcessStatus[]> {
  const batch = infos.slice(0, MAX_CONCURRENT_QUERIES);
  if (batch.length === 0) return [];
  const statuses = await Promise.all(
    batch.map((info) => queryProcess(info, opts)),
  );
  return [
    ...statuses,
    ...await queryProcesses(infos.slice(MAX_CONCURRENT_QUERIES), opts),
  ];
}

async function queryProcess(
  info: PeerInfo,
  opts: {
    connect: (info: PeerInfo) => PeerClient;
    query: GossipRequest;
  },
): Promise<ProcessStatus> {
  try {
    const response = await opts.connect(info)
      .exchange(opts.query, timeoutSignal(RESPONSE_TIMEOUT_MS));
    return { info, state: response.state };
  } catch {
    return { info };
  }
}

function rolloutOf(
  version: number,
  opts: {
    appliedMs: ReadonlyMap<string, number>;
    statuses: readonly ProcessStatus[];
  },
): Rollout {
  const missing = opts.statuses.filter(({ info }) =>
    !opts.appliedMs.has(info.name)
  );
  const namesOf = (processes: readonly ProcessStatus[]) =>
    processes.map(({ info }) => info.name);
  const lagging = namesOf(missing.filter(({ state }) => state));
  return {
    version,
    inForceMs: Math.round(Math.max(0, ...opts.appliedMs.values())),
    inForce: [...opts.appliedMs.keys()].sort(),
    lagging,
    unreachable: namesOf(missing.filter(({ state }) => !state)),
    done: lagging.length === 0,
  };
}
