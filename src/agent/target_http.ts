/**
 * HTTP exchanges with the target beside an agent.
 *
 * @module
 */

import { connect } from "node:net";
import { type Dispatcher, request } from "undici";
import { boundedAgent } from "../http/mod.ts";
import type { StageCall } from "../model/mod.ts";
import type { RunOptions } from "./target_client.ts";
import { CALL_ID_HEADER } from "./target_failure.ts";

const CONNECT_TIMEOUT_MS = 1_000;
/** Largest response body, in bytes. */
const MAX_RESPONSE_BYTES = 32 * 1024 * 1024;

/** Largest report or response to an order, in bytes. */
const MAX_REPORT_BYTES = 4 * 1024 * 1024;

/** Dispatcher of this process for reports and orders. */
export const REPORT_DISPATCHER = boundedAgent({
  maxResponseSize: MAX_REPORT_BYTES,
});

/**
 * Connections to one target. Callers set deadlines through their signals, so
 * that the time-outs of headers and body are off.
 *
 * Each connection serves one call: on a kept one, a late copy of an earlier
 * response would arrive where that of the next call is expected, and not all
 * targets echo the identifier of the call.
 */
export class TargetHttp {
  readonly #url: string;
  readonly #dispatcher = boundedAgent({
    connect: { timeout: CONNECT_TIMEOUT_MS },
    headersTimeout: 0,
    bodyTimeout: 0,
    maxResponseSize: MAX_RESPONSE_BYTES,
  });

  /** `url` is the base URL of the target. */
  constructor(url: string) {
    this.#url = url;
  }

  /** Sends a JSON body on behalf of a call. */
  post(
    path: string,
    call: StageCall,
    opts: Pick<RunOptions, "signal" | "traceparent"> & { body: unknown },
  ): Promise<Dispatcher.ResponseData> {
    return request(this.#url + path, {
      method: "POST",
      headers: headersOf(call, opts.traceparent),
      body: JSON.stringify(opts.body),
      dispatcher: this.#dispatcher,
      signal: opts.signal,
      reset: true,
    });
  }

  /** True when the target's host refuses connections to its address. */
  hasEnded(): Promise<boolean> {
    const { hostname, port } = new URL(this.#url);
    const socket = connect({ host: hostname, port: Number(port) });
    return new Promise((resolve) => {
      const settle = (hasEnded: boolean) => {
        socket.destroy();
        resolve(hasEnded);
      };
      socket.setTimeout(CONNECT_TIMEOUT_MS, () => settle(false));
      socket.once("connect", () => settle(false));
      socket.once("error", ({ code }: NodeJS.ErrnoException) => {
        settle(code === "ECONNREFUSED");
      });
    });
  }

  /** Closes all connections, which aborts the requests on them. */
  close(): Promise<void> {
    return this.#dispatcher.destroy();
  }
}

function headersOf(
  call: StageCall,
  traceparent: string | undefined,
): Record<string, string> {
  const { callId, idempotencyKey } = call;
  return {
    "content-type": "application/json",
    [CALL_ID_HEADER]: callId,
    ...(traceparent ? { traceparent } : {}),
    ...(idempotencyKey ? { "idempotency-key": idempotencyKey } : {}),
  };
}
