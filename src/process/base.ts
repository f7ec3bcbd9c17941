/**
 * Services that every process starts.
 *
 * @module
 */

import { formatFindings, type ProcessSettings } from "../config/mod.ts";
import {
  onViolation,
  service,
  type ServiceContext,
  type ServiceSpec,
  violationCount,
} from "../kernel/mod.ts";
import {
  CountedTable,
  HttpHostList,
  HttpObjectStore,
  HttpTable,
  HttpWeightStore,
} from "../store/mod.ts";
import { NoticeBoard } from "../notices/mod.ts";
import { KeyStore } from "../tls/mod.ts";
import { createLogger, Metrics, Tracing } from "../telemetry/mod.ts";
import { connectPeers, type PeerInfo } from "../wire/mod.ts";
import {
  KEYS,
  LISTS,
  LOG,
  METRICS,
  NOTICES,
  PLATFORM,
  TRACING,
} from "./keys.ts";
import { ListsSync } from "./lists_sync.ts";

const MS_PER_S = 1_000;
const US_PER_S = 1_000_000;

/**
 * Returns the services for telemetry, TLS keys, the platform's clients and the
 * lists, in the order in which they start.
 */
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
      key: KEYS,
      start: (ctx) => startKeys(cfg, ctx),
    }),
    service({
      key: PLATFORM,
      start: (ctx) => createPlatform(cfg, ctx.get(METRICS)),
    }),
    service({
      key: NOTICES,
      start: (ctx) => new NoticeBoard({ metrics: ctx.get(METRICS) }),
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
          info: peerInfoOf(cfg),
          table: ctx.get(PLATFORM).table,
          log,
          metrics: ctx.get(METRICS),
          connect: connectPeers(ctx.get(KEYS)),
          seeds: cfg.peers,
          rule: cfg.outageRule,
          board: ctx.get(NOTICES),
        });
        sync.run(ctx.signal);
        return sync;
      },
    }),
  ];
}

/** Returns how peers reach the process of these settings. */
export function peerInfoOf(cfg: ProcessSettings): PeerInfo {
  return {
    name: cfg.name,
    domain: cfg.domain,
    url: controlUrl(cfg, cfg.control.port),
  };
}

/** Returns the base URL of the control address on a port. */
export function controlUrl(cfg: ProcessSettings, port: number): string {
  const scheme = cfg.tls ? "https" : "http";
  return `${scheme}://${cfg.control.address}:${port}`;
}

/** Thrown when certificate files cannot be used. */
export class KeysError extends Error {
  override readonly name = "KeysError";
}

function startKeys(
  cfg: ProcessSettings,
  ctx: ServiceContext,
): KeyStore | undefined {
  if (!cfg.tls) return undefined;
  const opened = KeyStore.open(cfg.tls);
  if (opened.isErr()) throw new KeysError(formatFindings(opened.error));
  const keys = opened.value;
  keys.run(ctx.get(LOG), ctx.signal);
  ctx.get(METRICS).gauge(
    "tls_expires_seconds",
    () => (keys.current.expiresAt - Date.now()) / MS_PER_S,
  );
  return keys;
}

function startMetrics(_signal: AbortSignal): Metrics {
  const metrics = new Metrics();
  metrics.gauge("invariant_violations_total", violationCount);
  metrics.gauge("resident_bytes", () => process.memoryUsage().rss);
  metrics.gauge("cpu_seconds_total", cpuSeconds);
  return metrics;
}

/** Returns the CPU time of the process in seconds. */
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
