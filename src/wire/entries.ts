/**
 * Protocol between entries that call their targets directly: it exchanges the
 * state of the fleet, passes chains of stages to the owners of their pools and
 * shares the origins of streams.
 *
 * @module
 */

import { createTRPCClient, httpLink, TRPCClientError } from "@trpc/client";
import { initTRPC } from "@trpc/server";
import { createHTTPHandler } from "@trpc/server/adapters/standalone";
import type { IncomingMessage, ServerResponse } from "node:http";
import { z } from "zod";
import { boundedAgent } from "../http/mod.ts";
import { timeoutSignal } from "../kernel/mod.ts";
import type { StateChange } from "../serving/mod.ts";
import {
  type ExplainAnswer,
  explainAnswerSchema,
  type ExplainedRequest,
  type ExplainRequest,
  explainSchema,
} from "./explain.ts";
import { type NoticeMessage, noticeMessageSchema } from "./notices.ts";
import { streamingFetch } from "./streaming_fetch.ts";
import {
  type PermitAnswer,
  permitAnswerSchema,
  type PermitRequest,
  permitSchema,
} from "./permits.ts";
import {
  type RolloutAnswer,
  rolloutAnswerSchema,
  type RolloutReport,
  rolloutReportSchema,
} from "./rollouts.ts";
import {
  findAnswerSchema,
  findSchema,
  keepAnswerSchema,
  keepSchema,
  type OriginAnswer,
  type OriginApi,
  type OriginBatch,
  type OriginQuery,
  type OriginReceipt,
  recordAnswerSchema,
  type RecordBatch,
  type RecordReceipt,
  recordSchema,
  sentOriginsSchema,
} from "./origins.ts";

const versionsSchema = z.record(z.string(), z.number());

const syncSchema = z.object({
  from: z.string(),
  /** Numbers of the versions that the sender has, by part of the state. */
  versions: versionsSchema,
  /** Eras of these versions; absent in builds that know none. */
  eras: versionsSchema.optional(),
  /**
   * Operator's version of the sender's catalog; absent without one and in builds
   * that do not report it.
   */
  catalog: z.number().optional(),
  notices: noticeMessageSchema.optional(),
  /** Origins of the sender of which the receiver keeps a copy. */
  origins: sentOriginsSchema.optional(),
});

/** Request to exchange state, with the versions known to the sender. */
export type SyncRequest = z.infer<typeof syncSchema>;

/** Numbers by part of the state. */
export type PartNumbers = Readonly<Record<string, number>>;

/** Change with the number of its version, and the era beside it. */
export type SentChange = StateChange & { readonly era?: number };

/** Response with the state that the sender of the request does not have. */
export interface SyncResponse {
  readonly changes: readonly SentChange[];
  readonly versions: PartNumbers;
  /** Eras of these versions; absent in builds that know none. */
  readonly eras?: PartNumbers;
  /** Time since the peer's list of targets was read, in milliseconds. */
  readonly targetsAgeMs?: number;
  /**
   * Time since the peer's configuration was read, in milliseconds; absent in
   * builds that do not report it.
   */
  readonly configurationAgeMs?: number;
  readonly isLeaving: boolean;
  /** Time since the peer's start, in milliseconds. */
  readonly upMs: number;
  /** Absent when the peer does not exchange notices. */
  readonly notices?: NoticeMessage;
  /** True when the changes include rollouts; absent in builds without them. */
  readonly knowsRollouts?: boolean;
}

const shardSchema = z.object({
  index: z.int().nonnegative(),
  count: z.int().positive(),
});

const chainSchema = z.object({
  requestId: z.string(),
  /** Priority; 0 is the most urgent. */
  priority: z.number(),
  /** Time until the results are needed to meet the latency goal, in ms. */
  dueMs: z.number(),
  /** Time after which the results are of no use, in milliseconds. */
  expiresMs: z.number(),
  /** Share of the route's requests that are smaller than this one. */
  sizeRank: z.number(),
  /** Key under which the first stages find the request's pieces. */
  key: z.string().optional(),
  /** Failure domain in which the results are likely to be read. */
  resultDomain: z.string().optional(),
  stages: z.array(z.object({
    pool: z.string(),
    /** Indexes of the stages whose results this one reads. */
    after: z.array(z.number()),
    /** Result memory that one result needs, in bytes. */
    resultBytes: z.number(),
    pieces: z.number(),
  })),
  /** True when the sender understands a refusal that names another owner. */
  mayDecline: z.boolean().optional(),
  /** Share of the pools' targets in which the chain runs; absent: all. */
  shard: shardSchema.optional(),
  /** True when the request resumes a stream that its caller has begun to read. */
  isResumed: z.boolean().optional(),
  /** True when the caller has sent the request before. */
  isRetry: z.boolean().optional(),
  /** Version of the catalog that decided the request, for logs. */
  catalog: z.number().optional(),
});

