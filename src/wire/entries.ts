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
  /** Waits for a target of the pools that the peer owns, in milliseconds. */
  readonly waitsMs: Readonly<Record<string, number>>;
}

const pieceSchema = z.object({
  requestId: z.string(),
  stage: z.number(),
  segment: z.number(),
  key: z.string().optional(),
  inputs: z.array(z.string()).optional(),
});

const freeSchema = z.object({ pool: z.string(), results: z.array(z.string()) });

/** Results of a pool that nothing reads any more. */
export type FreeWork = z.infer<typeof freeSchema>;

const stageWorkSchema = z.object({
  pool: z.string(),
  /** Room that one result takes, in bytes. */
  resultBytes: z.number(),
  /** Failure domain in which the pieces are best worked on. */
  domain: z.string().optional(),
  /** Rank; 0 is the most urgent. */
  priority: z.number(),
  /** Time until the latest start for an answer in time, in milliseconds. */
  dueMs: z.number(),
  /** Time until the results are of no use, in milliseconds. */
  expiresMs: z.number(),
  /** True on the first stage of a request: it may still be refused cheaply. */
  isFirst: z.boolean(),
  pieces: z.array(pieceSchema),
  /** Inputs that nothing needs once all pieces have read them. */
  spentInputs: z.array(freeSchema),
});

/** Pieces of one stage of one request, for the owner of a pool. */
export type StageWork = z.infer<typeof stageWorkSchema>;

/** What became of them. */
export type StageWorkAnswer =
  | { readonly kind: "done"; readonly results: readonly string[] }
  /** Not worked on; `waitMs` is the time until a place is expected. */
  | {
    readonly kind: "refused";
    readonly reason: string;
    readonly waitMs: number;
  }
  /** An input of theirs is gone. */
  | { readonly kind: "input-gone" }
  /** This process takes no pieces any more. */
  | { readonly kind: "leaving" };

/** What an entry serves to its peers. */
export interface EntryPeerApi {
  freeResults(work: FreeWork): void;
  sync(question: SyncQuestion): SyncAnswer;
  runStage(work: StageWork, signal: AbortSignal): Promise<StageWorkAnswer>;
}

const trpc = initTRPC.create();

function createRouter(api: EntryPeerApi) {
  return trpc.router({
    sync: trpc.procedure.input(syncSchema).mutation(({ input }) =>
      api.sync(input)
    ),
    freeResults: trpc.procedure.input(freeSchema).mutation(({ input }) =>
      api.freeResults(input)
    ),
    runStage: trpc.procedure.input(stageWorkSchema).mutation((
      { input, signal },
    ) => api.runStage(input, signal ?? new AbortController().signal)),
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

  /** Has a peer work on pieces of a pool that it owns. */
  async runStage(
    url: string,
    work: StageWork,
    signal: AbortSignal,
  ): Promise<StageWorkAnswer> {
    return await this.#of(url).runStage
      .mutate(work, { signal }) as StageWorkAnswer;
  }

  /** Has the owner of a pool free results; rejects after `timeoutMs`. */
  async freeResults(
    url: string,
    work: FreeWork,
    timeoutMs: number,
  ): Promise<void> {
    const signal = timeoutSignal(timeoutMs);
    await this.#of(url).freeResults.mutate(work, { signal });
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
