/**
 * Runs the stages of a request through the owner of their pools.
 *
 * @module
 */

import { err, ok, type Result } from "neverthrow";
import { monotonicMs, sleep } from "../kernel/mod.ts";
import {
  type Catalog,
  type ListedPeer,
  Pressure,
  type ResultHandle,
  type Route,
  type StageShard,
} from "../serving/mod.ts";
import type { Logger } from "../telemetry/mod.ts";
import type {
  ChainResponse,
  ChainResults,
  EntryPeerClients,
  StageChain,
} from "../wire/mod.ts";
import type { Peers } from "./peers.ts";
import type { CallerRequest, TargetClient } from "./ports.ts";
import { ShardChoice } from "./shard_choice.ts";
import type { ShardRunners } from "./shard_runners.ts";
import type { StageOwners } from "./stage_owners.ts";

/** Owners that are asked to run one chain before it is refused. */
const MAX_ATTEMPTS = 4;
/** Shares that are asked to run one chain before it is refused. */
const MAX_SHARES = 2;
/**
 * Pause before the owner is determined again when an entry declines a chain, in
 * milliseconds: it first checks the owner that has not responded, or reads the
 * configuration that it lacks.
 */
const DECLINED_PAUSE_MS = 250;
/**
 * Time for which a silent owner may still finish a chain whose repeat was
 * refused, in milliseconds. Later the refusal would only reach the caller late.
 */
const REFUSED_REPEAT_WAIT_MS = 1_000;
/** Timeout of a call to an owner to release results, in milliseconds. */
const RELEASE_TIMEOUT_MS = 1_000;

const NO_OWNER: ChainResponse = {
  kind: "refused",
  reason: "no owner of the stages responds",
};

const OVERLOADED: ChainResponse = {
  kind: "refused",
  reason: "the owners of the stages are overloaded",
};

const CALLER_GONE: ChainResponse = {
  kind: "refused",
  reason: "caller has gone",
};

/** Reason for which a request's stages were not completed. */
export interface ChainRefusal {
  readonly reason: string;
  /** Wait of a chain that arrives now, in milliseconds, if it is known. */
  readonly waitMs?: number;
  /** Share of the newest chains of this process that were refused. */
  readonly refusedShare?: number;
  /** Process that refused the stages, if it was another one. */
  readonly handler?: StageHandler;
}

/** Other process that handled a request, and the catalog that it had. */
export interface StageHandler {
  readonly owner: string;
  readonly catalog?: number;
}

/** Results of the final stages, which the request itself reads. */
export interface StagedInputs {
  /** Process that ran the stages, if it was another one. */
  readonly handler?: StageHandler;
  readonly results: readonly ResultHandle[];
  /** Releases the results once they have been read; later calls do nothing. */
  release(): void;
}

/** Request whose stages are run. Times are monotonic milliseconds. */
export interface ChainRequest {
  readonly req: CallerRequest;
  readonly route: Route;
  readonly catalog: Catalog;
  readonly priority: number;
  /** Time at which the results are needed to meet the latency goal. */
  readonly dueAt: number;
  /** Time after which the results are of no use. */
  readonly expiresAt: number;
  /** Share of the route's requests that are smaller than this one. */
  readonly sizeRank: number;
  /** Failure domain in which the results are likely to be read. */
  readonly resultDomain?: string;
  /** True when the caller has read the beginning of the stream. */
  readonly isResumed?: boolean;
  /** True when the caller has sent the request before. */
  readonly isRetry?: boolean;
  readonly signal: AbortSignal;
}

/** Request with the share of the pools in which its stages run. */
interface ShardRequest extends ChainRequest {
  readonly shard: StageShard;
}

/** Owners of the groups of pools, and their failures. */
export interface ChainOwners
  extends
    Pick<Peers, "awaitResponse" | "heard" | "markFailed" | "markLeaving"> {
  readonly owners: Pick<StageOwners, "ownerOf" | "shardCount">;
}
/** Client of the owners of stages. */
type ChainOwnerClients = Pick<EntryPeerClients, "runChain" | "freeResults">;

/** Response to a chain, and the peer that ran it if it was another process. */
interface OwnedResponse {
  readonly response: ChainResponse;
  readonly owner?: ListedPeer;
}

/** A call in a race, and the controller that ends it. */
interface RacingCall<T> {
  readonly end: Promise<T>;
  readonly abort: AbortController;
}

