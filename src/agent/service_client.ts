/**
 * Client of a plain service, which sends one JSON response for each call.
 *
 * @module
 */

import { errAsync, okAsync, ResultAsync } from "neverthrow";
import type { StageCall } from "../model/mod.ts";
import {
  connectionFailure,
  isOfOtherCall,
  OTHER_CALL,
  protocolFailure,
  statusFailure,
} from "./target_failure.ts";
import type {
  RunOptions,
  TargetClient,
  TargetFailure,
  TargetResponse,
} from "./target_client.ts";
import { TargetHttp } from "./target_http.ts";

const HTTP_OK = 200;

/** Runs calls at a plain service by `POST /ops/KIND`. */
export class ServiceClient implements TargetClient {
  readonly #http: TargetHttp;

  constructor(url: string) {
    this.#http = new TargetHttp(url);
  }

  run(
    call: StageCall,
    opts: RunOptions,
  ): ResultAsync<TargetResponse, TargetFailure> {
    return ResultAsync.fromPromise(this.#send(call, opts), connectionFailure)
      .andThen(({ status, headers, json }) => {
        if (isOfOtherCall(headers, call)) {
          return errAsync(protocolFailure(OTHER_CALL));
        }
        if (status !== HTTP_OK) return errAsync(statusFailure(status, headers));
        return okAsync({ output: json, tokens: 0 });
      });
  }

  hasEnded(): Promise<boolean> {
    return this.#http.hasEnded();
  }

  close(): Promise<void> {
    return this.#http.close();
  }

  async #send(call: StageCall, opts: RunOptions) {
    const res = await this.#http.post(`/ops/${call.kind}`, call, {
      ...opts,
      body: { input: call.input },
    });
    const text = await res.body.text();
    const json: unknown = res.statusCode === HTTP_OK
      ? JSON.parse(text)
      : undefined;
    return { status: res.statusCode, headers: res.headers, json };
  }
}
