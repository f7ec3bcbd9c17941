/**
 * The other processes of the system that a process knows.
 *
 * @module
 */

import type { ResultAsync } from "neverthrow";
import type { DomainName } from "../model/mod.ts";
import type { PlatformError, Row, Table } from "../store/mod.ts";
import type { PeerInfo } from "../wire/mod.ts";
import type { Members } from "./members.ts";
import {
  type EntryRow,
  isTargetKey,
  readAllMembers,
  type TargetRow,
} from "./registry.ts";

/**
 * Time until a peer is queried again after its first failure, in milliseconds.
 * It doubles with each further failure, up to `MAX_RETRY_MS`.
 */
const RETRY_MS = 1_000;
const MAX_RETRY_MS = 5_000;

interface KnownPeer {
  readonly info: PeerInfo;
  failures: number;
  retryAt: number;
}

/** Reads all registered processes as peers. */
export function readPeers(
  table: Table,
  signal?: AbortSignal,
): ResultAsync<readonly PeerInfo[], PlatformError> {
  return readAllMembers(table, signal).map((rows) => rows.map(peerOf));
}

/** Returns the registered processes as peers. */
export function peersOf(members: Members): readonly PeerInfo[] {
  return members.rows.map(peerOf);
}

function peerOf({ key, value }: Row): PeerInfo {
  if (isTargetKey(key)) {
    const { id, domain, agentUrl } = value as TargetRow;
    return { name: `agent-${id}`, domain, url: agentUrl };
  }
  const { name, domain, url } = value as EntryRow;
  return { name, domain, url };
}

/** Peers that a process may query, by URL. */
export class KnownPeers {
  readonly #known = new Map<string, KnownPeer>();
  readonly #self: string;
  readonly #random: () => number;
  #turn = 0;

  constructor(opts: { self: string; random: () => number }) {
    this.#self = opts.self;
    this.#random = opts.random;
  }

  /** Returns the number of peers. */
  get size(): number {
    return this.#known.size;
  }

  /** Adds a peer unless it is known or the process itself. */
  add(info: PeerInfo): void {
    if (info.url === this.#self || this.#known.has(info.url)) return;
    this.#known.set(info.url, { info, failures: 0, retryAt: 0 });
  }

  /** Removes the peers that are not listed and adds those that are new. */
  replace(infos: readonly PeerInfo[]): void {
    const urls = new Set(infos.map(({ url }) => url));
    [...this.#known.keys()].filter((url) => !urls.has(url))
      .forEach((url) => this.#known.delete(url));
    infos.forEach((info) => this.add(info));
  }

  /** Records a response of a peer. */
  answered(info: PeerInfo): void {
    const peer = this.#known.get(info.url);
    if (!peer) return;
    peer.failures = 0;
    peer.retryAt = 0;
  }

  /** Records that a peer did not respond, and delays its next query. */
  failed(info: PeerInfo, now: number): void {
    const peer = this.#known.get(info.url);
    if (!peer) return;
    const waitMs = Math.min(RETRY_MS * 2 ** peer.failures, MAX_RETRY_MS);
    peer.failures += 1;
    peer.retryAt = now + waitMs;
  }

  /** Picks a random peer, taking the failure domains in turn. */
  next(now: number): PeerInfo | undefined {
    const eligible = [...this.#known.values()].filter(({ retryAt }) =>
      retryAt <= now
    );
    const domains = [...new Set(eligible.map(({ info }) => info.domain))]
      .sort();
    if (domains.length === 0) return undefined;
    this.#turn += 1;
    const domain = domains[this.#turn % domains.length];
    return this.#pick(eligible.filter(({ info }) => info.domain === domain));
  }

  /** Picks up to `count` peers at random. */
  sample(count: number, now: number): readonly PeerInfo[] {
    const eligible = [...this.#known.values()].filter(({ retryAt }) =>
      retryAt <= now
    );
    const picked = Array.from({ length: count }, () => this.#pick(eligible));
    return [...new Set(picked.filter((info) => info !== undefined))];
  }

  /** Returns the failure domains of the peers. */
  domains(): readonly DomainName[] {
    return [
      ...new Set([...this.#known.values()].map(({ info }) => info.domain)),
    ];
  }

  #pick(candidates: readonly KnownPeer[]): PeerInfo | undefined {
    return candidates[Math.floor(this.#random() * candidates.length)]?.info;
  }
}
