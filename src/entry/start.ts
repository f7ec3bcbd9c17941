/**
 * Composition of an entry process.
 *
 * @module
 */

import type { EntrySettings } from "../config/mod.ts";
import {
  Kernel,
  service,
  serviceKey,
  type ServiceSpec,
} from "../kernel/mod.ts";
import {
  baseServices,
  createControlApp,
  Ledger,
  listen,
  type Listening,
  LISTS,
  type ListsSync,
  LOG,
  METRICS,
  PLATFORM,
  TRACING,
} from "../process/mod.ts";
import { createPeerRouter, type PeerApi } from "../wire/mod.ts";
import { Checkpoints } from "./checkpoints.ts";
import { AdmissionService } from "./admission_service.ts";
import { Directory } from "./directory.ts";
import { Dispatcher } from "./dispatcher.ts";
import { Front } from "./front.ts";
import { KeyRecord } from "./key_record.ts";
import { Runner } from "./runner.ts";

const DIRECTORY = serviceKey<Directory>("directory");
const FRONT = serviceKey<Front>("front");
const CONTROL = serviceKey<Listening>("control");
const LISTEN = serviceKey<Listening>("listen");

/** Starts an entry. */
export function startEntry(cfg: EntrySettings): Promise<Kernel> {
  return Kernel.start([
    ...baseServices(cfg),
    directoryService(cfg),
    frontService(cfg),
    controlService(cfg),
    listenService(cfg),
  ]);
}

function directoryService(cfg: EntrySettings): ServiceSpec {
  return service({
    key: DIRECTORY,
    start: (ctx) => {
      const directory = new Directory({
        platform: ctx.get(PLATFORM),
        lists: ctx.get(LISTS),
        log: ctx.get(LOG),
        homeDomain: cfg.domain,
      });
      directory.run(ctx.signal);
      return directory;
    },
  });
}

function frontService(cfg: EntrySettings): ServiceSpec {
  return service({
    key: FRONT,
    start: (ctx) => {
      const metrics = ctx.get(METRICS);
      const tracing = ctx.get(TRACING);
      const { table, objects } = ctx.get(PLATFORM);
      const admission = new AdmissionService({ metrics });
      const record = new KeyRecord(new Ledger(table));
      const dispatcher = new Dispatcher({
        directory: ctx.get(DIRECTORY),
        metrics,
        tracing,
        record,
        admission,
      });
      const checkpoints = new Checkpoints({ objects, metrics });
      return new Front({
        runner: new Runner({ dispatcher, record, checkpoints, admission }),
        lists: ctx.get(LISTS),
        metrics,
        tracing,
        log: ctx.get(LOG),
        maxBodyBytes: cfg.maxBodyBytes,
      });
    },
    drain: (front) => front.drain(),
  });
}

function controlService(cfg: EntrySettings): ServiceSpec {
  return service({
    key: CONTROL,
    start: (ctx) => {
      const front = ctx.get(FRONT);
      const app = createControlApp({
        router: createPeerRouter(peerApi(cfg, ctx.get(LISTS), front)),
        metrics: ctx.get(METRICS),
        isReady: () => front.isReady,
      });
      return listen(app, cfg.control);
    },
    drain: (server) => server.close(),
  });
}

function listenService(cfg: EntrySettings): ServiceSpec {
  return service({
    key: LISTEN,
    start: async (ctx) => {
      const server = await listen(ctx.get(FRONT).app(), cfg.listen);
      ctx.get(LOG).info("entry_started", { port: server.port });
      return server;
    },
    drain: (server) => server.close(),
  });
}

function peerApi(
  cfg: EntrySettings,
  lists: ListsSync,
  front: Front,
): PeerApi {
  return {
    peerState: () => ({
      process: cfg.name,
      listsVersion: lists.current.version,
      confirmedAgeMs: lists.confirmedAgeMs,
      ready: front.isReady,
    }),
    listsSince: (version) =>
      lists.current.version > version ? lists.current : null,
  };
}
