/**
 * The other processes of the system, as a process knows them.
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

/** Time after which a peer that did not answer is asked again, in ms. */
const RETRY_MS = 1_000;
const MAX_RETRY_MS = 5_000;

interface Known {
  readonly info: PeerInfo;
  failures: number;
  askAt: number;
}

/** Reads every registered process. */
export function readPeers(
  table: Table,
  signal?: AbortSignal,
): ResultAsync<readonly PeerInfo[], PlatformError> {
  return readAllMembers(table, signal).map((rows) => rows.map(peerOf));
}

/** The registered processes as peers. */
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

/** Peers that a process may ask, by their URLs. */
export class PeerBook {
  readonly #known = new Map<string, Known>();
  readonly #self: string;
  readonly #random: () => number;
  #turn = 0;

  constructor(opts: { self: string; random: () => number }) {
    this.#self = opts.self;
    this.#random = opts.random;
  }

  /** Number of peers. */
  get size(): number {
    return this.#known.size;
  }

  /** Takes notice of a peer. */
  add(info: PeerInfo): void {
    if (info.url === this.#self || this.#known.has(info.url)) return;
    this.#known.set(info.url, { info, failures: 0, askAt: 0 });
  }

  /** Replaces the peers by those that are registered. */
  replace(infos: readonly PeerInfo[]): void {
    const urls = new Set(infos.map(({ url }) => url));
    [...this.#known.keys()].filter((url) => !urls.has(url))
      .forEach((url) => this.#known.delete(url));
    infos.forEach((info) => this.add(info));
  }

  /** Takes notice of an answer. */
  answered(info: PeerInfo): void {
    const known = this.#known.get(info.url);
    if (!known) return;
    known.failures = 0;
    known.askAt = 0;
  }

  /** Takes notice of a peer that did not answer. */
  failed(info: PeerInfo, now: number): void {
    const known = this.#known.get(info.url);
    if (!known) return;
    const wait = Math.min(RETRY_MS * 2 ** known.failures, MAX_RETRY_MS);
    known.failures += 1;
    known.askAt = now + wait;
  }

  /** Picks a peer, of another failure domain each time. */
  next(now: number): PeerInfo | undefined {
    const ready = [...this.#known.values()].filter(({ askAt }) => askAt <= now);
    const domains = [...new Set(ready.map(({ info }) => info.domain))].sort();
    if (domains.length === 0) return undefined;
    this.#turn += 1;
    const domain = domains[this.#turn % domains.length];
    return this.#pick(ready.filter(({ info }) => info.domain === domain));
  }

  /** Picks up to `count` peers at random. */
  sample(count: number, now: number): readonly PeerInfo[] {
    const ready = [...this.#known.values()].filter(({ askAt }) => askAt <= now);
    const picked = Array.from({ length: count }, () => this.#pick(ready));
    return [...new Set(picked.filter((info) => info !== undefined))];
  }

  /** Failure domains of the peers. */
  domains(): readonly DomainName[] {
    return [
      ...new Set([...this.#known.values()].map(({ info }) => info.domain)),
    ];
  }

  #pick(among: readonly Known[]): PeerInfo | undefined {
    return among[Math.floor(this.#random() * among.length)]?.info;
  }
}
