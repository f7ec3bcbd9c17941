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
  GossipRequest,
  GossipResponse,
  PeerInfo,
  PeerState,
  TargetState,
} from "./api.ts";
import { Connections } from "./connector.ts";
import {
  type AgentRouter,
  type EntryRouter,
  type PeerRouter,
  TRPC_PATH,
} from "./router.ts";
import { streamingFetch } from "./streaming_fetch.ts";

/** Timeout of a unary call, in milliseconds. */
const RESPONSE_TIMEOUT_MS = 2_000;

/** Client of the agent of a target. */
export interface AgentClient extends PeerClient {
  /** Starts a stage call; the iteration throws if the connection fails. */
  call(call: StageCall, signal: AbortSignal): Promise<AsyncIterable<CallEvent>>;
  targetState(signal?: AbortSignal): Promise<TargetState>;
  /**
   * Uses new connections for further calls. Open streams continue; idle
   * connections, which may no longer respond, are closed.
   */
  renew?(): void;
}

/** Client of any process of the system. */
export interface PeerClient {
  peerState(signal?: AbortSignal): Promise<PeerState>;
  listsSince(
    version: number,
    signal?: AbortSignal,
  ): Promise<ListsUpdate | null>;
  exchange(
    request: GossipRequest,
    signal?: AbortSignal,
  ): Promise<GossipResponse>;
  /** Destroys all connections. */
  close(): Promise<void>;
}

/** Client of any process over tRPC. */
export class TrpcPeerClient implements PeerClient {
  readonly #connections: Connections;
  readonly #unary;

  /**
   * `url` is the base URL of the process's control address. Clients that call
   * many processes occasionally can share their `connections`.
   */
  constructor(url: string, connections = new Connections()) {
    this.#connections = connections;
    this.#unary = createTRPCClient<PeerRouter>({
      links: [unaryLink(url, connections)],
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
    request: GossipRequest,
    signal?: AbortSignal,
  ): Promise<GossipResponse> {
    return this.#unary.exchange.mutate(request, withTimeout(signal));
  }

  close(): Promise<void> {
    return this.#connections.close();
  }
}

/** Client of an agent over tRPC. */
export class TrpcAgentClient extends TrpcPeerClient implements AgentClient {
  readonly #connections: Connections;
  readonly #unary;
  readonly #streaming;

  /** `url` is the base URL of the agent's control address. */
  constructor(url: string, keys?: KeyStore) {
    const connections = new Connections(keys);
    super(url, connections);
    this.#connections = connections;
    this.#unary = createTRPCClient<AgentRouter>({
      links: [unaryLink(url, connections)],
    });
    this.#streaming = createTRPCClient<AgentRouter>({
      links: [
        httpBatchStreamLink({
          url: url + TRPC_PATH,
          fetch: streamingFetch(() => connections.dispatcher),
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

  renew(): void {
    this.#connections.renew();
  }
}

/** Fetches the costs recorded by the entry at a control address. */
export async function fetchCosts(
  url: string,
  keys?: KeyStore,
): Promise<readonly CostRow[]> {
  const connections = new Connections(keys);
  try {
    const client = createTRPCClient<EntryRouter>({
      links: [unaryLink(url, connections)],
    });
    return await client.costs.query(undefined, withTimeout());
  } finally {
    await connections.close();
  }
}

/** Returns a factory of peer clients that share one set of connections. */
export function connectPeers(keys?: KeyStore): (info: PeerInfo) => PeerClient {
  const connections = new Connections(keys);
  return ({ url }) => new TrpcPeerClient(url, connections);
}

function unaryLink(url: string, connections: Connections) {
  return httpLink({
    url: url + TRPC_PATH,
    fetch: fetchThrough(() => connections.dispatcher),
  });
}

function fetchThrough(getDispatcher: () => Agent): typeof fetch {
  const send = (url: unknown, init?: unknown) =>
    undiciFetch(url as string, {
      ...(init as object),
      dispatcher: getDispatcher(),
    });
  return send as unknown as typeof fetch;
}

function withTimeout(signal?: AbortSignal): { signal: AbortSignal } {
  return {
    signal: signal
      ? timeoutSignal(RESPONSE_TIMEOUT_MS, signal)
      : timeoutSignal(RESPONSE_TIMEOUT_MS),
  };
}
