/**
 * What the clients of a process may make it hold: memory, connections and
 * requests in hand. One budget covers all addresses on which it listens.
 *
 * @module
 */

import { monotonicMs } from "../kernel/mod.ts";
import type { Logger, Metrics } from "../telemetry/mod.ts";
import { BufferCollector } from "./buffer_collector.ts";
import { type Holder, HolderPhase, shedOrder, Shortage } from "./shed_order.ts";

/** Limits of what clients make a process hold. */
export interface ClientLimits {
  /** Memory for the bodies of large requests, in bytes. */
  readonly largeBodyBytes: number;
  /** Further memory that only the bodies of small requests take, in bytes. */
  readonly smallBodyBytes: number;
  /** Memory for connections, heads and requests in hand, in bytes. */
  readonly otherBytes: number;
  /** Memory for answers that are held until they are complete, in bytes. */
  readonly answerBytes: number;
  /**
   * Memory for answers that were sent and are not read, in bytes. Where it is
   * bounded, they also take that of held answers.
   */
  readonly unreadBytes: number;
  /** Most connections of callers. */
  readonly connections: number;
  /** Most connections of other processes. */
  readonly peerConnections: number;
  /** Most connections of checks and collectors of metrics, for each address. */
  readonly checkConnections: number;
  /** True on hosts whose memory is known: unused buffers are freed early. */
  readonly collectsBuffers: boolean;
  /** Most complete requests in hand. */
  readonly requests: number;
  /** Most requests in hand of one connection; it is not read meanwhile. */
  readonly pipelinedRequests: number;
}

const MIB = 1024 * 1024;
/** Resident memory of a process that serves little, in MiB. */
const IDLE_MB = 124;
/** Garbage of the young generation (three semi-spaces of 8 MiB), in MiB. */
const GARBAGE_MB = 24;
/**
 * Share of the remaining memory that is given out: the allocator, copies in
 * transit and the buffers of connections take the rest.
 */
const USABLE_SHARE = 0.85;
/** Room for two of the largest bodies, however small the host is, in bytes. */
const MIN_LARGE_BODY_BYTES = 8.5 * MIB;
const MIN_OTHER_BYTES = 4 * MIB;

/** Limits without a known size of the host. */
export const DEFAULT_CLIENT_LIMITS: ClientLimits = {
  largeBodyBytes: 64 * MIB,
  smallBodyBytes: 16 * MIB,
  otherBytes: 64 * MIB,
  answerBytes: 16 * MIB,
  unreadBytes: Infinity,
  connections: Infinity,
  peerConnections: Infinity,
  checkConnections: Infinity,
  requests: Infinity,
  pipelinedRequests: 16,
  collectsBuffers: false,
};

/**
 * Derives the limits from the memory and descriptors of the host, if known;
 * those of `overrides` that are set replace them.
 */
export function clientLimits(
  host: { readonly memoryMb?: number; readonly maxDescriptors?: number },
  overrides: { readonly [K in keyof ClientLimits]?: ClientLimits[K] } = {},
): ClientLimits {
  const set = Object.entries(overrides)
    .filter(([, value]) => value !== undefined);
  return {
    ...DEFAULT_CLIENT_LIMITS,
    ...(host.memoryMb === undefined ? {} : memoryLimits(host.memoryMb)),
    ...(host.maxDescriptors === undefined
      ? {}
      : descriptorLimits(host.maxDescriptors)),
    ...Object.fromEntries(set),
  };
}

function memoryLimits(memoryMb: number): Partial<ClientLimits> {
  const bytes = Math.max(0, memoryMb - IDLE_MB - GARBAGE_MB) * MIB *
    USABLE_SHARE;
  const bounded = (share: number, min: number, max: number) =>
    Math.max(min, Math.min(max, share * bytes));
  const limits = DEFAULT_CLIENT_LIMITS;
  return {
    collectsBuffers: true,
    largeBodyBytes: bounded(0.4, MIN_LARGE_BODY_BYTES, limits.largeBodyBytes),
    smallBodyBytes: bounded(0.15, MIB, limits.smallBodyBytes),
    otherBytes: bounded(0.25, MIN_OTHER_BYTES, limits.otherBytes),
    answerBytes: bounded(0.2, 2 * MIB, limits.answerBytes),
    unreadBytes: bounded(0.2, 2 * MIB, limits.answerBytes),
  };
}

/** A request in hand takes a connection to a target. */
function descriptorLimits(descriptors: number): Partial<ClientLimits> {
  const share = (part: number) => Math.max(1, Math.floor(part * descriptors));
  return {
    connections: share(0.4),
    requests: share(0.4),
    peerConnections: share(0.2),
    checkConnections: Math.max(8, share(0.05)),
  };
}

