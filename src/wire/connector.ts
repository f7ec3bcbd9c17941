/**
 * Connections to other processes of the system.
 *
 * @module
 */

import { Agent, buildConnector } from "undici";
import type { KeyStore } from "../tls/mod.ts";

const CONNECT_TIMEOUT_MS = 1_000;
const KEEP_ALIVE_MS = 10_000;
/** Connections to one process; streams share none with each other. */
const MAX_CONNECTIONS = 256;

/**
 * Dispatcher for one process. With keys, each new connection presents the
 * certificate in use at that moment, so that a rotation needs no restart.
 */
export function createDispatcher(keys?: KeyStore): Agent {
  return new Agent({
    connect: keys ? rotatingConnector(keys) : { timeout: CONNECT_TIMEOUT_MS },
    connections: MAX_CONNECTIONS,
    keepAliveTimeout: KEEP_ALIVE_MS,
    headersTimeout: 0,
    bodyTimeout: 0,
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
