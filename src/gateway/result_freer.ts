/**
 * Frees stage results by way of the owner of their pool, which keeps account
 * of the room at its targets.
 *
 * @module
 */

import type { Logger } from "../telemetry/mod.ts";
import type { EntryPeerClients, FreeWork } from "../wire/mod.ts";
import type { Peers } from "./peers.ts";
import type { TargetClient } from "./ports.ts";
import type { StageOwner } from "./stage_owner.ts";

/** Longest wait for the owner that frees results, in milliseconds. */
const FREE_TIMEOUT_MS = 1_000;

/** Frees results. */
export class ResultFreer {
  readonly #peers: Peers;
  readonly #clients: EntryPeerClients;
  readonly #targets: TargetClient;
  readonly #owner: () => StageOwner;
  readonly #log: Logger;

  constructor(
    deps: {
      peers: Peers;
      clients: EntryPeerClients;
      targets: TargetClient;
      /** Owner of the pools that this process owns. */
      owner: () => StageOwner;
      log: Logger;
    },
  ) {
    this.#peers = deps.peers;
    this.#clients = deps.clients;
    this.#targets = deps.targets;
    this.#owner = deps.owner;
    this.#log = deps.log;
  }

  /** Frees results of one pool; without their owner at the makers alone. */
  async free(work: FreeWork): Promise<void> {
    const owner = this.#peers.ownerOf(work.pool);
    if (!owner) return this.#owner().free(work);
    try {
      await this.#clients.freeResults(owner.url, work, FREE_TIMEOUT_MS);
    } catch (cause) {
      this.#log.debug("free_failed", {
        pool: work.pool,
        owner: owner.name,
        detail: String(cause),
      });
      this.#targets.freeResults(work.results);
    }
  }
}
