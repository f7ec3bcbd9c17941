/**
 * Has the stages of a request run by the owner of their pools.
 *
 * @module
 */

import { err, ok, type Result } from "neverthrow";
import { monotonicMs } from "../kernel/mod.ts";
import type {
  Catalog,
  ListedPeer,
  ResultHandle,
  Route,
} from "../serving/mod.ts";
import type { Logger } from "../telemetry/mod.ts";
import type {
  ChainAnswer,
  ChainResults,
  EntryPeerClients,
  StageChain,
} from "../wire/mod.ts";
import type { ChainRunner } from "./chain_runner.ts";
import type { Peers } from "./peers.ts";
import type { CallerRequest, TargetClient } from "./ports.ts";

/** Owners that are tried with one chain. */
const MAX_OWNERS = 3;
/** Longest wait for the owner that frees results, in milliseconds. */
const FREE_TIMEOUT_MS = 1_000;

const CALLER_GONE: ChainAnswer = {
  kind: "refused",
  reason: "caller has gone",
};

/** Why a request's stages did not end. */
export interface ChainRefusal {
  readonly reason: string;
}

/** Results that the request itself reads. */
export interface StagedInputs {
  readonly results: readonly ResultHandle[];
  /** Gives up the results once they were read. */
  free(): void;
}

/** What a chain is run for. Times are monotonic milliseconds. */
export interface ChainRequest {
  readonly req: CallerRequest;
  readonly route: Route;
  readonly catalog: Catalog;
  readonly priority: number;
  /** Time at which the results are due for an answer in time. */
  readonly dueAt: number;
  /** Time after which the results are of no use. */
  readonly expiresAt: number;
  /** Share of its route's requests that are smaller. */
  readonly sizeRank: number;
  /** Failure domain in which the results are likely to be read. */
  readonly resultDomain?: string;
  readonly signal: AbortSignal;
}

/** Knows which process owns the stages of a group of pools. */
type ChainOwners = Pick<Peers, "ownerOf" | "lossOf" | "suspect">;
/** Calls to the owners of stages. */
type ChainCalls = Pick<EntryPeerClients, "runChain" | "freeResults">;

/** Answer to a chain with the peer that ran it; without one, this process. */
interface OwnedAnswer {
  readonly answer: ChainAnswer;
  readonly owner?: ListedPeer;
}

/** Finds the owner of a request's stages and has it run them. */
export class ChainClient {
  readonly #runner: Pick<ChainRunner, "run" | "free">;
  readonly #peers: ChainOwners;
  readonly #clients: ChainCalls;
  readonly #targets: Pick<TargetClient, "freeResults">;
  readonly #log: Logger;

  constructor(
    deps: {
      runner: Pick<ChainRunner, "run" | "free">;
      peers: ChainOwners;
      clients: ChainCalls;
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

  /** Runs all stages of a request. */
  async run(
    request: ChainRequest,
  ): Promise<Result<StagedInputs, ChainRefusal>> {
    const group = request.catalog.stageGroupOf(request.route);
    const { answer, owner } = await this.#submit(request, group, 1);
    if (answer.kind === "leaving") {
      return err({ reason: "no owner of the stages" });
    }
    if (answer.kind === "refused") return err(answer);
    let isFreed = false;
    return ok({
      results: answer.results.flatMap(({ results }) => results),
      free: () => {
        if (isFreed) return;
        isFreed = true;
        this.#free(owner, answer.results);
      },
    });
  }

  async #submit(
    request: ChainRequest,
    group: string,
    tries: number,
  ): Promise<OwnedAnswer> {
    const owner = tries < MAX_OWNERS ? this.#peers.ownerOf(group) : undefined;
    const chain = chainOf(request);
    if (!owner) {
      return { answer: await this.#runner.run(chain, request.signal) };
    }
    try {
      const signal = AbortSignal.any([
        request.signal,
        this.#peers.lossOf(owner),
      ]);
      const answer = await this.#clients.runChain(owner.url, chain, signal);
      if (answer.kind !== "leaving") return { answer, owner };
    } catch (cause) {
      if (request.signal.aborted) {
        return { answer: CALLER_GONE };
      }
      this.#log.warn("chain_owner_failed", {
        request: request.req.id,
        owner: owner.name,
        detail: String(cause),
      });
    }
    this.#peers.suspect(owner);
    return this.#submit(request, group, tries + 1);
  }

  /**
   * Frees results by the process that ran their chain, which counts their room
   * even if it owns the group no more; without it at the makers alone.
   */
  async #free(
    owner: ListedPeer | undefined,
    results: readonly ChainResults[],
  ): Promise<void> {
    if (!owner) return this.#runner.free(results);
    try {
      await this.#clients.freeResults(owner.url, results, FREE_TIMEOUT_MS);
    } catch (cause) {
      this.#log.debug("free_failed", {
        owner: owner.name,
        detail: String(cause),
      });
      await this.#targets
        .freeResults(results.flatMap(({ results }) => results));
    }
  }
}

function chainOf(request: ChainRequest): StageChain {
  const { req, route } = request;
  const now = monotonicMs();
  return {
    requestId: req.id,
    priority: request.priority,
    dueMs: request.dueAt - now,
    expiresMs: request.expiresAt - now,
    sizeRank: request.sizeRank,
    key: req.pieceKey,
    resultDomain: request.resultDomain,
    stages: route.stages.map(({ pool, after, resultBytes }, i) => ({
      pool,
      after: [...after],
      resultBytes,
      pieces: req.pieces[i] ?? 0,
    })),
  };
}
