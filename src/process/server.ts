/**
 * HTTP server of a process on one address, with a stop that cuts no request.
 *
 * HTTP/1.1 has no message by which a server ends an idle connection safely: a
 * request may be under way when the server closes it. So a leaving server
 * first serves on for the keep-alive time and asks for the end of every
 * connection that it answers on. By then each connection was either used,
 * and ended by its client, or idle for so long that no client reuses it.
 *
 * @module
 */

import { serve } from "@hono/node-server";
import type { Hono } from "hono";
import { createServer } from "node:https";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Server as TlsServer } from "node:tls";
import { monotonicMs, sleep } from "../kernel/mod.ts";
import type { KeyStore, TlsMaterial } from "../tls/mod.ts";
import { Traffic } from "./traffic.ts";

/** Time a client has to send its headers, in milliseconds. */
const HEADERS_TIMEOUT_MS = 10_000;
/** Time for which clients are told that an idle connection is kept, in ms. */
export const KEEP_ALIVE_MS = 4_000;
/** Further time that it is kept, for requests that are under way, in ms. */
const KEEP_ALIVE_MARGIN_MS = 2_000;
/** Time that a leaving server goes on to take requests, in milliseconds. */
export const LINGER_MS = KEEP_ALIVE_MS + KEEP_ALIVE_MARGIN_MS;
const MS_PER_S = 1_000;
const KEEP_ALIVE_HEADER = `timeout=${KEEP_ALIVE_MS / MS_PER_S}`;
const QUIET_POLL_MS = 50;

/** A listening server. */
export interface Listening {
  /** Port in use. */
  readonly port: number;
  /** Bytes that passed its connections. */
  readonly traffic: Traffic;
  /** Requests that are being answered. */
  readonly inHand: number;
  /** Announces the stop: answers from now on end their connections. */
  leave(): void;
  /**
   * Stops listening and resolves once no request is in hand. After
   * {@linkcode leave} it first waits until idle connections have ended.
   */
  close(): Promise<void>;
}

/** Where and how a server listens. */
export interface ListenOptions {
  readonly address: string;
  /** TCP port; 0 picks a free one. */
  readonly port: number;
  /** Certificate and key; plain HTTP without them. */
  readonly keys?: KeyStore;
}

/** Starts a server for an application. */
export function listen(app: Hono, at: ListenOptions): Promise<Listening> {
  return new Promise((resolve, reject) => {
    const server = serve(
      {
        fetch: app.fetch,
        hostname: at.address,
        port: at.port,
        ...(at.keys ? tlsOptions(at.keys) : {}),
      },
      ({ port }) => resolve(new HttpListening(server, port)),
    ) as Server;
    at.keys?.onRotate((material) =>
      (server as Server & TlsServer).setSecureContext(contextOf(material))
    );
    server.once("error", reject);
    server.headersTimeout = HEADERS_TIMEOUT_MS;
    server.keepAliveTimeout = KEEP_ALIVE_MS + KEEP_ALIVE_MARGIN_MS;
  });
}

/** Clients are asked for a certificate; the application decides about it. */
function tlsOptions(keys: KeyStore) {
  return {
    createServer,
    serverOptions: {
      ...contextOf(keys.current),
      requestCert: true,
      rejectUnauthorized: false,
    },
  };
}

function contextOf({ cert, key, ca }: TlsMaterial) {
  return { cert, key, ca };
}

class HttpListening implements Listening {
  readonly port: number;
  readonly traffic = new Traffic();
  readonly #server: Server;
  #inHand = 0;
  #leftAt: number | undefined;

  constructor(server: Server, port: number) {
    this.port = port;
    this.#server = server;
    server.on("connection", (socket: Socket) => this.traffic.watch(socket));
    server.prependListener("request", (_req, res) => this.#begin(_req, res));
  }

  get inHand(): number {
    return this.#inHand;
  }

  leave(): void {
    this.#leftAt ??= monotonicMs();
  }

  async close(): Promise<void> {
    if (this.#leftAt !== undefined) {
      await sleep(this.#leftAt + LINGER_MS - monotonicMs());
    }
    const closed = new Promise<void>((resolve) =>
      this.#server.close(() => resolve())
    );
    await Promise.race([closed, this.#untilQuiet()]);
    this.#server.closeAllConnections();
    await closed;
  }

  #begin(_req: IncomingMessage, res: ServerResponse): void {
    this.#inHand += 1;
    res.once("close", () => this.#inHand -= 1);
    if (this.#leftAt !== undefined) {
      res.shouldKeepAlive = false;
      return;
    }
    if (!res.shouldKeepAlive) return;
    res.setHeader("connection", "keep-alive");
    res.setHeader("keep-alive", KEEP_ALIVE_HEADER);
  }

  /** Resolves when no request was in hand for the keep-alive time. */
  async #untilQuiet(): Promise<void> {
    const quietMs = this.#leftAt === undefined ? QUIET_POLL_MS : KEEP_ALIVE_MS;
    let quietSince = monotonicMs();
    while (monotonicMs() - quietSince < quietMs) {
      await sleep(QUIET_POLL_MS);
      if (this.#inHand > 0) quietSince = monotonicMs();
    }
  }
}
