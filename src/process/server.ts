/**
 * HTTP server of a process on one address, with a graceful stop that interrupts
 * no request.
 *
 * HTTP/1.1 has no message by which a server closes an idle connection safely: a
 * request may already be on its way when the server closes it. A leaving server
 * therefore keeps serving for the keep-alive time and sends `Connection: close`
 * with every response. By the end of that time, each connection has either been
 * used and then closed, or been idle for so long that no client reuses it.
 *
 * @module
 */

import { serve } from "@hono/node-server";
import type { Hono } from "hono";
import { createServer, Server as TlsHttpServer } from "node:https";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { Server as NetServer, type Socket } from "node:net";
import type { Server as TlsServer } from "node:tls";
import {
  ClientBudget,
  ClientErrors,
  ConnectionGuard,
  HEAD_CHECK_INTERVAL_MS,
  IdleCloser,
} from "../http/mod.ts";
import { monotonicMs, sleep } from "../kernel/mod.ts";
import { type Logger, Metrics, SILENT_LOGGER } from "../telemetry/mod.ts";
import type { KeyStore, TlsMaterial } from "../tls/mod.ts";
import { Traffic } from "./traffic.ts";

/** Time within which a client has to send its headers, in milliseconds. */
const HEADERS_TIMEOUT_MS = 10_000;
/** Keep-alive time of idle connections announced to clients, in ms. */
export const KEEP_ALIVE_MS = 4_000;
/**
 * Time for which a connection is kept beyond the announced time, for requests
 * that are already on their way, in milliseconds.
 */
const KEEP_ALIVE_MARGIN_MS = 2_000;
/** Time for which a leaving server still accepts requests, in ms. */
export const LINGER_MS = KEEP_ALIVE_MS + KEEP_ALIVE_MARGIN_MS;
const MS_PER_S = 1_000;
const KEEP_ALIVE_HEADER = `timeout=${KEEP_ALIVE_MS / MS_PER_S}`;
const IDLE_POLL_MS = 50;

/**
 * Largest body that a server reads, in bytes: more than any interface takes,
 * and as much as the largest response of a peer.
 */
const MAX_BODY_BYTES = 16 * 1024 * 1024;

/** What clients make a process hold; its servers share the metrics. */
const BUDGETS = new WeakMap<Metrics, ClientBudget>();

/** A listening server. */
export interface ListeningServer {
  /** Port in use. */
  readonly port: number;
  /** Bytes read and written on its connections. */
  readonly traffic: Traffic;
  /** Number of requests in flight. */
  readonly inHand: number;
  /** Announces the stop: further responses close their connections. */
  leave(): void;
  /**
   * Stops listening and resolves once no request is in flight. After
   * {@linkcode leave} it first keeps serving for {@linkcode LINGER_MS}.
   */
  close(): Promise<void>;
}

/** Options of {@linkcode listen}. */
export interface ListenOptions {
  readonly address: string;
  /** TCP port; 0 picks a free one. */
  readonly port: number;
  /** Certificate and key; plain HTTP without them. */
  readonly keys?: KeyStore;
  readonly log?: Logger;
  readonly metrics?: Metrics;
}

/** Starts a server for an application. */
export function listen(
  app: Hono,
  opts: ListenOptions,
): Promise<ListeningServer> {
  return new Promise((resolve, reject) => {
    const server = serve(
      {
        fetch: app.fetch,
        hostname: opts.address,
        port: opts.port,
        ...serverOptions(opts.keys),
      },
      ({ port }) => resolve(new HttpListening(server, port)),
    ) as Server;
    const { log = SILENT_LOGGER, metrics = new Metrics() } = opts;
    const budget = BUDGETS.get(metrics) ?? new ClientBudget({ log, metrics });
    BUDGETS.set(metrics, budget);
    new ConnectionGuard(server, {
      budget,
      maxConnections: budget.limits.connections,
      maxBodyBytes: MAX_BODY_BYTES,
      event: connectionEvent(server),
    });
    new ClientErrors(server, {
      log,
      metrics,
      // The application may be at work on the part of the body that has come.
      refuse: ({ req }) => req.socket.destroy(),
    });
    opts.keys?.onRotate((material) =>
      (server as Server & TlsServer).setSecureContext(secureContextOf(material))
    );
    server.once("error", reject);
    server.headersTimeout = HEADERS_TIMEOUT_MS;
    server.keepAliveTimeout = KEEP_ALIVE_MS + KEEP_ALIVE_MARGIN_MS;
  });
}

