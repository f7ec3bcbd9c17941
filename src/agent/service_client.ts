/**
 * Client of a plain service: one JSON answer for each call.
 *
 * @module
 */

import { errAsync, okAsync, ResultAsync } from "neverthrow";
import { Agent, request } from "undici";
import type { StageCall } from "../model/mod.ts";
import {
  connectionFailure,
  protocolFailure,
  statusFailure,
} from "./failure.ts";
import type {
  RunOptions,
  TargetAnswer,
  TargetClient,
  TargetFailure,
} from "./target_client.ts";

const CONNECT_TIMEOUT_MS = 1_000;
const HTTP_OK = 200;

/** Speaks to a plain service by `POST /ops/KIND`. */
export class ServiceClient implements TargetClient {
  readonly #url: string;
  readonly #dispatcher = new Agent({
    connect: { timeout: CONNECT_TIMEOUT_MS },
    headersTimeout: 0,
    bodyTimeout: 0,
  });

  constructor(url: string) {
    this.#url = url;
  }

  run(
    call: StageCall,
    opts: RunOptions,
  ): ResultAsync<TargetAnswer, TargetFailure> {
    return ResultAsync.fromPromise(this.#send(call, opts), connectionFailure)
      .andThen(({ status, headers, json }) => {
        if (status !== HTTP_OK) return errAsync(statusFailure(status, headers));
        const echoed = headers["x-call-id"];
        if (echoed !== undefined && echoed !== call.callId) {
          return errAsync(
            protocolFailure("The answer belongs to another call"),
          );
        }
        return okAsync({ output: json, tokens: 0 });
      });
  }

  close(): Promise<void> {
    return this.#dispatcher.destroy();
  }

  async #send(call: StageCall, { signal, traceparent }: RunOptions) {
    const res = await request(`${this.#url}/ops/${call.kind}`, {
      method: "POST",
      headers: {
        "content-type": "application/json",
        "x-call-id": call.callId,
        ...(traceparent ? { traceparent } : {}),
        ...(call.idempotencyKey
          ? { "idempotency-key": call.idempotencyKey }
          : {}),
      },
      body: JSON.stringify({ input: call.input }),
      dispatcher: this.#dispatcher,
      signal,
    });
    const text = await res.body.text();
    const json: unknown = res.statusCode === HTTP_OK
      ? JSON.parse(text)
      : undefined;
    return { status: res.statusCode, headers: res.headers, json };
  }
}
