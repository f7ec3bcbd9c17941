/**
 * Composition of an entry that calls its targets itself.
 *
 * @module
 */

import { createServer, type Server } from "node:http";
import {
  Kernel,
  service,
  serviceKey,
  sleep,
  timeoutSignal,
} from "../kernel/mod.ts";
import type { ListedPeer } from "../serving/mod.ts";
import { type Logger, Metrics } from "../telemetry/mod.ts";
import { EntryPeerClients, entryPeerHandler } from "../wire/mod.ts";
import { ChainClient } from "./chain_client.ts";
import { ChainRunner } from "./chain_runner.ts";
import { FleetView } from "./fleet_view.ts";
import { Gateway } from "./gateway.ts";
import { HttpFront, type ListenAddress } from "./http_front.ts";
import { OwnTimes } from "./own_times.ts";
import { Peers } from "./peers.ts";
import type { CallerCodec, StateSource, TargetClient } from "./ports.ts";
import { StageBatcher } from "./stage_batcher.ts";
import { type RepeatBounds, TargetBook } from "./target_book.ts";

/** What a gateway is started with. */
export interface GatewayConfig {
  readonly self: ListedPeer;
  /** Base URLs at which peers may be found. */
  readonly seeds: readonly string[];
  readonly front: ListenAddress;
  readonly ready: ListenAddress;
  readonly control: ListenAddress;
  readonly metrics?: ListenAddress;
  readonly repeats: RepeatBounds;
  /** Time between a stop's announcement and the kill, in milliseconds. */
  readonly graceMs: number;
}

/** Adapters of a platform. */
export interface GatewayAdapters {
  readonly source: StateSource;
  readonly targets: TargetClient;
  readonly codec: CallerCodec;
}

/**
 * Time after the start at which a process registers, in milliseconds: by then
 * the store and the peers have answered.
 */
const REGISTER_AFTER_MS = 700;
/** Pause between tries to register with the store, in milliseconds. */
const REGISTER_RETRY_MS = 1_000;
/** Longest wait for the answer to a registration, in milliseconds. */
const REGISTER_TIMEOUT_MS = 1_500;
/**
 * Time for which a leaving process still takes requests, in milliseconds: the
 * balancer asks once a second and takes a process out after two refusals.
 */
const LINGER_MS = 2_600;
/** Part of the grace that is left for the end of the process, in ms. */
const GRACE_RESERVE_MS = 700;

export const GATEWAY = serviceKey<Gateway>("gateway");

/** Starts a gateway; the kernel stops it. */
export function startGateway(
  cfg: GatewayConfig,
  adapters: GatewayAdapters,
  log: Logger,
): Promise<Kernel> {
  const { source, targets, codec } = adapters;
  const metrics = new Metrics();
  const clients = new EntryPeerClients();
  const view = new FleetView({ source, log, metrics });
  const peers = new Peers({
    self: cfg.self,
    seeds: cfg.seeds,
    view,
    clients,
    log,
    metrics,
  });
  const state = () => view.state;
  const batcher = new StageBatcher({ state, client: targets, log, metrics });
  const runner = new ChainRunner({ batcher, state, log });
  const chains = new ChainClient({ runner, peers, clients, targets, log });
  const book = new TargetBook({
    state,
    processes: () => peers.processNames,
    self: cfg.self,
    repeats: cfg.repeats,
  });
  const gateway = new Gateway({
    view,
    peers,
    book,
    chains,
    client: targets,
    ownTimes: new OwnTimes(),
    log,
    metrics,
  });
  const front = new HttpFront({ codec, handler: gateway, log, metrics });
  view.onChange(({ catalog, targets: listed }) => {
    if (catalog) front.setLimits(catalog.spec.limits);
    book.prune();
    targets.keepOnly(
      new Set(
        [...listed.values()].flatMap(({ target }) =>
          target ? [target.address] : []
        ),
      ),
    );
  });
  let isLeaving = false;
  return Kernel.start([
    service({
      key: serviceKey<FleetView>("fleet"),
      start: ({ signal }) => {
        view.run(signal);
        return view;
      },
    }),
    service({
      key: serviceKey<Peers>("peers"),
      start: async ({ signal }) => {
        await listen(
          createServer(entryPeerHandler({
            sync: (question) => peers.answer(question),
            freeResults: (results) => runner.free(results),
            runChain: (chain, gone) =>
              isLeaving
                ? Promise.resolve({ kind: "leaving" })
                : runner.run(chain, gone),
          })),
          cfg.control,
          signal,
        );
        peers.run(signal);
        register(source, cfg.self, { peers, log, signal });
        return peers;
      },
      leave: () => peers.leave(),
      end: () => clients.close(),
    }),
    service({
      key: serviceKey<Server>("metrics"),
      start: async ({ signal }) => {
        const server = createServer((_req, res) => res.end(metrics.text()));
        if (!cfg.metrics) return server;
        // Requests are served without metrics rather than not at all.
        await listen(server, cfg.metrics, signal).catch((err: unknown) =>
          log.error("metrics_unavailable", { detail: String(err) })
        );
        return server;
      },
    }),
    service({ key: GATEWAY, start: () => gateway }),
    service({
      key: serviceKey<HttpFront>("front"),
      start: async ({ signal }) => {
        await front.listen(cfg.front);
        await listen(
          createServer((_req, res) => {
            res.statusCode = gateway.isReady && !isLeaving ? 200 : 503;
            res.end();
          }),
          cfg.ready,
          signal,
        );
        log.info("started", { name: cfg.self.name });
        return front;
      },
      leave: () => {
        isLeaving = true;
        front.leave();
        log.info("stopping", { inHand: front.inHand });
      },
      drain: async () => {
        await sleep(LINGER_MS);
        await front.drain(cfg.graceMs - LINGER_MS - GRACE_RESERVE_MS);
      },
      end: async () => {
        await front.drain(0);
        await targets.close();
        log.info("stopped", { inHand: front.inHand });
      },
    }),
  ]);
}

/** Lists this process for its peers, until the store has taken it. */
async function register(
  source: StateSource,
  self: ListedPeer,
  opts: { peers: Peers; log: Logger; signal: AbortSignal },
): Promise<void> {
  const { peers, log, signal } = opts;
  await sleep(REGISTER_AFTER_MS, signal);
  while (!signal.aborted) {
    if (peers.mayKeepRegistration) {
      return log.info("registered", { name: self.name, kept: true });
    }
    const limit = timeoutSignal(REGISTER_TIMEOUT_MS, signal);
    const done = await source.register(self, limit);
    if (done.isOk()) return log.info("registered", { name: self.name });
    log.warn("register_failed", { reason: done.error.kind });
    await sleep(REGISTER_RETRY_MS, signal);
  }
}

/** Listens until `signal` aborts. */
function listen(
  server: Server,
  { host, port }: ListenAddress,
  signal: AbortSignal,
): Promise<void> {
  signal.addEventListener("abort", () => {
    server.closeAllConnections();
    server.close();
  });
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, () => resolve());
  });
}
