/**
 * Composition of an entry that calls its targets directly.
 *
 * @module
 */

import { createServer, type RequestListener, type Server } from "node:http";
import {
  ClientBudget,
  type ClientLimits,
  ConnectionGuard,
  type GuardOptions,
} from "../http/mod.ts";
import { Kernel, service, serviceKey, sleep } from "../kernel/mod.ts";
import { CrashWatch, QuarantineRecorder } from "../crashes/mod.ts";
import { NoticeBoard } from "../notices/mod.ts";
import { RateLimits, TargetPauses } from "../rates/mod.ts";
import type { ListedPeer } from "../serving/mod.ts";
import { type Logger, Metrics, StallMonitor } from "../telemetry/mod.ts";
import {
  DefaultOriginKeeper,
  type OriginFleet,
  OriginWriters,
  StoredOrigins,
  StreamOriginService,
} from "../origins/mod.ts";
import { EntryPeerClients, entryPeerHandler } from "../wire/mod.ts";
import { HeldBytes } from "./answer_body.ts";
import { BuildRecorder } from "./build_recorder.ts";
import { ChainClient } from "./chain_client.ts";
import { ChainService } from "./chain_service.ts";
import { FleetView } from "./fleet_view.ts";
import type { FollowBounds } from "./follow.ts";
import { Gateway } from "./gateway.ts";
import { HttpFront, type ListenAddress } from "./http_front.ts";
import { FirstByteTimes } from "./first_byte_times.ts";
import { LeavingTargets } from "./leaving_targets.ts";
import { Peers } from "./peers.ts";
import type { CallerCodec, StateSource, TargetClient } from "./ports.ts";
import { PlannedStop } from "./planned_stop.ts";
import { type RolloutBounds, RolloutControl } from "../rollout/mod.ts";
import { Registration } from "./registration.ts";
import { ResponseTimes } from "./response_times.ts";
import { RouteExplainer } from "./route_explainer.ts";
import { ShardRunners } from "./shard_runners.ts";
import { originFleet } from "./stream_binding.ts";
import { type RetryBudget, TargetTracker } from "./target_tracker.ts";

/** Configuration of a gateway. */
export interface GatewayConfig {
  readonly self: ListedPeer;
  /** Base URLs of possible peers. */
  readonly seeds: readonly string[];
  readonly front: ListenAddress;
  readonly ready: ListenAddress;
  readonly control: ListenAddress;
  readonly metrics?: ListenAddress;
  readonly repeats: RetryBudget;
  readonly bounds: FollowBounds;
  readonly rollouts: RolloutBounds;
  /** What clients may make the process hold; defaults without it. */
  readonly clients?: ClientLimits;
  /** Time from the announcement of a stop to the kill, in milliseconds. */
  readonly graceMs: number;
}

/** Adapters of a platform. */
export interface GatewayAdapters {
  readonly source: StateSource;
  readonly targets: TargetClient;
  readonly codec: CallerCodec;
  /** Metrics to which the adapters add theirs. */
  readonly metrics?: Metrics;
}

/**
 * Time for which a leaving process still accepts requests, in milliseconds: the
 * load balancer checks once a second and removes a process after two failed
 * checks.
 */
const LINGER_MS = 2_600;
/** Part of the grace period reserved for shutting the process down, in ms. */
const GRACE_RESERVE_MS = 700;
/**
 * Shortest time for the requests in hand of a process that was stalled when its
 * stop was announced, in milliseconds: their responses have arrived meanwhile.
 */
const MIN_STOP_MS = 1_000;

/** Largest body of a call by another entry, in bytes; it may hold its state. */
const MAX_PEER_BODY_BYTES = 16 * 1024 * 1024;
/** Part of the memory for clients that calls by other entries may take. */
const PEER_MEMORY_SHARE = 0.5;
/** The same for each address of checks. */
const CHECK_MEMORY_SHARE = 0.1;
/** Largest body at the addresses of checks, which use none, in bytes. */
const MAX_CHECK_BODY_BYTES = 16 * 1024;

export const FLEET = serviceKey<FleetView>("fleet");
export const GATEWAY = serviceKey<Gateway>("gateway");