/** Sends the chain of a request to the owner of its stages. */
export class ChainClient {
  readonly #runner: Pick<ShardRunners, "run" | "release">;
  readonly #peers: ChainOwners;
  readonly #clients: ChainOwnerClients;
  readonly #targets: Pick<TargetClient, "freeResults">;
  readonly #log: Logger;
  readonly #choices = new Map<string, ShardChoice>();
  #pressure = new Pressure();

  constructor(
    deps: {
      runner: Pick<ShardRunners, "run" | "release">;
      peers: ChainOwners;
      clients: ChainOwnerClients;
      targets: Pick<TargetClient, "freeResults">;
      log: Logger;
    },
  ) {
    this.#runner = deps.runner;
    this.#peers = deps.peers;
    this.#clients = deps.clients;
    this.#targets = deps.targets;
    this.#log = deps.log;
  }

  /** Runs all stages of a request; fails with the reason of a refusal. */
  async run(
    request: ChainRequest,
  ): Promise<Result<StagedInputs, ChainRefusal>> {
    const { response, owner } = await this.#runInShares(request);
    this.#pressure = this.#pressure.observe(response.kind === "refused");
    const { refusedShare } = this.#pressure;
    if (response.kind === "leaving") {
      return err({ reason: "no owner of the stages", refusedShare });
    }
    if (response.kind === "refused") {
      const { reason, waitMs } = response;
      const handler = handlerOf({ response, owner });
      return err({ reason, waitMs, refusedShare, handler });
    }
    let isReleased = false;
    return ok({
      handler: handlerOf({ response, owner }),
      results: response.results.flatMap(({ results }) => results),
      release: () => {
        if (isReleased) return;
        isReleased = true;
        this.#release(owner, response.results);
      },
    });
  }

  /** Wait that is expected in a share, in milliseconds; 0 if unknown. */
  waitMs(group: string, shard: StageShard): number {
    return this.#choices.get(group)?.waitMs(shard) ?? 0;
  }

  /** Runs a chain in a share of the pools, and in another one if refused. */
  async #runInShares(request: ChainRequest): Promise<OwnedResponse> {
    const group = request.catalog.stageGroupOf(request.route);
    const count = this.#peers.owners.shardCount(group);
    const choice = this.#choices.get(group) ?? new ShardChoice();
    this.#choices.set(group, choice);
    let shard = choice.choose(count);
    let refusal: OwnedResponse = { response: OVERLOADED };
    for (let share = 1; share <= Math.min(count, MAX_SHARES); share++) {
      const isLate = monotonicMs() + choice.waitMs(shard) > request.expiresAt;
      // The known wait is that of new chains.
      if (isLate && !request.isResumed) return refusal;
      const startedAt = monotonicMs();
      const owned = await this.#submit({ ...request, shard }, group, 1);
      const waitMs = waitOf(owned.response, monotonicMs() - startedAt);
      if (waitMs !== undefined) choice.observe(shard, waitMs);
      const isQueueLong = owned.response.kind === "refused" &&
        waitMs !== undefined;
      if (!isQueueLong) return owned;
      refusal = owned;
      shard = choice.choose(count, shard);
    }
    return refusal;
  }

  async #submit(
    request: ShardRequest,
    group: string,
    attempt: number,
  ): Promise<OwnedResponse> {
    if (request.signal.aborted) return { response: CALLER_GONE };
    if (attempt > MAX_ATTEMPTS) return { response: NO_OWNER };
    const owner = this.#peers.owners.ownerOf(group, request.shard);
    if (!owner) {
      const response = await this.#runner
        .run(chainOf(request), request.signal);
      return { response };
    }
    const call = new AbortController();
    const waiting = this.#peers.awaitResponse(owner);
    const end = this.#callOwner(owner, request, call.signal)
      .finally(waiting.end);
    if (await isAbortedBefore(waiting.lost, end)) {
      this.#log.warn("chain_owner_silent", {
        request: request.req.id,
        owner: owner.name,
      });
      const repeat = new AbortController();
      const signal = AbortSignal.any([request.signal, repeat.signal]);
      return await this.#firstDone(
        { end, abort: call },
        {
          end: this.#submit({ ...request, signal }, group, attempt + 1),
          abort: repeat,
        },
      );
    }
    const owned = await end;
    if (!owned) this.#peers.markFailed(owner);
    else if (owned.response.kind === "leaving") this.#peers.markLeaving(owner);
    else if (!isDeclined(owned.response)) return owned;
    else await sleep(DECLINED_PAUSE_MS, request.signal);
    return this.#submit(request, group, attempt + 1);
  }

  /** Runs a chain at an owner; undefined when the call failed. */
  async #callOwner(
    owner: ListedPeer,
    request: ShardRequest,
    signal: AbortSignal,
  ): Promise<OwnedResponse | undefined> {
    try {
      const response = await this.#clients.runChain(
        owner.url,
        chainOf(request),
        AbortSignal.any([request.signal, signal]),
      );
      this.#peers.heard(owner);
      return { response, owner };
    } catch (cause) {
      if (request.signal.aborted) return { response: CALLER_GONE };
      if (signal.aborted) return undefined;
      this.#log.warn("chain_owner_failed", {
        request: request.req.id,
        owner: owner.name,
        detail: String(cause),
      });
      return undefined;
    }
  }

  /**
   * Returns the first complete results of a call to a silent owner and its
   * repeat, and ends the other one. Without results, returns the repeat's refusal
   * after a short wait for the silent owner.
   */
  async #firstDone(
    silent: RacingCall<OwnedResponse | undefined>,
    repeat: RacingCall<OwnedResponse>,
  ): Promise<OwnedResponse> {
    const calls = [silent, repeat];
    const results = Promise.any(calls.map(async ({ end }) => {
      const owned = await end;
      if (owned?.response.kind !== "done") throw new Error("not done");
      return owned;
    })).catch(() => undefined);
    const refusal = repeat.end.catch(() => undefined)
      .then(() => sleep(REFUSED_REPEAT_WAIT_MS));
    const done = await Promise.race([results, refusal]);
    calls.forEach(async ({ end, abort }) => {
      abort.abort();
      const late = await end.catch(() => undefined);
      if (!late || late === done || late.response.kind !== "done") return;
      this.#release(late.owner, late.response.results);
    });
    return done ?? await repeat.end;
  }

  /**
   * Releases results through the process that ran their chain: it accounts for
   * their memory even if it no longer owns the group. When that process cannot
   * be reached, releases them at the targets only.
   */
  async #release(
    owner: ListedPeer | undefined,
    results: readonly ChainResults[],
  ): Promise<void> {
    if (!owner) return this.#runner.release(results);
    try {
      await this.#clients.freeResults(owner.url, results, RELEASE_TIMEOUT_MS);
    } catch (cause) {
      this.#log.debug("results_release_failed", {
        owner: owner.name,
        detail: String(cause),
      });
      await this.#targets
        .freeResults(results.flatMap(({ results }) => results));
    }
  }
}

