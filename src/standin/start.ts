/**
 * Process that serves stand-ins on the ports in its settings.
 *
 * @module
 */

import type { Hono } from "hono";
import { z } from "zod";
import { HostState } from "../store/mod.ts";
import { listen, type ListeningServer } from "../process/mod.ts";
import { Engine } from "./engine.ts";
import { createEngineApp } from "./engine_app.ts";
import { DEFAULT_ENGINE } from "./engine_config.ts";
import { NO_FAULTS } from "./faults.ts";
import {
  createServiceApp,
  DEFAULT_SERVICE,
  SimulatedService,
} from "./service.ts";
import {
  createHostListApp,
  createObjectStoreApp,
  createWeightStoreApp,
  MemoryHostList,
  MemoryObjectStore,
  MemoryWeightStore,
} from "./stores.ts";
import { createTableApp, MemoryTable } from "./table.ts";

/** Kinds of stand-ins. */
export const StandInKind = {
  Engine: "engine",
  Service: "service",
  Table: "table",
  ObjectStore: "object-store",
  HostList: "host-list",
  WeightStore: "weight-store",
} as const;
export type StandInKind = typeof StandInKind[keyof typeof StandInKind];

const MODEL_BYTES = 16_000_000_000;
const WEIGHT_BYTES_PER_S = 8_000_000_000;

/** Schema of the settings of a stand-in process. */
export const standInSettingsSchema = z.strictObject({
  address: z.string(),
  seed: z.int(),
  hostListLagMs: z.number().nonnegative().default(2_000),
  hosts: z.array(z.strictObject({
    host: z.string(),
    domain: z.string(),
    state: z.enum(HostState),
  })).default([]),
  standIns: z.array(z.strictObject({
    kind: z.enum(StandInKind),
    port: z.int().positive(),
    /** Overrides fields of the default configuration of the kind. */
    tune: z.record(z.string(), z.number()).default({}),
  })),
});

/** Settings of a stand-in process. */
export type StandInSettings = z.infer<typeof standInSettingsSchema>;

/**
 * Starts every stand-in in the settings. All table stand-ins are addresses of
 * one table, each with its own faults.
 */
export function startStandIns(
  cfg: StandInSettings,
): Promise<readonly ListeningServer[]> {
  const isTable = ({ kind }: { kind: StandInKind }) =>
    kind === StandInKind.Table;
  const table = new MemoryTable(cfg.standIns.find(isTable)?.tune);
  return Promise.all(cfg.standIns.map((standIn, i) => {
    const app = createApp(cfg, standIn, { seed: cfg.seed + i, table });
    return listen(app, { address: cfg.address, port: standIn.port });
  }));
}

function createApp(
  cfg: StandInSettings,
  standIn: StandInSettings["standIns"][number],
  { seed, table }: { seed: number; table: MemoryTable },
): Hono {
  const opts = { faults: { ...NO_FAULTS }, seed };
  switch (standIn.kind) {
    case StandInKind.Engine:
      return createEngineApp(
        new Engine({ ...DEFAULT_ENGINE, ...standIn.tune }, seed),
        opts,
      );
    case StandInKind.Service:
      return createServiceApp(
        new SimulatedService({ ...DEFAULT_SERVICE, ...standIn.tune }),
        opts,
      );
    case StandInKind.Table:
      return createTableApp(table, opts);
    case StandInKind.ObjectStore:
      return createObjectStoreApp(new MemoryObjectStore(), opts);
    case StandInKind.HostList:
      return createHostListApp(
        new MemoryHostList({ hosts: cfg.hosts, lagMs: cfg.hostListLagMs }),
        opts,
      );
    case StandInKind.WeightStore:
      return createWeightStoreApp(
        new MemoryWeightStore({
          modelBytes: MODEL_BYTES,
          bytesPerS: WEIGHT_BYTES_PER_S,
        }),
        opts,
      );
  }
}
