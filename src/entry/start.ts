/**
 * Composition of an entry process.
 *
 * @module
 */

import type { EntrySettings } from "../config/mod.ts";
import { CrashWatch, Reachability } from "../crashes/mod.ts";
import {
  Kernel,
  service,
  type ServiceContext,
  serviceKey,
  type ServiceSpec,
} from "../kernel/mod.ts";
import {
  baseServices,
  ClaimStore,
  controlService,
  type EntryInfo,
  entryKey,
  KEYS,
  listen,
  type ListeningServer,
  LISTS,
  type ListsSync,
  LOG,
  METRICS,
  NOTICES,
  peerInfoOf,
  PLATFORM,
  type Registration,
  registrationService,
  TRACING,
} from "../process/mod.ts";
import {
  createEntryRouter,
  type PeerApi,
  TrpcAgentClient,
} from "../wire/mod.ts";
import { Checkpoints } from "./checkpoints.ts";
import { AdmissionService } from "./admission_service.ts";
import { CostTotals } from "./cost_totals.ts";
import { Directory } from "./directory.ts";
import { Dispatcher } from "./dispatcher.ts";
import { Front } from "./front.ts";
import { KeyRecord } from "./key_record.ts";
import { Runner } from "./runner.ts";

const DIRECTORY = serviceKey<Directory>("directory");
const COSTS = serviceKey<CostTotals>("costs");
const FRONT = serviceKey<Front>("front");
const LISTEN = serviceKey<ListeningServer>("listen");

/** Starts an entry process with all its services. */
export function startEntry(cfg: EntrySettings): Promise<Kernel> {
  return Kernel.start([
    ...baseServices(cfg),
    directoryService(cfg),
    service({
      key: COSTS,
      start: (ctx) => new CostTotals({ metrics: ctx.get(METRICS) }),
    }),
    frontService(cfg),
    controlService(cfg, controlInterface),
    registrationService(() => registrationOf(cfg)),
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
        name: cfg.name,
        localDomain: cfg.domain,
        connect: ({ agentUrl }) => new TrpcAgentClient(agentUrl, ctx.get(KEYS)),
        seed: cfg.seed,
      });
      directory.run(ctx.signal);
      directory.clean(ctx.signal);
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
      const record = new KeyRecord(new ClaimStore(table));
      const directory = ctx.get(DIRECTORY);
      const dispatcher = new Dispatcher({
        directory,
        crashes: crashWatch(cfg, ctx, directory),
        metrics,
        tracing,
        record,
        admission,
        costs: ctx.get(COSTS),
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
    leave: (front) => front.leave(),
    drain: (front) => front.drain(),
  });
}

/** Agents check for crashes beside their targets and report them. */
function crashWatch(
  { name }: EntrySettings,
  ctx: ServiceContext,
  directory: Directory,
): CrashWatch {
  return new CrashWatch({
    self: name,
    fleet: {
      isListed: () => true,
      processes: () => directory.entryNames,
    },
    check: () => Promise.resolve(Reachability.Refuses),
    notices: ctx.get(NOTICES),
    log: ctx.get(LOG),
    metrics: ctx.get(METRICS),
  });
}

function controlInterface(ctx: ServiceContext) {
  const front = ctx.get(FRONT);
  return {
    router: createEntryRouter({
      ...peerApi(ctx.get(LISTS), front),
      costs: () => ctx.get(COSTS).rows,
    }),
    isReady: () => front.isReady,
  };
}

function listenService(cfg: EntrySettings): ServiceSpec {
  return service({
    key: LISTEN,
    start: async (ctx) => {
      const server = await listen(ctx.get(FRONT).app(), {
        ...cfg.listen,
        keys: cfg.listenTls ? ctx.get(KEYS) : undefined,
        log: ctx.get(LOG),
        metrics: ctx.get(METRICS),
      });
      ctx.get(LOG).info("entry_started", { port: server.port });
      return server;
    },
    leave: (server) => server.leave(),
    drain: (server) => server.close(),
  });
}

/** Returns the row by which operators' commands and peers find the entry. */
function registrationOf(cfg: EntrySettings): Registration {
  const info: EntryInfo = { ...peerInfoOf(cfg), host: cfg.host };
  return { key: entryKey(cfg.name), value: info };
}

function peerApi(
  lists: ListsSync,
  front: Front,
): PeerApi {
  return {
    peerState: () => lists.peerState(front.isReady),
    listsSince: (version) => lists.updateSince(version),
    exchange: (request) => lists.respond(request, front.isReady),
  };
}
