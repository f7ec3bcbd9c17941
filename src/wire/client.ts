/**
 * tRPC clients of agents and peers.
 *
 * @module
 */

import { createTRPCClient, httpBatchStreamLink, httpLink } from "@trpc/client";
import { type Agent, fetch as undiciFetch } from "undici";
import { timeoutSignal } from "../kernel/mod.ts";
import type { ListsUpdate } from "../lists/mod.ts";
import type { CallEvent, CostRow, StageCall } from "../model/mod.ts";
import type { KeyStore } from "../tls/mod.ts";
import type {
  GossipAnswer,
  GossipQuestion,
  PeerInfo,
  PeerState,
  TargetState,
} from "./api.ts";
import { createDispatcher } from "./connector.ts";
import {
  type AgentRouter,
  type EntryRouter,
  type PeerRouter,
  TRPC_PATH,
} from "./router.ts";
import { streamingFetch } from "./streaming_fetch.ts";

const ANSWER_TIMEOUT_MS = 2_000;

/** Speaks to the agent beside a target. */
export interface AgentClient extends PeerClient {
  /** Starts a stage call. The iteration throws when the connection fails. */
  call(call: StageCall, signal: AbortSignal): Promise<AsyncIterable<CallEvent>>;
  targetState(signal?: AbortSignal): Promise<TargetState>;
  /**
   * Uses new connections from now on. Streams that are open go on; idle
   * connections, which may have gone silent, are closed.
   */
  renew?(): void;
}

/** Speaks to any process of the system. */
export interface PeerClient {
  peerState(signal?: AbortSignal): Promise<PeerState>;
  listsSince(
    version: number,
    signal?: AbortSignal,
  ): Promise<ListsUpdate | null>;
  exchange(
    question: GossipQuestion,
    signal?: AbortSignal,
  ): Promise<GossipAnswer>;
  /** Abandons every connection. */
  close(): Promise<void>;
}

/** Client of an agent over tRPC. */
export class TrpcAgentClient implements AgentClient {
  #dispatcher: Agent;
  readonly #keys: KeyStore | undefined;
  readonly #unary;
  readonly #streaming;

  /** `url` is the base URL of the agent's control address. */
  constructor(url: string, keys?: KeyStore) {
    this.#keys = keys;
    this.#dispatcher = createDispatcher(keys);
    const link = {
      url: url + TRPC_PATH,
      fetch: fetchBy(() => this.#dispatcher),
    };
    this.#unary = createTRPCClient<AgentRouter>({ links: [httpLink(link)] });
    this.#streaming = createTRPCClient<AgentRouter>({
      links: [
        httpBatchStreamLink({
          ...link,
          fetch: streamingFetch(() => this.#dispatcher),
          maxItems: 1,
        }),
      ],
    });
  }

  async call(
    call: StageCall,
    signal: AbortSignal,
  ): Promise<AsyncIterable<CallEvent>> {
    const events = await this.#streaming.runStage.mutate(call, { signal });
    return events as AsyncIterable<CallEvent>;
  }

  targetState(signal?: AbortSignal): Promise<TargetState> {
    return this.#unary.targetState.query(undefined, withTimeout(signal));
  }

  peerState(signal?: AbortSignal): Promise<PeerState> {
    return this.#unary.peerState.query(undefined, withTimeout(signal));
  }

  listsSince(
    version: number,
    signal?: AbortSignal,
  ): Promise<ListsUpdate | null> {
    return this.#unary.listsSince.query({ version }, withTimeout(signal));
  }

  renew(): void {
    const old = this.#dispatcher;
    this.#dispatcher = createDispatcher(this.#keys);
    void old.close();
  }

  exchange(
    question: GossipQuestion,
    signal?: AbortSignal,
  ): Promise<GossipAnswer> {
    return this.#unary.exchange.mutate(question, withTimeout(signal));
  }

  close(): Promise<void> {
    return this.#dispatcher.destroy();
  }
}

/** Client of any process over tRPC. */
export class TrpcPeerClient implements PeerClient {
  readonly #dispatcher: Agent;
  readonly #unary;

  /**
   * `url` is the base URL of the process's control address. Clients that speak
   * to many processes now and then share their connections by a `dispatcher`.
   */
  constructor(url: string, dispatcher = createDispatcher()) {
    this.#dispatcher = dispatcher;
    this.#unary = createTRPCClient<PeerRouter>({
      links: [
        httpLink({
          url: url + TRPC_PATH,
          fetch: fetchBy(() => this.#dispatcher),
        }),
      ],
    });
  }

  peerState(signal?: AbortSignal): Promise<PeerState> {
    return this.#unary.peerState.query(undefined, withTimeout(signal));
  }

  listsSince(
    version: number,
    signal?: AbortSignal,
  ): Promise<ListsUpdate | null> {
    return this.#unary.listsSince.query({ version }, withTimeout(signal));
  }

  exchange(
    question: GossipQuestion,
    signal?: AbortSignal,
  ): Promise<GossipAnswer> {
    return this.#unary.exchange.mutate(question, withTimeout(signal));
  }

  close(): Promise<void> {
    return this.#dispatcher.destroy();
  }
}

/** Costs that the entry at a control address has accounted. */
export async function fetchCosts(url: string): Promise<readonly CostRow[]> {
  const dispatcher = createDispatcher();
  const link = httpLink({
    url: url + TRPC_PATH,
    fetch: fetchBy(() => dispatcher),
  });
  try {
    const client = createTRPCClient<EntryRouter>({ links: [link] });
    return await client.costs.query(undefined, withTimeout());
  } finally {
    await dispatcher.destroy();
  }
}

/** Makes clients of peers that share one set of connections. */
export function connectPeers(keys?: KeyStore): (info: PeerInfo) => PeerClient {
  const dispatcher = createDispatcher(keys);
  return ({ url }) => new TrpcPeerClient(url, dispatcher);
}

function fetchBy(current: () => Agent): typeof fetch {
  const send = (url: unknown, init?: unknown) =>
    undiciFetch(url as string, {
      ...(init as object),
      dispatcher: current(),
    });
  return send as unknown as typeof fetch;
}

function withTimeout(signal?: AbortSignal): { signal: AbortSignal } {
  return {
    signal: signal
      ? timeoutSignal(ANSWER_TIMEOUT_MS, signal)
      : timeoutSignal(ANSWER_TIMEOUT_MS),
  };
}
