/**
 * HTTP front of an entry: what callers speak to.
 *
 * @module
 */

import { type Context, Hono } from "hono";
import { bodyLimit } from "hono/body-limit";
import { streamSSE } from "hono/streaming";
import { err, ok, type Result } from "neverthrow";
import { randomUUID } from "node:crypto";
import { monotonicMs } from "../kernel/mod.ts";
import {
  type Customer,
  notRun,
  outcomeUnknown,
  type PipelineSpec,
  type Plan,
  type Refusal,
  RefusalReason,
  sha256,
  type StageResult,
} from "../model/mod.ts";
import type { ListsSync } from "../process/mod.ts";
import type { Logger, Metrics, Tracing } from "../telemetry/mod.ts";
import { problemHeaders, problemOf } from "./problem.ts";
import type { PipelineRequest, Runner } from "./runner.ts";
import { TextSink } from "./text_sink.ts";

const MAX_DEADLINE_MS = 600_000;
const MAX_KEY_LENGTH = 200;
const RETRY_AFTER_MS = 1_000;

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
  readonly #inHand = new Set<Promise<unknown>>();
  #ready = true;
  #leaving = false;

  constructor(parts: FrontParts) {
    this.#parts = parts;
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
    const checked = await this.#check(c);
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

  async #check(c: Context): Promise<Result<PipelineRequest, Refusal>> {
    if (this.#leaving) {
      return err(notRun(RefusalReason.Leaving, "The entry leaves", 1));
    }
    const { lists } = this.#parts;
    if (!lists.isConfirmed) {
      return err(notRun(
        RefusalReason.NotConfirmed,
        "The entry's configuration is not confirmed",
        RETRY_AFTER_MS,
      ));
    }
    const caller = this.#authenticate(c);
    if (caller.isErr()) return err(caller.error);
    const spec = this.#pipeline(c, caller.value.plan);
    if (spec.isErr()) return err(spec.error);
    const deadlineMs = deadlineOf(c, spec.value);
    if (deadlineMs.isErr()) return err(deadlineMs.error);
    const key = keyOf(c);
    if (key.isErr()) return err(key.error);
    const input = await inputOf(c);
    if (input.isErr()) return err(input.error);
    return ok({
      requestId: randomUUID(),
      ...caller.value,
      spec: spec.value,
      key: key.value,
      keyGiven: isKeyGiven(c),
      input: input.value,
      deadlineAt: monotonicMs() + deadlineMs.value,
      listsVersion: lists.current.version,
      signal: c.req.raw.signal,
      traceparent: c.req.header("traceparent"),
    });
  }

  /** Makes sure that a "not run" of a request that is not let in is true. */
  async #confirm(c: Context, refusal: Refusal): Promise<Refusal> {
    const { runner, lists } = this.#parts;
    const caller = this.#authenticate(c);
    const key = keyOf(c);
    if (caller.isErr() || key.isErr() || !runner.confirm) return refusal;
    const spec = this.#pipeline(c, caller.value.plan);
    if (spec.isErr()) return refusal;
    return await runner.confirm({
      requestId: randomUUID(),
      ...caller.value,
      spec: spec.value,
      key: key.value,
      keyGiven: isKeyGiven(c),
      input: null,
      listsVersion: lists.current.version,
    }, refusal);
  }

  #authenticate(
    c: Context,
  ): Result<{ customer: Customer; plan: Plan }, Refusal> {
    const { customers, use } = this.#parts.lists.current;
    const header = c.req.header("authorization") ?? "";
    const hash = sha256(header.replace(/^Bearer /, ""));
    const customer = customers.customers.find((one) => one.keySha256 === hash);
    const plan = use.plans.find((one) => one.name === customer?.plan);
    return customer && plan ? ok({ customer, plan }) : err(notRun(
      RefusalReason.Unauthenticated,
      "The authorization header holds no known customer key",
    ));
  }

  #pipeline(c: Context, plan: Plan): Result<PipelineSpec, Refusal> {
    const name = c.req.param("name") ?? "";
    const { pipelines } = this.#parts.lists.current.use;
    const spec = pipelines.find((one) => one.name === name);
    if (!spec) {
      return err(notRun(
        RefusalReason.UnknownPipeline,
        `No pipeline is called ${name}`,
      ));
    }
    return plan.pipelines.includes(name) ? ok(spec) : err(notRun(
      RefusalReason.NotPermitted,
      `The plan ${plan.name} does not include ${name}`,
    ));
  }
}

function deadlineOf(c: Context, spec: PipelineSpec): Result<number, Refusal> {
  const header = c.req.header("deadline-ms");
  if (header === undefined) return ok(spec.deadlineMs);
  const ms = Number(header);
  return Number.isFinite(ms) && ms > 0 && ms <= MAX_DEADLINE_MS
    ? ok(ms)
    : err(notRun(
      RefusalReason.BadRequest,
      `Deadline-Ms must be above 0 and at most ${MAX_DEADLINE_MS}`,
    ));
}

function keyOf(c: Context): Result<string, Refusal> {
  const key = c.req.header("idempotency-key") ?? randomUUID();
  return key.length > 0 && key.length <= MAX_KEY_LENGTH ? ok(key) : err(notRun(
    RefusalReason.BadRequest,
    `Idempotency-Key must have 1 to ${MAX_KEY_LENGTH} characters`,
  ));
}

/** True when the caller sent a key of its own. */
function isKeyGiven(c: Context): boolean {
  return c.req.header("idempotency-key") !== undefined;
}

async function inputOf(c: Context): Promise<Result<unknown, Refusal>> {
  try {
    const body: unknown = await c.req.json();
    if (typeof body === "object" && body !== null && "input" in body) {
      return ok(body.input);
    }
  } catch {
    // Reported below together with bodies of another form.
  }
  return err(notRun(
    RefusalReason.BadRequest,
    "The body must be a JSON object with the member input",
  ));
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