/**
 * Returns options of the server. With TLS it requests a client certificate;
 * whether a request needs a valid one is decided by the application.
 */
function serverOptions(keys: KeyStore | undefined) {
  const options = { connectionsCheckingInterval: HEAD_CHECK_INTERVAL_MS };
  if (!keys) return { serverOptions: options };
  return {
    createServer,
    serverOptions: {
      ...options,
      ...secureContextOf(keys.current),
      requestCert: true,
      rejectUnauthorized: false,
    },
  };
}

function secureContextOf({ cert, key, ca }: TlsMaterial) {
  return { cert, key, ca };
}

/** With TLS, requests arrive on the socket inside the connection. */
function connectionEvent(server: Server): "connection" | "secureConnection" {
  return server instanceof TlsHttpServer ? "secureConnection" : "connection";
}

class HttpListening implements ListeningServer {
  readonly port: number;
  readonly traffic = new Traffic();
  readonly #server: Server;
  readonly #idleCloser = new IdleCloser();
  #inFlight = 0;
  #leavingSince: number | undefined;

  constructor(server: Server, port: number) {
    this.port = port;
    this.#server = server;
    server.on("connection", (socket: Socket) => this.traffic.add(socket));
    server.on(
      connectionEvent(server),
      (socket: Socket) => this.#idleCloser.accept(socket),
    );
    server.prependListener(
      "request",
      (req, res) => this.#onRequest(req, res),
    );
  }

  get inHand(): number {
    return this.#inFlight;
  }

  leave(): void {
    this.#leavingSince ??= monotonicMs();
  }

  async close(): Promise<void> {
    if (this.#leavingSince !== undefined) {
      await sleep(this.#leavingSince + LINGER_MS - monotonicMs());
    }
    // The HTTP server's own `close` takes a connection for idle, and destroys
    // it, as soon as its response has been written, though not yet sent.
    const closed = new Promise<void>((resolve) =>
      NetServer.prototype.close.call(this.#server, () => resolve())
    );
    this.#idleCloser.closeFromNowOn();
    await Promise.race([closed, this.#untilIdle()]);
    this.#server.closeAllConnections();
    // The HTTP server knows no connection whose TLS handshake is not complete.
    this.traffic.closeAll();
    this.#server.close();
    await closed;
  }

  #onRequest(req: IncomingMessage, res: ServerResponse): void {
    this.#inFlight += 1;
    this.#idleCloser.follow(req, res);
    res.once("close", () => this.#inFlight -= 1);
    if (this.#leavingSince !== undefined) {
      res.shouldKeepAlive = false;
      return;
    }
    if (!res.shouldKeepAlive) return;
    res.setHeader("connection", "keep-alive");
    res.setHeader("keep-alive", KEEP_ALIVE_HEADER);
  }

  /**
   * Resolves when no request has been in flight for one poll, or for the
   * keep-alive time when the server is leaving.
   */
  async #untilIdle(): Promise<void> {
    const idleMs = this.#leavingSince === undefined
      ? IDLE_POLL_MS
      : KEEP_ALIVE_MS;
    let idleSince = monotonicMs();
    while (monotonicMs() - idleSince < idleMs) {
      await sleep(IDLE_POLL_MS);
      if (this.#inFlight > 0) idleSince = monotonicMs();
    }
  }
}