/** Memory that one connection takes, in bytes; 400 took 12 MiB. */
const CONNECTION_BYTES = 24 * 1024;
/** Bytes that count as progress: fewer may be sent now and then. */
const PROGRESS_BYTES = 4 * 1024;
/** Part of a limit that is freed at once, so that it is seldom exceeded. */
const FREED_SHARE = 0.03;
const LOG_INTERVAL_MS = 1_000;

/** The connection of a holding. */
export interface HeldConnection {
  phase(): HolderPhase;
  /** Number of requests in hand. */
  openRequests(): number;
  /** Frees what it holds, by a refusal or by closing it. */
  shed(): void;
}

/** What one connection holds. */
export class Holding implements Holder {
  readonly address: string;
  readonly group: ConnectionGroup;
  readonly #connection: HeldConnection;
  bytes = 0;
  #progressAt = monotonicMs();
  #newBytes = 0;
  #isShed = false;

  constructor(
    address: string,
    group: ConnectionGroup,
    connection: HeldConnection,
  ) {
    this.address = address;
    this.group = group;
    this.#connection = connection;
  }

  get phase(): HolderPhase {
    return this.#connection.phase();
  }

  get openRequests(): number {
    return this.#connection.openRequests();
  }

  /** True once it has been asked to free what it holds. */
  get isShed(): boolean {
    return this.#isShed;
  }

  get stalledMs(): number {
    return monotonicMs() - this.#progressAt;
  }

  /** Records bytes that have arrived. */
  received(bytes: number): void {
    this.#newBytes += bytes;
    if (this.#newBytes >= PROGRESS_BYTES) this.progressed();
  }

  /** Records a completed request, or response data that was read. */
  progressed(): void {
    this.#newBytes = 0;
    this.#progressAt = monotonicMs();
  }

  shed(): void {
    this.#isShed = true;
    this.#connection.shed();
  }
}

/** Connections to one address. */
export class ConnectionGroup {
  /** Most connections that are open. */
  readonly max: number;
  /** Largest part of the memory for all addresses that they may hold. */
  readonly share: number;
  readonly holdings = new Set<Holding>();
  /** Memory that they hold, without bodies that are counted elsewhere. */
  bytes = 0;

  constructor(max: number, share: number) {
    this.max = max;
    this.share = share;
  }
}

/** What all clients of a process hold. */
export class ClientBudget {
  readonly limits: ClientLimits;
  readonly #log: Logger;
  readonly #metrics: Metrics;
  readonly #holdings = new Set<Holding>();
  readonly #logged = new Map<string, { at: number; skipped: number }>();
  readonly #collector = new BufferCollector();
  #otherBytes = 0;
  #unreadBytes = 0;
  #requests = 0;

  constructor(
    deps: {
      readonly limits?: ClientLimits;
      readonly log: Logger;
      readonly metrics: Metrics;
    },
  ) {
    this.limits = deps.limits ?? DEFAULT_CLIENT_LIMITS;
    this.#log = deps.log;
    this.#metrics = deps.metrics;
    this.#metrics.gauge("client_connections", () => this.#holdings.size);
    this.#metrics.gauge("client_bytes", () => this.#otherBytes);
    this.#metrics.gauge("unread_answer_bytes", () => this.#unreadBytes);
  }

  /** Counts a buffer of input or of an answer. */
  received(bytes: number): void {
    if (this.limits.collectsBuffers) this.#collector.received(bytes);
  }

  /** Bytes of responses that clients have not read. */
  get unreadBytes(): number {
    return this.#unreadBytes;
  }

  /** The same where their memory is bounded, otherwise 0. */
  get boundedUnreadBytes(): number {
    return Number.isFinite(this.limits.unreadBytes) ? this.#unreadBytes : 0;
  }

  /** False while connections with a request in hand get no further one. */
  get hasRoomForMore(): boolean {
    return this.#requests < this.limits.requests / 2 &&
      this.#otherBytes < this.limits.otherBytes / 2;
  }

