/**
 * HTTP server of a process on one address.
 *
 * @module
 */

import { serve, type ServerType } from "@hono/node-server";
import type { Hono } from "hono";

/** Time a client has to send its headers, in milliseconds. */
const HEADERS_TIMEOUT_MS = 10_000;
/** Time an idle connection is kept, in milliseconds. */
const KEEP_ALIVE_MS = 15_000;

/** A listening server. */
export interface Listening {
  /** Port in use. */
  readonly port: number;
  /** Stops listening and resolves once no request is in hand. */
  close(): Promise<void>;
}

/** Starts a server for an application. */
export function listen(
  app: Hono,
  at: { address: string; port: number },
): Promise<Listening> {
  return new Promise((resolve, reject) => {
    const server = serve(
      { fetch: app.fetch, hostname: at.address, port: at.port },
      (info) => resolve({ port: info.port, close: () => closeServer(server) }),
    );
    server.once("error", reject);
    if ("headersTimeout" in server) server.headersTimeout = HEADERS_TIMEOUT_MS;
    if ("keepAliveTimeout" in server) server.keepAliveTimeout = KEEP_ALIVE_MS;
  });
}

function closeServer(server: ServerType): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    if ("closeIdleConnections" in server) server.closeIdleConnections();
  });
}
