/**
 * Composition of an agent process.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import type { AgentSettings } from "../config/mod.ts";
import {
  Kernel,
  service,
  type ServiceContext,
  serviceKey,
  type ServiceSpec,
} from "../kernel/mod.ts";
import { type Target, TargetKind } from "../model/mod.ts";
import {
  baseServices,
  CONTROL,
  controlService,
  controlUrl,
  LISTS,
  LOG,
  METRICS,
  PLATFORM,
  type Registration,
  registrationService,
  targetKey,
  TRACING,
} from "../process/mod.ts";
import { createAgentRouter } from "../wire/mod.ts";
import { Agent } from "./agent.ts";
import { keepColdWhileOut } from "./availability.ts";
import { ClaimService } from "./claim_service.ts";
import { ClaimSweeper } from "./claim_sweeper.ts";
import { EngineClient } from "./engine_client.ts";
import { HttpEngineControl, ORDER_TIMEOUT_MS } from "./engine_control.ts";
import { GateService } from "./gate_service.ts";
import { LeaseHolder } from "./lease_holder.ts";
import { CacheJournal, pollCacheEvents } from "./cache_journal.ts";
import { pollLoad } from "./load_poll.ts";
import { EngineReconciler } from "./engine_reconciler.ts";
import { ServiceClient } from "./service_client.ts";
import type { TargetClient } from "./target_client.ts";

const AGENT = serviceKey<Agent>("agent");
const RECONCILER = serviceKey<EngineReconciler>("orders");
const SWEEPER = serviceKey<ClaimSweeper>("sweeper");

/** Most calls that may queue at the gate. */
const MAX_QUEUED = 64;
/** Successes that prove a target warm when it sends no load reports. */
const SUCCESSES_UNTIL_WARM = 16;

/** Duration of the lease for orders to an engine, in milliseconds. */
const LEASE_MS = 10_000;
/** Largest relative drift between the clocks of two hosts. */
const MAX_CLOCK_DRIFT = 0.01;
/** Load report that marks a target as cold. */
const COLD_REPORT = { ageMs: 0, cold: true };

/** Starts an agent. */
export function startAgent(cfg: AgentSettings): Promise<Kernel> {
  return Kernel.start([
    ...baseServices(cfg),
    agentService(cfg),
    controlService(cfg, (ctx) => ({
      router: createAgentRouter(ctx.get(AGENT)),
      isReady: () => ctx.get(AGENT).isReady,
    })),
    registrationService((ctx) => registrationOf(cfg, ctx)),
    sweeperService(cfg),
    ...(cfg.target.kind === TargetKind.Engine ? [reconcilerService(cfg)] : []),
  ]);
}

function agentService(cfg: AgentSettings): ServiceSpec {
  return service({
    key: AGENT,
    start: (ctx) => {
      const target = targetOf(cfg, cfg.control.port);
      const gate = new GateService({
        coldLimit: cfg.target.coldLimit,
        maxLimit: cfg.target.maxLimit,
        maxQueued: MAX_QUEUED,
        minSuccesses: SUCCESSES_UNTIL_WARM,
        streamsProgress: cfg.target.kind === TargetKind.Engine,
      }, ctx.signal);
      const cache = createCacheJournal(cfg, ctx.signal);
      pollLoad(cfg.target.url, {
        onReport: (report) => gate.report(report),
        signal: ctx.signal,
      });
      keepColdWhileOut({
        target,
        availability: () => ctx.get(LISTS).current.availability,
        markCold: () => gate.report(COLD_REPORT),
        signal: ctx.signal,
      });
      return new Agent({
        target,
        gate,
        cache,
        claims: new ClaimService(ctx.get(PLATFORM).table, {
          log: ctx.get(LOG),
          metrics: ctx.get(METRICS),
        }),
        client: clientFor(cfg),
        lists: ctx.get(LISTS),
        metrics: ctx.get(METRICS),
        tracing: ctx.get(TRACING),
      });
    },
    leave: (agent) => agent.leave(),
    drain: (agent) => agent.drain(),
  });
}

/** Cleans up old claims; one agent of the fleet sweeps at a time. */
function sweeperService(cfg: AgentSettings): ServiceSpec {
  return service({
    key: SWEEPER,
    start: (ctx) => {
      const sweeper = new ClaimSweeper({
        table: ctx.get(PLATFORM).table,
        log: ctx.get(LOG),
        metrics: ctx.get(METRICS),
        holder: cfg.name,
      });
      sweeper.run(ctx.signal);
      return sweeper;
    },
  });
}

function registrationOf(cfg: AgentSettings, ctx: ServiceContext): Registration {
  const target = targetOf(cfg, ctx.get(CONTROL).port);
  const { id, agentUrl } = target;
  ctx.get(LOG).info("agent_started", { target: id, url: agentUrl });
  return {
    key: targetKey(id),
    value: target,
    onStart: (registrar) => ctx.get(AGENT).setRegistration(registrar),
  };
}

function reconcilerService(cfg: AgentSettings): ServiceSpec {
  return service({
    key: RECONCILER,
    start: (ctx) => {
      const { table, weights } = ctx.get(PLATFORM);
      const { id, checksFencing, url } = cfg.target;
      const leaseCfg = {
        holder: randomUUID(),
        durationMs: LEASE_MS,
        maxDrift: MAX_CLOCK_DRIFT,
        maxOrderMs: ORDER_TIMEOUT_MS,
        checksFencing,
      };
      const reconciler = new EngineReconciler({
        target: targetOf(cfg, ctx.get(CONTROL).port),
        control: new HttpEngineControl(url),
        lease: new LeaseHolder({ table, key: `lease/${id}`, cfg: leaseCfg }),
        weights,
        use: () => ctx.get(LISTS).current.use,
        onCold: () => ctx.get(AGENT).markTargetCold(),
        metrics: ctx.get(METRICS),
        log: ctx.get(LOG),
      });
      reconciler.run(ctx.signal);
      return reconciler;
    },
  });
}

function targetOf(cfg: AgentSettings, port: number): Target {
  return {
    id: cfg.target.id,
    pool: cfg.target.pool,
    kind: cfg.target.kind,
    host: cfg.host,
    domain: cfg.domain,
    agentUrl: controlUrl(cfg, port),
  };
}

function clientFor(cfg: AgentSettings): TargetClient {
  return cfg.target.kind === TargetKind.Engine
    ? new EngineClient(cfg.target.url)
    : new ServiceClient(cfg.target.url);
}

/** Journal of an engine's prefix cache; undefined for a plain service. */
function createCacheJournal(
  cfg: AgentSettings,
  signal: AbortSignal,
): CacheJournal | undefined {
  if (cfg.target.kind !== TargetKind.Engine) return undefined;
  const journal = new CacheJournal();
  pollCacheEvents(cfg.target.url, { journal, signal });
  return journal;
}
