/**
 * Settings of a gateway, checked.
 *
 * @module
 */

import { z } from "zod";
import { LogLevel } from "../telemetry/mod.ts";
import type { ListenAddress } from "./http_front.ts";
import type { GatewayConfig } from "./start.ts";

const MS_PER_S = 1_000;
/** `IP:PORT`. */
const addressSchema = z.string().regex(/^[^:]+:\d+$/, "Not IP:PORT");

/** Schema of the settings of a gateway. */
export const gatewaySettingsSchema = z.object({
  name: z.string().min(1).describe("Name of the process, unique in the fleet"),
  failureDomain: z.string().min(1).describe("Failure domain of the host"),
  front: addressSchema.describe("Address for callers"),
  ready: addressSchema.describe("Address of the balancer's check"),
  control: addressSchema.describe("Address for other entries"),
  metrics: addressSchema.optional().describe("Address of the metrics"),
  seeds: z.array(addressSchema).default([])
    .describe("Control addresses at which other entries may be found"),
  store: addressSchema.describe("Address of the platform's store"),
  graceS: z.number().positive()
    .describe("Seconds between a planned stop's announcement and the kill"),
  repeats: z.object({
    ratio: z.number().min(0)
      .describe("Repeats that a pool may get for each request"),
    windowS: z.number().positive()
      .describe("Sliding window of the ratio, in seconds"),
    allowance: z.number().min(0)
      .describe("Repeats that a pool may get besides, in a window"),
  }),
  logLevel: z.enum(LogLevel).default(LogLevel.Info)
    .describe("Least severe log level that is written"),
});

/** Settings of a gateway. */
export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>;

/** Configuration that follows from checked settings. */
export function gatewayConfig(settings: GatewaySettings): GatewayConfig {
  const { repeats } = settings;
  return {
    self: {
      name: settings.name,
      failureDomain: settings.failureDomain,
      url: `http://${settings.control}`,
    },
    seeds: settings.seeds.map((address) => `http://${address}`),
    front: listenAddress(settings.front),
    ready: listenAddress(settings.ready),
    control: listenAddress(settings.control),
    metrics: settings.metrics ? listenAddress(settings.metrics) : undefined,
    repeats: {
      ratio: repeats.ratio,
      windowMs: repeats.windowS * MS_PER_S,
      allowance: repeats.allowance,
    },
    graceMs: settings.graceS * MS_PER_S,
  };
}

function listenAddress(text: string): ListenAddress {
  const [host = "", port = ""] = text.split(":");
  return { host, port: Number(port) };
}
