/**
 * Services that every process starts with.
 *
 * @module
 */

import type { ProcessSettings } from "../config/mod.ts";
import {
  onViolation,
  service,
  type ServiceSpec,
  violationCount,
} from "../kernel/mod.ts";
import {
  CountedTable,
  HttpHostList,
  HttpObjectStore,
  HttpTable,
  HttpWeightStore,
} from "../platform/mod.ts";
import { createLogger, Metrics, Tracing } from "../telemetry/mod.ts";
import { connectPeers, type PeerInfo } from "../wire/mod.ts";
import { LISTS, LOG, METRICS, PLATFORM, TRACING } from "./keys.ts";
import { ListsSync } from "./lists_sync.ts";

const US_PER_S = 1_000_000;

/** Telemetry, the platform's clients and the lists, in starting order. */
export function baseServices(cfg: ProcessSettings): readonly ServiceSpec[] {
  return [
    service({
      key: LOG,
      start: () =>
        createLogger({
          level: cfg.telemetry.logLevel,
          fields: { process: cfg.name },
        }),
    }),
    service({ key: METRICS, start: (ctx) => startMetrics(ctx.signal) }),
    service({
      key: TRACING,
      start: (ctx) =>
        new Tracing({
          to: cfg.telemetry.traceExport,
          url: cfg.telemetry.traceUrl,
          log: ctx.get(LOG),
          process: cfg.name,
        }),
      drain: (tracing) => tracing.flush(),
    }),
    service({
      key: PLATFORM,
      start: (ctx) => createPlatform(cfg, ctx.get(METRICS)),
    }),
    service({
      key: LISTS,
      start: (ctx) => {
        const log = ctx.get(LOG);
        onViolation(
          ({ name, detail }) =>
            log.error("invariant_violated", { invariant: name, detail }),
          ctx.signal,
        );
        const sync = new ListsSync({
          info: infoOf(cfg),
          table: ctx.get(PLATFORM).table,
          log,
          metrics: ctx.get(METRICS),
          connect: connectPeers(),
          seeds: cfg.peers,
          rule: cfg.outageRule,
        });
        sync.run(ctx.signal);
        return sync;
      },
    }),
  ];
}

/** How the peers reach the process of these settings. */
export function infoOf(cfg: ProcessSettings): PeerInfo {
  const { address, port } = cfg.control;
  return {
    name: cfg.name,
    domain: cfg.domain,
    url: `http://${address}:${port}`,
  };
}

function startMetrics(_signal: AbortSignal): Metrics {
  const metrics = new Metrics();
  metrics.gauge("invariant_violations_total", violationCount);
  metrics.gauge("resident_bytes", () => process.memoryUsage().rss);
  metrics.gauge("cpu_seconds_total", cpuSeconds);
  return metrics;
}

/** Processor time that the process has used. */
function cpuSeconds(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / US_PER_S;
}

function createPlatform(cfg: ProcessSettings, metrics: Metrics) {
  return {
    table: new CountedTable(new HttpTable(cfg.platform.tableUrl), metrics),
    objects: new HttpObjectStore(cfg.platform.objectStoreUrl),
    hosts: new HttpHostList(cfg.platform.hostListUrl),
    weights: new HttpWeightStore(cfg.platform.weightStoreUrl),
  };
}