function handlerOf(
  { response, owner }: OwnedResponse,
): StageHandler | undefined {
  if (!owner || response.kind === "leaving") return undefined;
  return { owner: owner.name, catalog: response.catalog };
}

/** Resolves with true if `signal` aborts before `work` settles. */
async function isAbortedBefore(
  signal: AbortSignal,
  work: Promise<unknown>,
): Promise<boolean> {
  const settled = new AbortController();
  const aborted = new Promise<boolean>((resolve) => {
    if (signal.aborted) resolve(true);
    signal.addEventListener("abort", () => resolve(true), {
      signal: settled.signal,
    });
  });
  const result = await Promise.race([aborted, work.then(() => false)]);
  settled.abort();
  return result;
}

/**
 * Wait of the next chain in the share of an answer that took `tookMs`, in
 * milliseconds: that which the owner expects, and that until it read the chain.
 */
function waitOf(response: ChainResponse, tookMs: number): number | undefined {
  if (response.kind === "leaving" || response.waitMs === undefined) {
    return undefined;
  }
  const { waitMs, heldMs = tookMs } = response;
  return Math.max(0, waitMs) + Math.max(0, tookMs - heldMs);
}

/**
 * True when the entry that was asked does not own the stages, or does not know
 * them yet.
 */
function isDeclined(response: ChainResponse): boolean {
  return response.kind === "refused" &&
    (response.owner !== undefined || response.isBehind === true);
}

function chainOf(request: ShardRequest): StageChain {
  const { req, route, shard } = request;
  const now = monotonicMs();
  return {
    requestId: req.id,
    priority: request.priority,
    dueMs: request.dueAt - now,
    expiresMs: request.expiresAt - now,
    sizeRank: request.sizeRank,
    key: req.pieceKey,
    resultDomain: request.resultDomain,
    mayDecline: true,
    shard,
    isResumed: request.isResumed,
    isRetry: request.isRetry,
    catalog: request.catalog.version,
    stages: route.stages.map(({ pool, after, resultBytes }, i) => ({
      pool,
      after: [...after],
      resultBytes,
      pieces: req.pieces[i] ?? 0,
    })),
  };
}
