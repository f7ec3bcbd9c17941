/**
 * HTTP application of the control address: tRPC for peers, health, metrics.
 *
 * @module
 */

import type { HttpBindings } from "@hono/node-server";
import { type Context, Hono, type Next } from "hono";
import type { TLSSocket } from "node:tls";
import type { Metrics } from "../telemetry/mod.ts";
import {
  type AgentRouter,
  type PeerRouter,
  serveRouter,
  TRPC_PATH,
} from "../wire/mod.ts";

const HTTP_FORBIDDEN = 403;
const HTTP_UNAVAILABLE = 503;

/** Options of {@linkcode createControlApp}. */
export interface ControlOptions {
  readonly router: PeerRouter | AgentRouter;
  readonly metrics: Metrics;
  /** True when the process accepts new work. */
  isReady(): boolean;
}

/** Creates the HTTP application of a control address. */
export function createControlApp(opts: ControlOptions): Hono {
  const app = new Hono<{ Bindings: HttpBindings }>();
  [`${TRPC_PATH}/*`, "/metrics"].forEach((path) =>
    app.use(path, requirePeerCertificate)
  );
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
  return app as unknown as Hono;
}

/** With TLS, rejects clients whose certificate the authority did not sign. */
async function requirePeerCertificate(
  c: Context<{ Bindings: HttpBindings }>,
  next: Next,
): Promise<Response | void> {
  const socket = c.env?.incoming?.socket as Partial<TLSSocket> | undefined;
  if (socket?.encrypted && !socket.authorized) {
    return c.text("A certificate of the fleet is needed\n", HTTP_FORBIDDEN);
  }
  await next();
}
