/**
 * Watching an accepted change come into force in every process.
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
  type GossipQuestion,
  type PeerClient,
  type PeerInfo,
  type PeerState,
} from "../wire/mod.ts";
import { fleetKeys } from "./command.ts";

const ROUND_MS = 100;
const ANSWER_MS = 1_000;
/** Processes that are asked at the same time. */
const MAX_ASKED = 64;

/** A process and what it answered; no state when it did not. */
export interface Asked {
  readonly info: PeerInfo;
  readonly state?: PeerState;
}

/** How far a change has come. */
export interface Rollout {
  readonly version: number;
  /** Time from the acceptance until the last process had it, in ms. */
  readonly inForceMs: number;
  /** Processes that had the change when the watch ended. */
  readonly inForce: readonly string[];
  /** Processes that answered and did not have it. */
  readonly lagging: readonly string[];
  /** Processes that did not answer. */
  readonly unreachable: readonly string[];
  /** True when no reachable process lags. */
  readonly done: boolean;
}

/** Options of a watch. */
export interface RolloutOptions {
  readonly table: Table;
  /** The accepted change, offered to every process. */
  readonly update?: ListsUpdate;
  /** Processes to watch; those that are registered unless given. */
  readonly peers?: readonly PeerInfo[];
  readonly waitMs: number;
  /** Monotonic time of the acceptance, in milliseconds. */
  readonly acceptedAt: number;
  readonly connect?: (info: PeerInfo) => PeerClient;
}

/**
 * Offers a change to every registered process and waits until it is in force.
 * A process that cannot be reached is given the time after which, cut off, it
 * takes no new work.
 */
export async function watchRollout(
  version: number,
  opts: RolloutOptions,
): Promise<Rollout> {
  const connect = opts.connect ?? connectPeers(fleetKeys());
  const until = opts.acceptedAt + opts.waitMs;
  const read = opts.peers ? okAsync(opts.peers) : readPeers(opts.table);
  const known = await read;
  const peers = known.unwrapOr([]);
  const has = new Map<string, number>();
  let asked: readonly Asked[] = [];
  while (true) {
    const missing = peers.filter(({ name }) => !has.has(name));
    const question = { version, offer: opts.update };
    asked = await askAll(missing, { connect, question });
    asked.filter(({ state }) => (state?.listsVersion ?? 0) >= version)
      .forEach(({ info }) =>
        has.set(info.name, monotonicMs() - opts.acceptedAt)
      );
    const rollout = rolloutOf(version, { has, asked });
    const age = monotonicMs() - opts.acceptedAt;
    const isSettled = rollout.unreachable.length === 0 ||
      age > MAX_CONFIRMED_AGE_MS;
    if (rollout.done && isSettled && known.isOk()) return rollout;
    if (monotonicMs() >= until) {
      return { ...rollout, done: rollout.done && isSettled && known.isOk() };
    }
    await sleep(ROUND_MS);
  }
}

/** Asks processes for their state, some at a time. */
export async function askAll(
  infos: readonly PeerInfo[],
  opts: {
    connect: (info: PeerInfo) => PeerClient;
    question: GossipQuestion;
  },
): Promise<readonly Asked[]> {
  const batch = infos.slice(0, MAX_ASKED);
  if (batch.length === 0) return [];
  const asked = await Promise.all(batch.map((info) => askOne(info, opts)));
  return [...asked, ...await askAll(infos.slice(MAX_ASKED), opts)];
}

async function askOne(
  info: PeerInfo,
  opts: {
    connect: (info: PeerInfo) => PeerClient;
    question: GossipQuestion;
  },
): Promise<Asked> {
  try {
    const answer = await opts.connect(info)
      .exchange(opts.question, timeoutSignal(ANSWER_MS));
    return { info, state: answer.state };
  } catch {
    return { info };
  }
}

function rolloutOf(
  version: number,
  opts: { has: ReadonlyMap<string, number>; asked: readonly Asked[] },
): Rollout {
  const missing = opts.asked.filter(({ info }) => !opts.has.has(info.name));
  const names = (some: readonly Asked[]) => some.map(({ info }) => info.name);
  const lagging = names(missing.filter(({ state }) => state));
  return {
    version,
    inForceMs: Math.round(Math.max(0, ...opts.has.values())),
    inForce: [...opts.has.keys()].sort(),
    lagging,
    unreachable: names(missing.filter(({ state }) => !state)),
    done: lagging.length === 0,
  };
}
