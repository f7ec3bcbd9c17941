/**
 * Other entries: which answer, and what they know that this one does not.
 *
 * @module
 */

import { every, monotonicMs } from "../kernel/mod.ts";
import { rendezvousOrder } from "../routing/mod.ts";
import type { ListedPeer } from "../serving/mod.ts";
import type { Logger, Metrics } from "../telemetry/mod.ts";
import type {
  EntryPeerClients,
  SyncAnswer,
  SyncQuestion,
} from "../wire/mod.ts";
import type { FleetView } from "./fleet_view.ts";
import { StatePart } from "./ports.ts";

/** Pause between rounds of questions to peers, in milliseconds. */
const SYNC_PERIOD_MS = 400;
/** Longest wait for a peer's answer, in milliseconds. */
const SYNC_TIMEOUT_MS = 350;
/** Time without an answer after which a peer counts as silent, in ms. */
const SILENT_AFTER_MS = 900;
/** Likely owners of a group of pools that are asked in each round. */
const CANDIDATE_OWNERS = 2;
/** Neighbours that are asked in each round besides the owners of pools. */
const NEIGHBOURS = 2;

interface PeerRecord {
  /** Monotonic time of the newest answer. */
  answeredAt: number;
  /** Monotonic time of the first question without an answer. */
  askedAt?: number;
  isLeaving: boolean;
  isSilent: boolean;
}

/** Keeps in touch with the other entries. */
export class Peers {
  readonly #self: ListedPeer;
  readonly #seeds: readonly string[];
  readonly #view: FleetView;
  readonly #clients: EntryPeerClients;
  readonly #log: Logger;
  readonly #metrics: Metrics;
  readonly #records = new Map<string, PeerRecord>();
  #isLeaving = false;

  constructor(
    deps: {
      self: ListedPeer;
      /** Base URLs at which peers may be found before the store is read. */
      seeds: readonly string[];
      view: FleetView;
      clients: EntryPeerClients;
      log: Logger;
      metrics: Metrics;
    },
  ) {
    this.#self = deps.self;
    this.#seeds = deps.seeds.filter((url) => url !== deps.self.url);
    this.#view = deps.view;
    this.#clients = deps.clients;
    this.#log = deps.log;
    this.#metrics = deps.metrics;
  }