/** Starts a gateway; the returned kernel stops it. */
export function startGateway(
  cfg: GatewayConfig,
  adapters: GatewayAdapters,
  log: Logger,
): Promise<Kernel> {
  const { source, targets, codec, metrics = new Metrics() } = adapters;
  const clients = new EntryPeerClients();
  const view = new FleetView({ source, bounds: cfg.bounds, log, metrics });
  const board = new NoticeBoard({ metrics });
  const peers = new Peers({
    self: cfg.self,
    seeds: cfg.seeds,
    view,
    clients,
    log,
    metrics,
    board,
    backups: () => origins,
  });
  const budget = new ClientBudget({ limits: cfg.clients, log, metrics });
  const state = () => view.state;
  let isLeaving = false;
  const stop = new PlannedStop();
  const stalls = new StallMonitor({ log, metrics });
  const rates = new RateLimits({
    self: cfg.self,
    fleet: {
      entries: () => peers.entries,
      isUsable: (peer) => peers.isUsable(peer),
    },
    ask: (url, request, signal) => clients.permit(url, request, signal),
    notices: board,
    log,
    metrics,
  });
  const pauses = new TargetPauses({ log, metrics });
  const leaving = new LeavingTargets({ view, notices: board, log, metrics });
  targets.onAnswer(({ target, limit, isLeaving, pauseMs = 0, sentAt }) => {
    if (limit) rates.observe({ target: target.id, ...limit, sentAt });
    if (isLeaving) leaving.observe(target);
    if (pauseMs > 0) pauses.pause(target, pauseMs);
  });
  const rollouts = new RolloutControl({
    self: cfg.self,
    fleet: {
      state,
      entries: () => peers.entries,
      isUsable: (peer) => peers.isUsable(peer),
      storeAgeMs: () => view.storeAgeMs,
      storeEra: () => view.ownRowsEra,
      learn: (changes) => view.learn(changes),
    },
    bounds: cfg.rollouts,
    send: (url, report, signal) => clients.reportRollout(url, report, signal),
    write: async (write, signal) =>
      (await source.recordRollout(write, signal)).unwrapOr(undefined),
    log,
    metrics,
  });
  const runner = new ShardRunners({
    state,
    client: targets,
    rates,
    pauses,
    rollouts,
    log,
    metrics,
  });
  const chainService = new ChainService({
    runner,
    owners: peers.owners,
    catalog: () => view.state.catalog,
    readCatalog: () => view.readChanges(),
    isLeaving: () => isLeaving,
  });
  const chains = new ChainClient({ runner, peers, clients, targets, log });
  const tracker = new TargetTracker({
    state,
    processes: () => peers.processNames,
    self: cfg.self,
    repeats: cfg.repeats,
    rates,
    pauses,
    rollouts,
    metrics,
  });
  const recorder = new BuildRecorder({
    view,
    source,
    self: cfg.self.name,
    processes: () => peers.processNames,
    log,
  });
  const fleet: OriginFleet = originFleet(view, peers);
  const origins: StreamOriginService = new StreamOriginService({
    self: cfg.self,
    fleet,
    clients,
    stored: {
      records: new StoredOrigins({
        store: source.origins,
        self: cfg.self.name,
        writers: new OriginWriters({
          self: cfg.self,
          fleet,
          clients,
          log,
          metrics,
        }),
        log,
        metrics,
      }),
      defaults: new DefaultOriginKeeper({
        store: source.origins,
        self: cfg.self,
        fleet,
        log,
        metrics,
      }),
    },
    log,
    metrics,
  });
  const crashes = new CrashWatch({
    self: cfg.self.name,
    fleet: {
      isListed: ({ id, bornMs }) => {
        const listed = view.state.targets.get(id)?.target;
        return listed !== undefined && listed.bornMs === bornMs;
      },
      processes: () => peers.processNames,
    },
    check: (target) => targets.checkReachability(target),
    notices: board,
    log,
    metrics,
  });
  const quarantines = new QuarantineRecorder({
    watch: crashes,
    listed: () => view.listedQuarantines,
    write: async (changes, signal) =>
      (await source.recordQuarantines(changes, signal)).isOk(),
    self: cfg.self.name,
    processes: () => peers.processNames,
    log,
  });
  const registration = new Registration({
    source,
    self: cfg.self,
    peers,
    view,
    log,
  });
  const gateway = new Gateway({
    view,
    peers,
    origins,
    crashes,
    rates,
    tracker,
    chains,
    client: targets,
    heldBytes: new HeldBytes(
      budget.limits.answerBytes,
      () => budget.boundedUnreadBytes,
      (bytes) => budget.received(bytes),
    ),
    stop,
    responseTimes: new ResponseTimes(),
    firstByteTimes: new FirstByteTimes(),
    log,
    metrics,
  });
  const explainer = new RouteExplainer({
    self: cfg.self,
    view,
    gateway,
    tracker,
    owners: peers.owners,
    chains,
    crashes,
    origins,
    rates,
    pauses,
    isLeaving: () => isLeaving,
  });
  const front = new HttpFront({
    codec,
    handler: gateway,
    log,
    metrics,
    budget,
  });
  view.onChange(({ catalog, targets: listed }) => {
    if (catalog) front.setLimits(catalog.spec.limits);
    rollouts.refresh();
    tracker.prune();
    origins.recheck();
    crashes.recheck();
    crashes.adopt(view.state.quarantines);
    targets.retainConnections(
      new Set(
        [...listed.values()].flatMap(({ target }) =>
          target ? [target.address] : []
        ),
      ),
    );
  });
  const checkGuard = {
    budget,
    maxConnections: budget.limits.checkConnections,
    maxBodyBytes: MAX_CHECK_BODY_BYTES,
    memoryShare: CHECK_MEMORY_SHARE,
  };
  return Kernel.start([
    service({
      key: FLEET,
      start: ({ signal }) => {
        view.run(signal);
        return view;
      },
    }),
    service({
      key: serviceKey<Peers>("peers"),
      start: async ({ signal }) => {
        await listen(
          guardedServer(
            entryPeerHandler({
              sync: (request) => peers.handleSync(request),
              freeResults: (results) => runner.release(results),
              runChain: (chain, gone) => chainService.run(chain, gone),
              keepOrigins: (batch) => origins.keepOrigins(batch),
              recordOrigins: (batch) => origins.recordOrigins(batch),
              permit: (request) => rates.handlePermit(request),
              reportRollout: (report) => rollouts.handleReport(report),
              findOrigin: (query) => origins.findOrigin(query),
              explainRoute: (request) => explainer.explain(request),
            }),
            {
              budget,
              maxConnections: budget.limits.peerConnections,
              maxBodyBytes: MAX_PEER_BODY_BYTES,
              memoryShare: PEER_MEMORY_SHARE,
            },
          ),
          cfg.control,
          signal,
        );
        peers.run(signal);
        origins.run(signal);
        registration.run(signal);
        recorder.run(signal);
        quarantines.run(signal);
        rollouts.run(signal);
        return peers;
      },
      leave: () => {
        peers.leave();
        origins.leave();
      },
      end: () => clients.close(),
    }),
    service({
      key: serviceKey<Server>("metrics"),
      start: async ({ signal }) => {
        stalls.run(signal);
        const server = guardedServer(
          (_req, res) => res.end(metrics.text()),
          checkGuard,
        );
        if (!cfg.metrics) return server;
        // The process serves requests even if it cannot open this address.
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
          guardedServer((_req, res) => {
            res.statusCode = gateway.isReady && !isLeaving ? 200 : 503;
            res.end();
          }, checkGuard),
          cfg.ready,
          signal,
        );
        log.info("started", { name: cfg.self.name });
        return front;
      },
      leave: () => {
        isLeaving = true;
        // The stop may have been asked for at the beginning of a stall.
        const stalledMs = Math.round(stalls.justEndedMs);
        const graceMs = cfg.graceMs - GRACE_RESERVE_MS - stalledMs;
        stop.announce(Math.max(MIN_STOP_MS, graceMs));
        front.leave();
        log.info("stopping", {
          inHand: front.inHand,
          stalledMs,
          remainingMs: Math.round(stop.remainingMs),
        });
      },
      drain: async () => {
        await sleep(Math.min(LINGER_MS, stop.remainingMs));
        await front.drain(stop.remainingMs, () => stop.end());
      },
      end: async () => {
        await front.drain(0);
        await targets.close();
        log.info("stopped", { inHand: front.inHand });
      },
    }),
  ]);
}

/** Creates a server whose clients are bounded. */
function guardedServer(
  listener: RequestListener,
  opts: GuardOptions,
): Server {
  const server = createServer(listener);
  new ConnectionGuard(server, opts);
  return server;
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