/** All stages of one request, sent to the owner of their pools. */
export type StageChain = z.infer<typeof chainSchema>;

const resultsSchema = z.object({
  pool: z.string(),
  results: z.array(z.string()),
  /** Share of the pool's targets that made the results; absent: all. */
  shard: shardSchema.optional(),
});

/** Results of the stages of one pool. */
export type ChainResults = z.infer<typeof resultsSchema>;

/** Outcome of a chain. */
export type ChainResponse =
  /** Results of the final stages, in the order of the stages. */
  | {
    readonly kind: "done";
    readonly results: readonly ChainResults[];
    /** Wait of a chain that arrives now, in milliseconds. */
    readonly waitMs?: number;
    /** Time between the chain's arrival and this response, in milliseconds. */
    readonly heldMs?: number;
    /** Version of the owner's catalog. */
    readonly catalog?: number;
  }
  | {
    readonly kind: "refused";
    readonly reason: string;
    /** Name of the entry that owns the stages instead of the receiver. */
    readonly owner?: string;
    /** True when the receiver lacks a pool of the sender's newer catalog. */
    readonly isBehind?: boolean;
    readonly waitMs?: number;
    readonly heldMs?: number;
    readonly catalog?: number;
  }
  /** This process no longer accepts chains. */
  | { readonly kind: "leaving" };

/** Procedures that an entry serves to its peers. */
export interface EntryPeerApi extends OriginApi {
  /** Releases results that are no longer read. */
  freeResults(results: readonly ChainResults[]): void;
  sync(request: SyncRequest): SyncResponse;
  runChain(chain: StageChain, signal: AbortSignal): Promise<ChainResponse>;
  /** Permits a request to a target that limits its requests. */
  permit(request: PermitRequest): Promise<PermitAnswer>;
  /** Takes the counts of a peer while an order is in force. */
  reportRollout(report: RolloutReport): RolloutAnswer;
  /** Explains where a request would go now; changes nothing. */
  explainRoute(request: ExplainedRequest): ExplainAnswer;
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
    keepOrigins: trpc.procedure.input(keepSchema)
      .mutation(({ input }) => api.keepOrigins(input)),
    recordOrigins: trpc.procedure.input(recordSchema)
      .mutation(({ input }) => api.recordOrigins(input)),
    permit: trpc.procedure.input(permitSchema)
      .mutation(({ input }) => api.permit(input)),
    reportRollout: trpc.procedure.input(rolloutReportSchema)
      .mutation(({ input }) => api.reportRollout(input)),
    findOrigin: trpc.procedure.input(findSchema)
      .mutation(({ input }) => api.findOrigin(input)),
    explainRoute: trpc.procedure.input(explainSchema)
      .query(({ input }) => api.explainRoute(input)),
  });
}

type EntryPeerRouter = ReturnType<typeof createRouter>;

/** Returns the HTTP request handler that serves `api` to peers. */
export function entryPeerHandler(
  api: EntryPeerApi,
): (req: IncomingMessage, res: ServerResponse) => void {
  // A query by POST has its input, which may hold a key, not in its URL.
  return createHTTPHandler({
    router: createRouter(api),
    allowMethodOverride: true,
  });
}

/** Maximum number of open connections to one peer. */
const MAX_CONNECTIONS = 64;
/** Largest response of a peer, in bytes; it may hold the whole state. */
const MAX_RESPONSE_BYTES = 16 * 1024 * 1024;

/** The build of an entry does not know the procedure that was called. */
export class UnsupportedCallError extends Error {
  override readonly name = "UnsupportedCallError";
}

