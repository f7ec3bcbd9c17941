/**
 * HTTP interface of an entry to its callers.
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

const LEAVING_RETRY_AFTER_MS = 1;

/** Dependencies of a {@linkcode Front}. */
export interface FrontDeps {
  readonly runner: Pick<Runner, "run"> & Partial<Pick<Runner, "confirm">>;
  readonly lists: Pick<ListsSync, "current" | "isConfirmed">;
  readonly metrics: Metrics;
  readonly tracing: Tracing;
  readonly log: Logger;
  readonly maxBodyBytes: number;
}

/** Serves the HTTP requests of an entry's callers. */
export class Front {
  readonly #deps: FrontDeps;
  readonly #intake: Intake;
  readonly #inFlight = new Set<Promise<unknown>>();
  #ready = true;
  #leaving = false;

  constructor(deps: FrontDeps) {
    this.#deps = deps;
    this.#intake = new Intake(deps.lists);
  }

  /** True while the entry accepts new requests. */
  get isReady(): boolean {
    return this.#ready && this.#deps.lists.isConfirmed;
  }

  /** Reports the entry as not ready, so that load balancers stop using it. */
  leave(): void {
    this.#ready = false;
  }

  /** Creates the application that handles the HTTP requests. */
  app(): Hono {
    const app = new Hono();
    const limit = bodyLimit({
      maxSize: this.#deps.maxBodyBytes,
      onError: async (c) =>
        problemResponse(
          await this.#confirm(
            c,
            notRun(RefusalReason.BodyTooLarge, "The body is too large"),
          ),
        ),
    });
    app.post("/v1/pipelines/:name", limit, (c) => this.#serve(c));
    app.get(
      "/readyz",
      (c) => this.isReady ? c.text("ready\n") : c.text("not ready\n", 503),
    );
    app.get("/healthz", (c) => c.text("ok\n"));
    app.notFound(() =>
      problemResponse(notRun(RefusalReason.UnknownPipeline, "No such resource"))
    );
    app.onError((failure) => problemResponse(this.#internal(failure)));
    return app;
  }

  /** Logs a failure inside the entry and returns the refusal to report. */
  #internal(failure: Error): Refusal {
    this.#deps.log.error("request_failed", {
      detail: failure.stack ?? failure.message,
    });
    return outcomeUnknown(
      RefusalReason.Internal,
      "The request failed inside the entry",
    );
  }

  /** Stops accepting requests and resolves once none is in flight. */
  async drain(): Promise<void> {
    this.leave();
    this.#leaving = true;
    while (this.#inFlight.size > 0) await Promise.allSettled(this.#inFlight);
  }

  async #serve(c: Context): Promise<Response> {
    const checked = await this.#admit(c);
    if (checked.isErr()) {
      return problemResponse(await this.#confirm(c, checked.error));
    }
    const req = checked.value;
    c.header("x-request-id", req.requestId);
    c.header("idempotency-key", req.key);
    return c.req.header("accept")?.includes("text/event-stream")
      ? this.#stream(c, req)
      : await this.#respond(c, req);
  }

  async #admit(c: Context): Promise<Result<PipelineRequest, Refusal>> {
    return this.#leaving
      ? err(
        notRun(
          RefusalReason.Leaving,
          "The entry leaves",
          LEAVING_RETRY_AFTER_MS,
        ),
      )
      : await this.#intake.check(c);
  }

  async #respond(c: Context, req: PipelineRequest): Promise<Response> {
    const outcome = await this.#run(req);
    return outcome.match(
      (results) => c.json(responseBody(req, results)),
      (refusal) => problemResponse(refusal, req.requestId),
    );
  }

  #stream(c: Context, req: PipelineRequest): Response {
    return streamSSE(c, async (stream) => {
      const stalled = new AbortController();
      const sink = new TextSink({
        write: (chunk) =>
          stream.writeSSE({ event: "text", data: JSON.stringify(chunk) }),
        onStalled: () => {
          this.#deps.metrics.count("callers_stalled_total");
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
            data: JSON.stringify(responseBody(req, results)),
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
    const { runner, metrics, tracing } = this.#deps;
    const startedAt = monotonicMs();
    const span = tracing.start("entry.request", {
      parent: req.traceparent,
      attributes: { request: req.requestId, pipeline: req.spec.name },
    });
    const work = runner.run({ ...req, traceparent: span.traceparent })
      .catch((failure: Error) => err(this.#internal(failure)));
    this.#inFlight.add(work);
    const outcome = await work.finally(() => this.#inFlight.delete(work));
    const result = outcome.isOk() ? "done" : outcome.error.reason;
    const labels = { pipeline: req.spec.name, result };
    metrics.count("requests_total", labels);
    metrics.durations("request", { pipeline: req.spec.name })
      .record(monotonicMs() - startedAt);
    span.end(outcome.isErr() ? outcome.error.reason : undefined);
    return outcome;
  }

  /** Verifies the "not run" of a request that did not pass the checks. */
  async #confirm(c: Context, refusal: Refusal): Promise<Refusal> {
    const { runner } = this.#deps;
    const identity = this.#intake.identityOf(c);
    if (!identity || !runner.confirm) return refusal;
    return await runner.confirm(identity, refusal);
  }
}

function responseBody(req: PipelineRequest, results: readonly StageResult[]) {
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

function problemResponse(refusal: Refusal, requestId?: string): Response {
  const problem = problemOf(refusal, requestId);
  return Response.json(problem, {
    status: problem.status,
    headers: problemHeaders(problem),
  });
}
