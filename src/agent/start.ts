/**
 * Composition of an agent process.
 *
 * @module
 */

import type { ResultAsync } from "neverthrow";
import type { AgentSettings } from "../config/mod.ts";
import {
  every,
  Kernel,
  service,
  serviceKey,
  type ServiceSpec,
} from "../kernel/mod.ts";
import { type Target, TargetKind } from "../model/mod.ts";
import type { PlatformError } from "../platform/mod.ts";
import {
  baseServices,
  createControlApp,
  listen,
  type Listening,
  LISTS,
  LOG,
  METRICS,
  PLATFORM,
  registerTarget,
  TRACING,
  withdrawTarget,
} from "../process/mod.ts";
import { createAgentRouter } from "../wire/mod.ts";
import { Agent } from "./agent.ts";
import { ClaimService } from "./claim_service.ts";
import { ClaimSweeper } from "./claim_sweeper.ts";
import { EngineClient } from "./engine_client.ts";
import { GateService } from "./gate_service.ts";
import { followLoad } from "./load_poll.ts";
import { ServiceClient } from "./service_client.ts";
import type { TargetClient } from "./target_client.ts";

const AGENT = serviceKey<Agent>("agent");
const CONTROL = serviceKey<Listening>("control");
const REGISTRATION = serviceKey<Registration>("registration");

/** Most calls that wait at the gate. */
const MAX_QUEUED = 64;
/** Successes that prove a target warm when it makes no load report. */
const PROVEN_AFTER = 16;
/** Time between two renewals of the registration, in milliseconds. */
const REGISTER_MS = 10_000;

/** Registration of the target, withdrawn on a planned stop. */
interface Registration {
  withdraw(): ResultAsync<void, PlatformError>;
}

/** Starts an agent. */
export function startAgent(cfg: AgentSettings): Promise<Kernel> {
  return Kernel.start([
    ...baseServices(cfg),
    agentService(cfg),
    controlService(cfg),
    registrationService(cfg),
  ]);
}

function agentService(cfg: AgentSettings): ServiceSpec {
  return service({
    key: AGENT,
    start: (ctx) => {
      const gate = new GateService({
        coldLimit: cfg.target.coldLimit,
        maxLimit: cfg.target.maxLimit,
        maxQueued: MAX_QUEUED,
        provenAfter: PROVEN_AFTER,
        showsProgress: cfg.target.kind === TargetKind.Engine,
      }, ctx.signal);
      followLoad(cfg.target.url, {
        onReport: (report) => gate.report(report),
        signal: ctx.signal,
      });
      return new Agent({
        name: cfg.name,
        target: targetOf(cfg, cfg.control.port),
        gate,
        claims: new ClaimService(ctx.get(PLATFORM).table, {
          log: ctx.get(LOG),
          metrics: ctx.get(METRICS),
        }),
        client: clientFor(cfg),
        lists: ctx.get(LISTS),
        metrics: ctx.get(METRICS),
        tracing: ctx.get(TRACING),
        log: ctx.get(LOG),
      });
    },
    drain: (agent) => agent.drain(),
  });
}

function controlService(cfg: AgentSettings): ServiceSpec {
  return service({
    key: CONTROL,
    start: (ctx) => {
      const agent = ctx.get(AGENT);
      const app = createControlApp({
        router: createAgentRouter(agent),
        metrics: ctx.get(METRICS),
        isReady: () => agent.isReady,
      });
      return listen(app, cfg.control);
    },
    drain: (server) => server.close(),
  });
}

function registrationService(cfg: AgentSettings): ServiceSpec {
  return service({
    key: REGISTRATION,
    start: (ctx) => {
      const { table } = ctx.get(PLATFORM);
      const log = ctx.get(LOG);
      const target = targetOf(cfg, ctx.get(CONTROL).port);
      void every(REGISTER_MS, async () => {
        const done = await registerTarget(table, target, ctx.signal);
        done.mapErr((err) =>
          log.warn("registration_failed", { detail: err.message })
        );
      }, ctx.signal);
      new ClaimSweeper({
        table,
        log,
        metrics: ctx.get(METRICS),
        holder: cfg.name,
      }).run(ctx.signal);
      log.info("agent_started", { target: target.id, url: target.agentUrl });
      return { withdraw: () => withdrawTarget(table, target.id) };
    },
    drain: async (registration) => {
      await registration.withdraw();
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
    agentUrl: `http://${cfg.control.address}:${port}`,
  };
}

function clientFor(cfg: AgentSettings): TargetClient {
  return cfg.target.kind === TargetKind.Engine
    ? new EngineClient(cfg.target.url)
    : new ServiceClient(cfg.target.url);
}
