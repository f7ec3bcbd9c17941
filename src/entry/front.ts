/**
 * HTTP front of an entry: what callers speak to.
 *
 * @module
 */

import { type Context, Hono } from "hono";
import { bodyLimit } from "hono/body-limit";
import { streamSSE } from "hono/streaming";
import { err, type Result } from "neverthrow";
import { monotonicMs } from "../kernel/mod.ts";
import {
  notRun,
  outcomeUnknown,
  type Refusal,
  RefusalReason,
  type StageResult,
} from "../model/mod.ts";
import type { ListsSync } from "../process/mod.ts";
import type { Logger, Metrics, Tracing } from "../telemetry/mod.ts";
import { Intake } from "./intake.ts";
import { problemHeaders, problemOf } from "./problem.ts";
import type { PipelineRequest, Runner } from "./runner.ts";
import { TextSink } from "./text_sink.ts";

const LEAVING_RETRY_MS = 1;

/** What the front is made of. */
export interface FrontParts {
  readonly runner: Pick<Runner, "run"> & Partial<Pick<Runner, "confirm">>;
  readonly lists: Pick<ListsSync, "current" | "isConfirmed">;
  readonly metrics: Metrics;
  readonly tracing: Tracing;
  readonly log: Logger;
  readonly maxBodyBytes: number;
}

/** Serves the callers of an entry. */
export class Front {
  readonly #parts: FrontParts;
  readonly #intake: Intake;
  readonly #inHand = new Set<Promise<unknown>>();
  #ready = true;
  #leaving = false;

  constructor(parts: FrontParts) {
    this.#parts = parts;
    this.#intake = new Intake(parts.lists);
  }

  /** True while the entry takes new requests. */
  get isReady(): boolean {
    return this.#ready && this.#parts.lists.isConfirmed;
  }

  /** Reports itself as not ready, so that balancers turn away. */
  leave(): void {
    this.#ready = false;
  }

  /** The application to listen with. */
  app(): Hono {
    const app = new Hono();
    app.use(bodyLimit({
      maxSize: this.#parts.maxBodyBytes,
      onError: () =>
        refuse(notRun(RefusalReason.BodyTooLarge, "The body is too large")),
    }));
    app.post("/v1/pipelines/:name", (c) => this.#serve(c));
    app.get(
      "/readyz",
      (c) => this.isReady ? c.text("ready\n") : c.text("not ready\n", 503),
    );
    app.get("/healthz", (c) => c.text("ok\n"));
    app.notFound(() =>
      refuse(notRun(RefusalReason.UnknownPipeline, "No such resource"))
    );
    app.onError((failure) => refuse(this.#internal(failure)));
    return app;
  }

  /** Refusal of a request that failed by a fault of the entry itself. */
  #internal(failure: Error): Refusal {
    this.#parts.log.error("request_failed", {
      detail: failure.stack ?? failure.message,
    });
    return outcomeUnknown(
      RefusalReason.Internal,
      "The request failed inside the entry",
    );
  }

  /** Stops taking requests and resolves once none is in hand. */
  async drain(): Promise<void> {
    this.leave();
    this.#leaving = true;
    while (this.#inHand.size > 0) await Promise.allSettled(this.#inHand);
  }

  async #serve(c: Context): Promise<Response> {
    const checked = await this.#admit(c);
    if (checked.isErr()) {
      return refuse(await this.#confirm(c, checked.error));
    }
    const req = checked.value;
    c.header("x-request-id", req.requestId);
    c.header("idempotency-key", req.key);
    return c.req.header("accept")?.includes("text/event-stream")
      ? this.#stream(c, req)
      : await this.#answer(c, req);
  }

  async #admit(c: Context): Promise<Result<PipelineRequest, Refusal>> {
    return this.#leaving
      ? err(notRun(RefusalReason.Leaving, "The entry leaves", LEAVING_RETRY_MS))
      : await this.#intake.check(c);
  }

  async #answer(c: Context, req: PipelineRequest): Promise<Response> {
    const outcome = await this.#run(req);
    return outcome.match(
      (results) => c.json(answerOf(req, results)),
      (refusal) => refuse(refusal, req.requestId),
    );
  }

  #stream(c: Context, req: PipelineRequest): Response {
    return streamSSE(c, async (stream) => {
      const stalled = new AbortController();
      const sink = new TextSink({
        write: (piece) =>
          stream.writeSSE({ event: "text", data: JSON.stringify(piece) }),
        onStalled: () => {
          this.#parts.metrics.count("callers_stalled_total");
          stalled.abort();
          stream.abort();
        },
      });
      const outcome = await this.#run({
        ...req,
        signal: AbortSignal.any([req.signal, stalled.signal]),
        onText: (stage, text) => sink.push({ stage, text }),
      });
      await sink.flushed();
      await outcome.match(
        (results) =>
          stream.writeSSE({
            event: "result",
            data: JSON.stringify(answerOf(req, results)),
          }),
        (refusal) =>
          stream.writeSSE({
            event: "problem",
            data: JSON.stringify(problemOf(refusal, req.requestId)),
          }),
      );
    });
  }

  async #run(
    req: PipelineRequest,
  ): Promise<Result<readonly StageResult[], Refusal>> {
    const { runner, metrics, tracing } = this.#parts;
    const startedAt = monotonicMs();
    const span = tracing.start("entry.request", {
      parent: req.traceparent,
      attributes: { request: req.requestId, pipeline: req.spec.name },
    });
    const work = runner.run({ ...req, traceparent: span.traceparent })
      .catch((failure: Error) => err(this.#internal(failure)));
    this.#inHand.add(work);
    const outcome = await work.finally(() => this.#inHand.delete(work));
    const result = outcome.isOk() ? "done" : outcome.error.reason;
    const labels = { pipeline: req.spec.name, result };
    metrics.count("requests_total", labels);
    metrics.durations("request", { pipeline: req.spec.name })
      .record(monotonicMs() - startedAt);
    span.end(outcome.isErr() ? outcome.error.reason : undefined);
    return outcome;
  }

  /** Makes sure that a "not run" of a request that is not let in is true. */
  async #confirm(c: Context, refusal: Refusal): Promise<Refusal> {
    const { runner } = this.#parts;
    const started = this.#intake.confirmable(c);
    if (!started || !runner.confirm) return refusal;
    return await runner.confirm(started, refusal);
  }
}

function answerOf(req: PipelineRequest, results: readonly StageResult[]) {
  const last = results.at(-1);
  return {
    requestId: req.requestId,
    pipeline: req.spec.name,
    output: last?.output ?? null,
    digest: last?.digest ?? "",
    replayed: last?.replayed ?? false,
    stages: results.map((result) => ({
      stage: result.stage,
      target: result.target,
      tokens: result.tokens,
      serviceMs: result.serviceMs,
      queuedMs: result.queuedMs,
    })),
  };
}

function refuse(refusal: Refusal, requestId?: string): Response {
  const problem = problemOf(refusal, requestId);
  return Response.json(problem, {
    status: problem.status,
    headers: problemHeaders(problem),
  });
}