  /** Processes that may spend a share of a limit of the fleet. */
  get processNames(): readonly string[] {
    const names = this.#view.state.peers.map(({ name }) => name);
    return names.includes(this.#self.name)
      ? names
      : [...names, this.#self.name];
  }

  /** Tells peers from now on that this process leaves. */
  leave(): void {
    this.#isLeaving = true;
  }

  /** Owner of a group of pools; undefined when it is this process. */
  ownerOf(group: string): ListedPeer | undefined {
    const all = this.#everyone().filter((peer) => this.#isUsable(peer));
    const owner = rendezvousOrder(all, {
      key: group,
      idOf: ({ name }) => name,
    })[0];
    return owner?.name === this.#self.name ? undefined : owner;
  }

  /** A call to a peer failed: it counts as silent until it answers again. */
  suspect(peer: ListedPeer): void {
    this.#markSilent(peer.name, "call failed");
  }

  /** True while no other entry answers although some are listed. */
  get isAlone(): boolean {
    const others = this.#others();
    return others.length > 0 &&
      others.every(({ name }) => {
        const record = this.#records.get(name);
        return record !== undefined && record.isSilent;
      });
  }

  /** Asks peers in turn until `signal` aborts. */
  run(signal: AbortSignal): void {
    every(SYNC_PERIOD_MS, () => this.#round(), signal);
  }

  /** Answers a peer's question. */
  answer({ versions }: SyncQuestion): SyncAnswer {
    const known = this.#versions();
    const isBehind = Object.values(StatePart)
      .some((part) => (versions[part] ?? 0) < (known[part] ?? 0));
    const changes = isBehind
      ? this.#view.state.changes()
        .filter((change) => change.version > (versions[partOf(change)] ?? 0))
      : [];
    return {
      changes,
      versions: known,
      storeAgeMs: Math.min(this.#view.storeAgeMs, Number.MAX_SAFE_INTEGER),
      isLeaving: this.#isLeaving,
    };
  }

  async #round(): Promise<void> {
    const urls = this.#watched();
    await Promise.all(urls.map((peer) => this.#ask(peer)));
  }

  /** Owners of pools, neighbours, and seeds while no peer is known. */
  #watched(): readonly { name?: string; url: string }[] {
    const others = this.#others();
    if (others.length === 0) {
      return this.#seeds.map((url) => ({ url }));
    }
    const groups = this.#view.state.catalog?.stageGroups ?? [];
    const owners = groups.flatMap((group) =>
      rendezvousOrder(this.#everyone(), {
        key: group,
        idOf: ({ name }) => name,
      }).slice(0, CANDIDATE_OWNERS)
    );
    const near = rendezvousOrder(others, {
      key: this.#self.name,
      idOf: ({ name }) => name,
    }).slice(0, NEIGHBOURS);
    const all = [...owners, ...near]
      .filter(({ name }) => name !== this.#self.name);
    return [...new Map(all.map((peer) => [peer.name, peer])).values()];
  }

  async #ask(peer: { name?: string; url: string }): Promise<void> {
    const record = peer.name ? this.#record(peer.name) : undefined;
    if (record) record.askedAt ??= monotonicMs();
    const question = { from: this.#self.name, versions: this.#versions() };
    try {
      const answer = await this.#clients
        .sync(peer.url, question, SYNC_TIMEOUT_MS);
      if (peer.name) this.#heard(peer.name, answer);
      this.#view.learn(answer.changes, answer.versions);
    } catch (err) {
      this.#metrics.count("peer_failures_total");
      const silentMs = monotonicMs() - (record?.askedAt ?? 0);
      if (peer.name && silentMs > SILENT_AFTER_MS) {
        this.#markSilent(peer.name, String(err));
      }
    }
  }

  #heard(name: string, answer: SyncAnswer): void {
    const record = this.#record(name);
    if (record.isSilent) this.#log.info("peer_regained", { peer: name });
    if (record.isLeaving !== answer.isLeaving) {
      this.#log.info("peer_leaving", { peer: name, on: answer.isLeaving });
    }
    record.answeredAt = monotonicMs();
    record.askedAt = undefined;
    record.isSilent = false;
    record.isLeaving = answer.isLeaving;
  }

  #markSilent(name: string, detail: string): void {
    const record = this.#record(name);
    if (record.isSilent) return;
    record.isSilent = true;
    this.#log.warn("peer_lost", { peer: name, detail });
  }

  #record(name: string): PeerRecord {
    const found = this.#records.get(name);
    if (found) return found;
    const fresh: PeerRecord = {
      answeredAt: 0,
      isLeaving: false,
      isSilent: false,
    };
    this.#records.set(name, fresh);
    return fresh;
  }

  #isUsable({ name }: ListedPeer): boolean {
    if (name === this.#self.name) return !this.#isLeaving;
    const record = this.#records.get(name);
    return !record?.isSilent && !record?.isLeaving;
  }

  #others(): readonly ListedPeer[] {
    return this.#view.state.peers
      .filter(({ name }) => name !== this.#self.name);
  }

  #everyone(): readonly ListedPeer[] {
    return [...this.#others(), this.#self];
  }

  #versions(): Record<string, number> {
    return Object.fromEntries(
      Object.values(StatePart)
        .map((part) => [part, this.#view.versionOf(part)]),
    );
  }
}

function partOf(change: { kind: string }): StatePart {
  if (change.kind === "target") return StatePart.Targets;
  if (change.kind === "peer") return StatePart.Peers;
  return StatePart.Configuration;
}
