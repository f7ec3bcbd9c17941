/**
 * Protocol between entries that call their targets themselves: what each knows
 * of the fleet, and pieces of stages for the owner of a pool.
 *
 * @module
 */

import { createTRPCClient, httpLink } from "@trpc/client";
import { initTRPC } from "@trpc/server";
import { createHTTPHandler } from "@trpc/server/adapters/standalone";
import type { IncomingMessage, ServerResponse } from "node:http";
import { Agent, fetch as undiciFetch } from "undici";
import { z } from "zod";
import { timeoutSignal } from "../kernel/mod.ts";
import type { StateChange } from "../serving/mod.ts";

const versionsSchema = z.record(z.string(), z.number());

const syncSchema = z.object({ from: z.string(), versions: versionsSchema });

/** What an entry tells a peer that it knows. */
export type SyncQuestion = z.infer<typeof syncSchema>;

/** What the peer knows beyond that. */
export interface SyncAnswer {
  readonly changes: readonly StateChange[];
  readonly versions: Readonly<Record<string, number>>;
  /** Time since the peer last heard the store, in milliseconds. */
  readonly storeAgeMs: number;
  readonly isLeaving: boolean;
  /** Time since the peer's start, in milliseconds. */
  readonly upMs: number;
}

const chainSchema = z.object({
  requestId: z.string(),
  /** Rank; 0 is the most urgent. */
  priority: z.number(),
  /** Time until the results are due for an answer in time, in milliseconds. */
  dueMs: z.number(),
  /** Time until the results are of no use, in milliseconds. */
  expiresMs: z.number(),
  /** Share of its route's requests that are smaller. */
  sizeRank: z.number(),
  /** Key by which the first stages find the request's pieces. */
  key: z.string().optional(),
  /** Failure domain in which the results are likely to be read. */
  resultDomain: z.string().optional(),
  stages: z.array(z.object({
    pool: z.string(),
    /** Indexes of the stages whose results this one reads. */
    after: z.array(z.number()),
    /** Room that one result takes, in bytes. */
    resultBytes: z.number(),
    pieces: z.number(),
  })),
});

/** All stages of one request, for the owner of their pools. */
export type StageChain = z.infer<typeof chainSchema>;

const resultsSchema = z.object({
  pool: z.string(),
  results: z.array(z.string()),
});

/** Results of the stages of one pool. */
export type ChainResults = z.infer<typeof resultsSchema>;

/** What became of a chain. */
export type ChainAnswer =
  /** Results that the request itself reads, in the order of the stages. */
  | { readonly kind: "done"; readonly results: readonly ChainResults[] }
  | { readonly kind: "refused"; readonly reason: string }
  /** This process takes no chains any more. */
  | { readonly kind: "leaving" };

/** What an entry serves to its peers. */
export interface EntryPeerApi {
  /** Frees results that nothing reads any more. */
  freeResults(results: readonly ChainResults[]): void;
  sync(question: SyncQuestion): SyncAnswer;
  runChain(chain: StageChain, signal: AbortSignal): Promise<ChainAnswer>;
}

const trpc = initTRPC.create();

function createRouter(api: EntryPeerApi) {
  return trpc.router({
    sync: trpc.procedure.input(syncSchema).mutation(({ input }) =>
      api.sync(input)
    ),
    freeResults: trpc.procedure.input(z.array(resultsSchema))
      .mutation(({ input }) => api.freeResults(input)),
    runChain: trpc.procedure.input(chainSchema).mutation((
      { input, signal },
    ) => api.runChain(input, signal ?? new AbortController().signal)),
  });
}

type EntryPeerRouter = ReturnType<typeof createRouter>;

/** Handler of an HTTP server that serves `api` to peers. */
export function entryPeerHandler(
  api: EntryPeerApi,
): (req: IncomingMessage, res: ServerResponse) => void {
  return createHTTPHandler({ router: createRouter(api) });
}

/** Connections of one peer that are kept open at most. */
const MAX_CONNECTIONS = 64;

/** Clients of peers by their URL, over one set of connections. */
export class EntryPeerClients {
  readonly #agent = new Agent({ connections: MAX_CONNECTIONS });
  readonly #clients = new Map<
    string,
    ReturnType<typeof createTRPCClient<EntryPeerRouter>>
  >();

  /** Exchanges state; rejects after `timeoutMs`. */
  async sync(
    url: string,
    question: SyncQuestion,
    timeoutMs: number,
  ): Promise<SyncAnswer> {
    const signal = timeoutSignal(timeoutMs);
    return await this.#of(url).sync.mutate(question, { signal }) as SyncAnswer;
  }

  /** Has a peer run a chain whose pools it owns. */
  async runChain(
    url: string,
    chain: StageChain,
    signal: AbortSignal,
  ): Promise<ChainAnswer> {
    return await this.#of(url).runChain
      .mutate(chain, { signal }) as ChainAnswer;
  }

  /** Has the owner of pools free results; rejects after `timeoutMs`. */
  async freeResults(
    url: string,
    results: readonly ChainResults[],
    timeoutMs: number,
  ): Promise<void> {
    const signal = timeoutSignal(timeoutMs);
    await this.#of(url).freeResults.mutate([...results], { signal });
  }

  close(): Promise<void> {
    return this.#agent.destroy();
  }

  #of(url: string) {
    const found = this.#clients.get(url);
    if (found) return found;
    const send = (to: unknown, init?: unknown) =>
      undiciFetch(to as string, {
        ...(init as object),
        dispatcher: this.#agent,
      });
    const fresh = createTRPCClient<EntryPeerRouter>({
      links: [httpLink({ url, fetch: send as unknown as typeof fetch })],
    });
    this.#clients.set(url, fresh);
    return fresh;
  }
}
