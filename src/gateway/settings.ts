/**
 * Validated settings of a gateway.
 *
 * @module
 */

import { z } from "zod";
import { clientLimits } from "../http/mod.ts";
import { LogLevel } from "../telemetry/mod.ts";
import type { ListenAddress } from "./http_front.ts";
import type { GatewayConfig } from "./start.ts";

const MS_PER_S = 1_000;
/** `IP:PORT`. */
const addressSchema = z.string().regex(/^[^:]+:\d+$/, "Expected IP:PORT");

function limit(text: string) {
  return z.number().positive().optional().describe(text);
}

/** Schema of the settings of a gateway. */
export const gatewaySettingsSchema = z.object({
  name: z.string().min(1).describe("Name of the process, unique in the fleet"),
  failureDomain: z.string().min(1).describe("Failure domain of the host"),
  front: addressSchema.describe("Address for callers"),
  ready: addressSchema.describe(
    "Address of the load balancer's readiness check",
  ),
  control: addressSchema.describe("Address for other entries"),
  metrics: addressSchema.optional().describe("Address of the metrics endpoint"),
  seeds: z.array(addressSchema).default([])
    .describe("Control addresses at which other entries may be found"),
  store: addressSchema.describe("Address of the platform's store"),
  graceS: z.number().positive()
    .describe("Seconds from the announcement of a planned stop to the kill"),
  repeats: z.object({
    ratio: z.number().min(0)
      .describe("Retries that a pool may use for each request"),
    windowS: z.number().positive()
      .describe("Sliding window of the ratio, in seconds"),
    allowance: z.number().min(0)
      .describe("Additional retries that a pool may use in a window"),
  }),
  bounds: z.object({
    contactMs: z.number().positive().default(3_000).describe(
      "Time after a disturbance within which the process is up to date, in ms",
    ),
    drainMs: z.number().positive().default(2_000)
      .describe("Time after which a draining target gets no new work, in ms"),
    exposureShare: z.number().min(0).max(1).default(0.1).describe(
      "Share of a pool's requests that a build which is rolled out may get " +
        "before it has proved to be good",
    ),
    exposureAllowance: z.number().min(0).default(50).describe(
      "Requests beyond that share, of all processes together",
    ),
    rollbackMs: z.number().positive().default(5_000).describe(
      "Time after its 50th bad response from which a build that is rolled out " +
        "gets no request, in ms",
    ),
  }).prefault({}).describe("Times within which changes are in force"),
  processor: z.object({
    share: z.number().positive().describe("Share of a core that it may use"),
    speed: z.number().positive().describe("Speed of the core; 1 is usual"),
  }).optional().describe("Processor time; the largest entries own the stages"),
  memoryMb: z.number().positive().optional().describe(
    "Memory of the host, in MiB, from which the limits of what clients hold follow; 80 MiB of bodies by default",
  ),
  maxDescriptors: z.number().int().positive().optional().describe(
    "Descriptors of the host, from which the limits of connections follow; none by default",
  ),
  clients: z.object({
    largeBodyBytes: limit("Memory for bodies over 64 KiB, in bytes"),
    smallBodyBytes: limit("Further memory for other bodies, in bytes"),
    otherBytes: limit("Memory for connections, heads and requests, in bytes"),
    answerBytes: limit(
      "Memory for answers that are held until they are complete, in bytes",
    ),
    unreadBytes: limit("Memory for answers sent and not read, in bytes"),
    connections: limit("Connections of callers"),
    peerConnections: limit("Connections of other entries"),
    checkConnections: limit("Connections to each address of checks"),
    requests: limit("Complete requests in hand"),
    pipelinedRequests: limit("Requests in hand of one connection"),
  }).prefault({}).describe(
    "Limits of what clients hold, in place of those that follow from the host",
  ),
  logLevel: z.enum(LogLevel).default(LogLevel.Info)
    .describe("Least severe log level that is written"),
});

/** Settings of a gateway. */
export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>;

/** Derives the configuration from validated settings. */
export function gatewayConfig(settings: GatewaySettings): GatewayConfig {
  const { repeats: retryBudget, processor } = settings;
  return {
    self: {
      name: settings.name,
      failureDomain: settings.failureDomain,
      url: `http://${settings.control}`,
      capacity: processor && processor.share * processor.speed,
    },
    seeds: settings.seeds.map((address) => `http://${address}`),
    front: listenAddress(settings.front),
    ready: listenAddress(settings.ready),
    control: listenAddress(settings.control),
    metrics: settings.metrics ? listenAddress(settings.metrics) : undefined,
    repeats: {
      ratio: retryBudget.ratio,
      windowMs: retryBudget.windowS * MS_PER_S,
      allowance: retryBudget.allowance,
    },
    bounds: settings.bounds,
    rollouts: {
      share: settings.bounds.exposureShare,
      allowance: settings.bounds.exposureAllowance,
      rollbackMs: settings.bounds.rollbackMs,
      contactMs: settings.bounds.contactMs,
    },
    clients: clientLimits(settings, settings.clients),
    graceMs: settings.graceS * MS_PER_S,
  };
}

function listenAddress(text: string): ListenAddress {
  const [host = "", port = ""] = text.split(":");
  return { host, port: Number(port) };
}
