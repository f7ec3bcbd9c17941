/**
 * Client of a model engine's completion API with streamed tokens.
 *
 * @module
 */

import { errAsync, okAsync, ResultAsync } from "neverthrow";
import { z } from "zod";
import { Priority, promptOf, type StageCall } from "../model/mod.ts";
import {
  COLD_HEADER,
  connectionFailure,
  isOfOtherCall,
  OTHER_CALL,
  protocolFailure,
  statusFailure,
} from "./target_failure.ts";
import { readSse } from "./sse.ts";
import type {
  RunOptions,
  TargetClient,
  TargetFailure,
  TargetResponse,
} from "./target_client.ts";
import { TargetHttp } from "./target_http.ts";

const HTTP_OK = 200;
const DEFAULT_MAX_TOKENS = 256;
const END_OF_STREAM = "[DONE]";
/** Engine priorities; the lower number is served first. */
const ENGINE_PRIORITY = {
  [Priority.Interactive]: 0,
  [Priority.Batch]: 1,
} as const;

/** One streamed chunk of a completion; an engine may send an error instead. */
const chunkSchema = z.object({
  choices: z.array(z.object({ text: z.string() })),
  /**
   * Tokens of the whole completion, in the last chunk. Some engines do not
   * report it.
   */
  usage: z.object({ completion_tokens: z.number() }).nullish(),
  error: z.null().optional(),
});

/** Runs calls at a model engine by `POST /v1/completions`. */
export class EngineClient implements TargetClient {
  readonly #http: TargetHttp;

  constructor(url: string) {
    this.#http = new TargetHttp(url);
  }

  run(
    call: StageCall,
    opts: RunOptions,
  ): ResultAsync<TargetResponse, TargetFailure> {
    return ResultAsync.fromPromise(this.#send(call, opts), connectionFailure)
      .andThen((outcome) =>
        "failure" in outcome ? errAsync(outcome.failure) : okAsync(outcome)
      );
  }

  hasEnded(): Promise<boolean> {
    return this.#http.hasEnded();
  }

  close(): Promise<void> {
    return this.#http.close();
  }

  async #send(
    call: StageCall,
    opts: RunOptions,
  ): Promise<TargetResponse | { failure: TargetFailure }> {
    const res = await this.#http.post("/v1/completions", call, {
      ...opts,
      body: completionBody(call),
    });
    if (isOfOtherCall(res.headers, call)) {
      await res.body.dump();
      return { failure: protocolFailure(OTHER_CALL) };
    }
    if (res.statusCode !== HTTP_OK) {
      await res.body.dump();
      return { failure: statusFailure(res.statusCode, res.headers) };
    }
    const cold = res.headers[COLD_HEADER] !== undefined;
    if (cold) opts.onProgress?.({ cold });
    return await collectStream(res.body, opts);
  }
}

function completionBody(call: StageCall) {
  return {
    model: call.model ?? "default",
    prompt: promptOf(call),
    max_tokens: call.maxTokens ?? DEFAULT_MAX_TOKENS,
    stream: true,
    priority: ENGINE_PRIORITY[call.priority],
  };
}

async function collectStream(
  body: AsyncIterable<Uint8Array>,
  opts: RunOptions,
): Promise<TargetResponse | { failure: TargetFailure }> {
  const texts: string[] = [];
  let ended = false;
  let completionTokens: number | undefined;
  for await (const data of readSse(body)) {
    if (data === END_OF_STREAM) {
      ended = true;
      break;
    }
    const chunk = decodeChunk(data);
    if (!chunk) return { failure: protocolFailure("The stream has an error") };
    const { choices, usage } = chunk;
    completionTokens = usage?.completion_tokens ?? completionTokens;
    const text = choices[0]?.text ?? "";
    if (text === "") continue;
    if (texts.length === 0) opts.onProgress?.({ cold: false });
    texts.push(text);
    opts.onText(text);
  }
  if (!ended) {
    return { failure: protocolFailure("The stream has no end mark") };
  }
  const output = { text: texts.join("") };
  return { output, tokens: completionTokens ?? texts.length };
}

/** Decodes the data of an event; undefined if it is no chunk. */
function decodeChunk(data: string): z.infer<typeof chunkSchema> | undefined {
  try {
    return chunkSchema.safeParse(JSON.parse(data)).data;
  } catch {
    return undefined;
  }
}
