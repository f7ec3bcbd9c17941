/**
 * Control address of a process: tRPC for its peers, health and metrics.
 *
 * @module
 */

import { Hono } from "hono";
import type { Metrics } from "../telemetry/mod.ts";
import {
  type AgentRouter,
  type PeerRouter,
  serveRouter,
  TRPC_PATH,
} from "../wire/mod.ts";

const HTTP_UNAVAILABLE = 503;

/** What the control address serves. */
export interface ControlOptions {
  readonly router: PeerRouter | AgentRouter;
  readonly metrics: Metrics;
  /** True when the process takes new work. */
  isReady(): boolean;
}

/** Makes the application of a control address. */
export function createControlApp(opts: ControlOptions): Hono {
  const app = new Hono();
  app.all(`${TRPC_PATH}/*`, (c) => serveRouter(opts.router, c.req.raw));
  app.get("/metrics", (c) => c.text(opts.metrics.text()));
  app.get("/healthz", (c) => c.text("ok\n"));
  app.get(
    "/readyz",
    (c) =>
      opts.isReady()
        ? c.text("ready\n")
        : c.text("not ready\n", HTTP_UNAVAILABLE),
  );
  return app;
}
