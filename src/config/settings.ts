/**
 * Settings of the daemons, read once from a JSON file.
 *
 * @module
 */

import { z } from "zod";
import { OutageRule, TargetKind } from "../model/mod.ts";
import { LogLevel, TraceExport } from "../telemetry/mod.ts";

const url = z.url();

const addressSchema = z.strictObject({
  address: z.string().min(1).describe("IP address to listen on"),
  port: z.int().min(0).max(65_535).describe("TCP port; 0 picks a free one"),
});

const platformSchema = z.strictObject({
  tableUrl: url.describe("Base URL of the table service"),
  objectStoreUrl: url.describe("Base URL of the object store"),
  hostListUrl: url.describe("Base URL of the host list"),
  weightStoreUrl: url.describe("Base URL of the weight store"),
});

const telemetrySchema = z.strictObject({
  logLevel: z.enum(LogLevel).default(LogLevel.Info)
    .describe("Least severe log level that is written"),
  traceExport: z.enum(TraceExport).default(TraceExport.None)
    .describe("Where spans go"),
  traceUrl: url.optional().describe("URL of the OTLP collector"),
});

const peerSchema = z.strictObject({
  name: z.string().min(1).describe("Name of the process"),
  domain: z.string().min(1).describe("Failure domain of the process"),
  url: url.describe("Base URL of the process's control address"),
});

const tlsSchema = z.strictObject({
  certFile: z.string().min(1)
    .describe("PEM file with the certificate of the process"),
  keyFile: z.string().min(1).describe("PEM file with its private key"),
  caFile: z.string().min(1)
    .describe(
      "PEM file with the authority that signs the fleet's certificates",
    ),
});

const processFields = {
  name: z.string().min(1).describe("Name of the process, unique in the fleet"),
  host: z.string().min(1).describe("Host in the platform's host list"),
  domain: z.string().min(1).describe("Failure domain of the host"),
  control: addressSchema
    .describe("Address for the system's own processes, health and metrics"),
  tls: tlsSchema.optional()
    .describe("Certificate for the control address; without it plain HTTP"),
  platform: platformSchema,
  peers: z.array(peerSchema).default([])
    .describe("Processes to ask while the table service is out"),
  outageRule: z.enum(OutageRule).default(OutageRule.EveryDomain)
    .describe("Failure domains that must be heard to go on in an outage"),
  telemetry: telemetrySchema
    .default({ logLevel: LogLevel.Info, traceExport: TraceExport.None }),
  drainMs: z.int().positive().default(30_000)
    .describe("Longest wait for work in hand on a planned stop, in ms"),
};

/** Schema of the settings of an entry. */
export const entrySettingsSchema = z.strictObject({
  ...processFields,
  listen: addressSchema.describe("Address for callers"),
  listenTls: z.boolean().default(false)
    .describe("True when callers too are served with the certificate"),
  maxBodyBytes: z.int().positive().default(1_048_576)
    .describe("Largest body of a request, in bytes"),
  seed: z.int().optional()
    .describe("Seed of the random draws in the choice of targets"),
});

/** Schema of the settings of an agent. */
export const agentSettingsSchema = z.strictObject({
  ...processFields,
  target: z.strictObject({
    id: z.string().min(1).describe("Name of the target"),
    pool: z.string().min(1).describe("Pool of the target"),
    kind: z.enum(TargetKind).describe("How the target is spoken to"),
    url: url.describe("Base URL of the target"),
    checksFencing: z.boolean().default(false)
      .describe("True when the target refuses orders with old fencing numbers"),
    coldLimit: z.int().positive().default(2)
      .describe("Concurrent calls that the target bears in cold start"),
    maxLimit: z.int().positive().default(64)
      .describe("Most concurrent calls that the gate ever allows"),
  }).describe("The target beside the agent"),
});

/** Settings of an entry. */
export type EntrySettings = z.infer<typeof entrySettingsSchema>;
/** Settings of an agent. */
export type AgentSettings = z.infer<typeof agentSettingsSchema>;
/** Settings that entries and agents share. */
export type ProcessSettings = Omit<
  EntrySettings,
  "listen" | "listenTls" | "maxBodyBytes" | "seed"
>;
