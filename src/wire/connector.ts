/**
 * Connections to other processes of the system.
 *
 * @module
 */

import { type Agent, buildConnector } from "undici";
import { boundedAgent } from "../http/mod.ts";
import type { KeyStore } from "../tls/mod.ts";

const CONNECT_TIMEOUT_MS = 1_000;
const KEEP_ALIVE_MS = 10_000;
/** Largest body of a response, also of a streamed call, in bytes. */
const MAX_RESPONSE_BYTES = 32 * 1024 * 1024;
/** Maximum number of connections to one process; each stream needs its own. */
const MAX_CONNECTIONS = 256;

/** Connections to other processes, which can be replaced as a whole. */
export class Connections {
  readonly #keys: KeyStore | undefined;
  #dispatcher: Agent;

  constructor(keys?: KeyStore) {
    this.#keys = keys;
    this.#dispatcher = createDispatcher(keys);
  }

  /** Dispatcher for the next request. */
  get dispatcher(): Agent {
    return this.#dispatcher;
  }

  /**
   * Uses new connections for further requests. Requests in flight continue;
   * idle connections, which may no longer respond, are closed.
   */
  renew(): void {
    const old = this.#dispatcher;
    this.#dispatcher = createDispatcher(this.#keys);
    void old.close();
  }

  /** Destroys all connections. */
  close(): Promise<void> {
    return this.#dispatcher.destroy();
  }
}

/**
 * Creates a dispatcher. With keys, each new connection presents the certificate
 * that is current at that moment, so that a rotation needs no restart.
 */
export function createDispatcher(keys?: KeyStore): Agent {
  return boundedAgent({
    connect: keys ? rotatingConnector(keys) : { timeout: CONNECT_TIMEOUT_MS },
    connections: MAX_CONNECTIONS,
    keepAliveTimeout: KEEP_ALIVE_MS,
    headersTimeout: 0,
    bodyTimeout: 0,
    maxResponseSize: MAX_RESPONSE_BYTES,
  });
}

function rotatingConnector(keys: KeyStore): buildConnector.connector {
  let fingerprint = "";
  let connect = buildConnector({});
  return (opts, done) => {
    const { cert, key, ca, fingerprint: current } = keys.current;
    if (current !== fingerprint) {
      connect = buildConnector({ cert, key, ca, timeout: CONNECT_TIMEOUT_MS });
      fingerprint = current;
    }
    connect(opts, done);
  };
}