  /** Accepts a connection, in place of another one if there are too many. */
  tryConnect(holding: Holding): boolean {
    const { group } = holding;
    const { size } = group.holdings;
    if (size >= group.max) {
      const closing = Math.ceil(FREED_SHARE * group.max);
      const freed = this.#shed([...group.holdings], {
        shortage: Shortage.Connections,
        asker: holding,
        amount: closing + size - group.max,
        amountOf: () => 1,
      });
      // Those that were shed are open for a moment longer.
      if (size - freed >= group.max || size >= group.max + closing) {
        this.report("connections", { open: size });
        return false;
      }
    }
    group.holdings.add(holding);
    this.#holdings.add(holding);
    this.hold(holding, CONNECTION_BYTES);
    return true;
  }

  /** Drops a connection that has closed. */
  disconnect(holding: Holding): void {
    holding.group.holdings.delete(holding);
    if (this.#holdings.delete(holding)) this.release(holding, CONNECTION_BYTES);
  }

  /** Counts memory that is held already. */
  hold(holding: Holding, bytes: number): void {
    this.#otherBytes += bytes;
    holding.bytes += bytes;
    holding.group.bytes += bytes;
    const excess = this.#otherBytes - this.limits.otherBytes;
    if (excess > 0) this.freeMemory(holding, excess);
  }

  /** Counts memory; false when there is no room for it. */
  tryHold(holding: Holding, bytes: number): boolean {
    this.hold(holding, bytes);
    const { group } = holding;
    const { otherBytes } = this.limits;
    return this.#otherBytes <= otherBytes &&
      group.bytes <= group.share * otherBytes;
  }

  release(holding: Holding, bytes: number): void {
    this.#otherBytes -= bytes;
    holding.bytes -= bytes;
    holding.group.bytes -= bytes;
  }

  /**
   * Counts a request that is complete; false when too many are in hand. Those of
   * clients that do not read their responses, or that send requests ahead of
   * them, make room.
   */
  tryServe(asker: Holding): boolean {
    const { requests } = this.limits;
    if (this.#requests >= requests) {
      const unread = [...this.#holdings]
        .filter(({ phase }) =>
          phase === HolderPhase.Unread || phase === HolderPhase.Pipelined
        );
      const freed = this.#shed(unread, {
        shortage: Shortage.Connections,
        asker,
        amount: this.#requests - requests + Math.ceil(FREED_SHARE * requests),
        amountOf: ({ openRequests }) => openRequests,
      });
      if (this.#requests - freed >= requests) return false;
    }
    this.#requests += 1;
    return true;
  }

  /** Counts the end of a request for which `tryServe` was true. */
  served(): void {
    this.#requests -= 1;
  }

  /** Replaces the bytes of one response that its client has not read. */
  setUnread(holding: Holding, from: number, to: number): void {
    this.#unreadBytes += to - from;
    holding.bytes += to - from;
    if (to < from) holding.progressed();
    const excess = this.#unreadBytes - this.limits.unreadBytes;
    if (to > from && excess > 0) {
      this.freeMemory(holding, excess, HolderPhase.Unread);
    }
  }

  /** Closes connections, in the order of the decision, to free memory. */
  freeMemory(asker: Holding, bytes: number, phase?: HolderPhase): void {
    const holdings = [...this.#holdings]
      .filter((holding) => phase === undefined || holding.phase === phase);
    this.#shed(holdings, {
      shortage: Shortage.Memory,
      asker,
      amount: bytes,
      amountOf: (holding) => holding.bytes,
    });
  }

  /** Logs that a limit was reached, at most once a second for each. */
  report(limit: string, fields: Readonly<Record<string, unknown>> = {}): void {
    this.#metrics.count("client_limits_total", { limit });
    const now = monotonicMs();
    const last = this.#logged.get(limit);
    if (last && now - last.at < LOG_INTERVAL_MS) {
      last.skipped += 1;
      return;
    }
    this.#logged.set(limit, { at: now, skipped: 0 });
    this.#log.warn("client_limit", {
      limit,
      ...fields,
      skippedLines: last?.skipped,
    });
  }

  #shed(
    holdings: readonly Holding[],
    opts: {
      readonly shortage: Shortage;
      readonly asker: Holding;
      readonly amount: number;
      amountOf(holding: Holding): number;
    },
  ): number {
    // What was shed before is free as soon as its connection has closed.
    let freed = holdings.filter(({ isShed }) => isShed)
      .reduce((sum, holding) => sum + opts.amountOf(holding), 0);
    const open = holdings.filter(({ isShed }) => !isShed);
    for (const holding of shedOrder(open, opts)) {
      if (freed >= opts.amount) break;
      freed += opts.amountOf(holding);
      this.report(`closed-for-${opts.shortage}`, {
        phase: holding.phase,
        bytes: holding.bytes,
        stalledMs: Math.round(holding.stalledMs),
        address: holding.address,
      });
      holding.shed();
    }
    return freed;
  }
}