/** Clients of peers by URL, which share one set of connections. */
export class EntryPeerClients {
  readonly #agent = boundedAgent({
    connections: MAX_CONNECTIONS,
    maxResponseSize: MAX_RESPONSE_BYTES,
  });
  readonly #clients = new Map<
    string,
    ReturnType<typeof createTRPCClient<EntryPeerRouter>>
  >();

  /** Exchanges state; rejects after `timeoutMs`. */
  async sync(
    url: string,
    request: SyncRequest,
    timeoutMs: number,
  ): Promise<SyncResponse> {
    const signal = timeoutSignal(timeoutMs);
    return await this.#clientOf(url).sync.mutate(request, {
      signal,
    }) as SyncResponse;
  }

  /** Runs a chain at the peer that owns its pools. */
  async runChain(
    url: string,
    chain: StageChain,
    signal: AbortSignal,
  ): Promise<ChainResponse> {
    return await this.#clientOf(url).runChain
      .mutate(chain, { signal }) as ChainResponse;
  }

  /** Releases results at their pools' owner; rejects after `timeoutMs`. */
  async freeResults(
    url: string,
    results: readonly ChainResults[],
    timeoutMs: number,
  ): Promise<void> {
    const signal = timeoutSignal(timeoutMs);
    await this.#clientOf(url).freeResults.mutate([...results], { signal });
  }

  /** Gives the origins of streams to a peer that keeps them. */
  async keepOrigins(
    url: string,
    batch: OriginBatch,
    signal: AbortSignal,
  ): Promise<OriginReceipt> {
    return keepAnswerSchema.parse(
      await this.#clientOf(url).keepOrigins.mutate(batch, { signal }),
    );
  }

  /** Has a peer write origins of streams to the store. */
  async recordOrigins(
    url: string,
    batch: RecordBatch,
    signal: AbortSignal,
  ): Promise<RecordReceipt> {
    return recordAnswerSchema.parse(
      await this.#clientOf(url).recordOrigins.mutate(batch, { signal }),
    );
  }

  /** Asks a peer for a permit. */
  async permit(
    url: string,
    request: PermitRequest,
    signal: AbortSignal,
  ): Promise<PermitAnswer> {
    return permitAnswerSchema.parse(
      await this.#clientOf(url).permit.mutate(request, { signal }),
    );
  }

  /** Reports the counts of an order to the peer that decides on it. */
  async reportRollout(
    url: string,
    report: RolloutReport,
    signal: AbortSignal,
  ): Promise<RolloutAnswer> {
    return rolloutAnswerSchema.parse(
      await this.#clientOf(url).reportRollout.mutate(report, { signal }),
    );
  }

  /** Asks a peer for the origin of a stream. */
  async findOrigin(
    url: string,
    query: OriginQuery,
    signal: AbortSignal,
  ): Promise<OriginAnswer> {
    return findAnswerSchema.parse(
      await this.#clientOf(url).findOrigin.mutate(query, { signal }),
    );
  }

  /**
   * Asks an entry where it would send a request; rejects after `timeoutMs`, and
   * with `UnsupportedCallError` if the entry's build can't explain it.
   */
  async explainRoute(
    url: string,
    request: ExplainRequest,
    timeoutMs: number,
  ): Promise<ExplainAnswer> {
    try {
      return explainAnswerSchema.parse(
        await this.#clientOf(url).explainRoute.query(request, {
          signal: timeoutSignal(timeoutMs),
        }),
      );
    } catch (err) {
      if (isUnknownProcedure(err)) throw new UnsupportedCallError();
      throw err;
    }
  }

  close(): Promise<void> {
    return this.#agent.destroy();
  }

  #clientOf(url: string) {
    const existing = this.#clients.get(url);
    if (existing) return existing;
    // `fetch` itself costs several times as much processor time.
    const fetch = streamingFetch(() => this.#agent);
    const created = createTRPCClient<EntryPeerRouter>({
      links: [httpLink({ url, fetch, methodOverride: "POST" })],
    });
    this.#clients.set(url, created);
    return created;
  }
}

function isUnknownProcedure(err: unknown): boolean {
  return err instanceof TRPCClientError && err.data?.code === "NOT_FOUND";
}
