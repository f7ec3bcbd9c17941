/**
 * Schemas of the settings, which a process reads from a JSON file at start.
 *
 * @module
 */

import { z } from "zod";
import { OutageRule, TargetKind } from "../model/mod.ts";
import { LogLevel, TraceExport } from "../telemetry/mod.ts";

const urlSchema = z.url();

const addressSchema = z.strictObject({
  address: z.string().min(1).describe("IP address to listen on"),
  port: z.int().min(0).max(65_535).describe("TCP port; 0 selects a free one"),
});

const platformSchema = z.strictObject({
  tableUrl: urlSchema.describe("Base URL of the table service"),
  objectStoreUrl: urlSchema.describe("Base URL of the object store"),
  hostListUrl: urlSchema.describe("Base URL of the host list"),
  weightStoreUrl: urlSchema.describe("Base URL of the weight store"),
});

const telemetrySchema = z.strictObject({
  logLevel: z.enum(LogLevel).default(LogLevel.Info)
    .describe("Minimum severity of the log events that are written"),
  traceExport: z.enum(TraceExport).default(TraceExport.None)
    .describe("Destination of trace spans"),
  traceUrl: urlSchema.optional().describe("URL of the OTLP collector"),
});

const peerSchema = z.strictObject({
  name: z.string().min(1).describe("Name of the process"),
  domain: z.string().min(1).describe("Failure domain of the process"),
  url: urlSchema.describe("Base URL of the process's control address"),
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
    .describe("Address for the system's processes, health checks and metrics"),
  tls: tlsSchema.optional()
    .describe("Certificate of the control address; plain HTTP when absent"),
  platform: platformSchema,
  peers: z.array(peerSchema).default([])
    .describe("Processes to query while the table service is unavailable"),
  outageRule: z.enum(OutageRule).default(OutageRule.EveryDomain)
    .describe("Failure domains that must respond before an outage is assumed"),
  telemetry: telemetrySchema
    .default({ logLevel: LogLevel.Info, traceExport: TraceExport.None }),
  drainMs: z.int().positive().default(30_000)
    .describe("Maximum wait for work in flight on a planned stop, in ms"),
};

/** Schema of the settings of an entry. */
export const entrySettingsSchema = z.strictObject({
  ...processFields,
  listen: addressSchema.describe("Address for callers"),
  listenTls: z.boolean().default(false)
    .describe(
      "True when callers are served over TLS, with the certificate in `tls`",
    ),
  maxBodyBytes: z.int().positive().default(1_048_576)
    .describe("Maximum size of a request body, in bytes"),
  seed: z.int().optional()
    .describe("Seed of the random numbers used to choose targets"),
});

/** Schema of the settings of an agent. */
export const agentSettingsSchema = z.strictObject({
  ...processFields,
  target: z.strictObject({
    id: z.string().min(1).describe("Name of the target"),
    pool: z.string().min(1).describe("Pool of the target"),
    kind: z.enum(TargetKind).describe("Interface of the target"),
    url: urlSchema.describe("Base URL of the target"),
    checksFencing: z.boolean().default(false)
      .describe(
        "True when the target rejects orders with outdated fencing numbers",
      ),
    coldLimit: z.int().positive().default(2)
      .describe("Maximum number of concurrent calls during a cold start"),
    maxLimit: z.int().positive().default(64)
      .describe("Upper bound of the gate's limit of concurrent calls"),
  }).describe("Target whose calls pass through the agent"),
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
