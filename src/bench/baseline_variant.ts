/**
 * Baseline: entries that call the targets in round-robin order without a gate
 * and retry any failed call on the next target.
 *
 * @module
 */

import { Hono } from "hono";
import { randomUUID } from "node:crypto";
import {
  EngineClient,
  ServiceClient,
  type TargetClient,
  type TargetResponse,
} from "../agent/mod.ts";
import { every, monotonicMs, timeoutSignal } from "../kernel/mod.ts";
import {
  callId,
  type HostId,
  type PipelineSpec,
  Proof,
  type StageCall,
  type StageSpec,
  TargetKind,
} from "../model/mod.ts";
import { HostState } from "../store/mod.ts";
import { listen } from "../process/mod.ts";
import type { ServedVariant } from "./harness.ts";
import type { Testbed, TestbedTarget } from "./testbed.ts";

const ADDRESS = "127.0.0.1";
const MAX_ATTEMPTS = 3;
const HOST_LIST_POLL_MS = 1_000;
const HTTP_UNAVAILABLE = 503;

/** Result of one stage as callers receive it. */
interface BaselineStageResult {
  readonly stage: string;
  readonly output: unknown;
  readonly tokens: number;
  readonly serviceMs: number;
  readonly queuedMs: number;
}

/** Starts the number of entries in the plan, each as a baseline entry. */
export async function startBaselineVariant(
  testbed: Testbed,
): Promise<ServedVariant> {
  const { domains, entriesPerDomain } = testbed.plan;
  const abort = new AbortController();
  const pool = new BaselinePool(testbed, abort.signal);
  const servers = await Promise.all(
    Array.from(
      { length: domains.length * entriesPerDomain },
      () => listen(createApp(testbed, pool), { address: ADDRESS, port: 0 }),
    ),
  );
  return {
    entryUrls: servers.map(({ port }) => `http://${ADDRESS}:${port}`),
    stop: () => {
      abort.abort();
      servers.forEach((server) => void server.close());
      return Promise.resolve();
    },
  };
}

/**
 * Selects targets in round-robin order; skips those on hosts that the host list
 * reports as leaving.
 */
class BaselinePool {
  readonly #targets: readonly {
    readonly standIn: TestbedTarget;
    readonly client: TargetClient;
  }[];
  readonly #nextIndexes = new Map<string, number>();
  #leaving: ReadonlySet<HostId> = new Set();

  constructor(testbed: Testbed, signal: AbortSignal) {
    this.#targets = testbed.targets.map((standIn) => ({
      standIn,
      client: clientOf(standIn),
    }));
    void every(HOST_LIST_POLL_MS, () => this.#refresh(testbed), signal);
  }

  next(pool: string) {
    const available = this.#targets.filter(({ standIn }) =>
      standIn.target.pool === pool && !this.#leaving.has(standIn.target.host)
    );
    const index = this.#nextIndexes.get(pool) ?? 0;
    this.#nextIndexes.set(pool, index + 1);
    return available[index % available.length];
  }

  async #refresh(testbed: Testbed): Promise<void> {
    const hosts = await testbed.hosts.list();
    hosts.map((hostEntries) => {
      this.#leaving = new Set(
        hostEntries.filter(({ state }) => state === HostState.Leaving)
          .map(({ host }) => host),
      );
    });
  }
}

function createApp(testbed: Testbed, pool: BaselinePool): Hono {
  const app = new Hono();
  app.post("/v1/pipelines/:name", async (c) => {
    const spec = testbed.plan.use.pipelines
      .find(({ name }) => name === c.req.param("name")) as PipelineSpec;
    const { input } = await c.req.json<{ input: unknown }>();
    const deadlineMs = Number(c.req.header("deadline-ms") ?? spec.deadlineMs);
    const stages = await runStages(pool, {
      spec,
      input,
      key: c.req.header("idempotency-key") ?? randomUUID(),
      deadlineAt: monotonicMs() + deadlineMs,
      signal: c.req.raw.signal,
    });
    if (!stages) {
      return c.json({
        type: "baseline-failed",
        outcome: Proof.OutcomeUnknown,
      }, HTTP_UNAVAILABLE);
    }
    return c.json({ output: stages.at(-1)?.output, stages });
  });
  return app;
}

interface BaselineRequest {
  readonly spec: PipelineSpec;
  readonly input: unknown;
  readonly key: string;
  readonly deadlineAt: number;
  readonly signal: AbortSignal;
}

async function runStages(
  pool: BaselinePool,
  req: BaselineRequest,
): Promise<readonly BaselineStageResult[] | undefined> {
  const requestId = randomUUID();
  const results: BaselineStageResult[] = [];
  for (const stage of req.spec.stages) {
    const input = {
      request: req.input,
      previous: results.at(-1)?.output ?? null,
    };
    const call = stageCall(req, stage, { requestId, input });
    const startedAt = monotonicMs();
    const response = await runStage(pool, call, { stage, req });
    if (!response) return undefined;
    results.push({
      stage: stage.name,
      ...response,
      serviceMs: monotonicMs() - startedAt,
      queuedMs: 0,
    });
  }
  return results;
}

async function runStage(
  pool: BaselinePool,
  call: StageCall,
  { stage, req }: { stage: StageSpec; req: BaselineRequest },
): Promise<TargetResponse | undefined> {
  for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt += 1) {
    const remainingMs = req.deadlineAt - monotonicMs();
    const chosen = pool.next(stage.pool);
    if (remainingMs <= 0 || !chosen) return undefined;
    const response = await chosen.client.run({
      ...call,
      callId: callId(call.requestId, stage.name, attempt),
      target: chosen.standIn.target.id,
      remainingMs,
    }, { signal: timeoutSignal(remainingMs, req.signal), onText: () => {} });
    if (response.isOk()) return response.value;
  }
}

function stageCall(
  req: BaselineRequest,
  stage: StageSpec,
  { requestId, input }: { requestId: string; input: unknown },
): StageCall {
  return {
    callId: "",
    requestId,
    organisation: "",
    pipeline: req.spec.name,
    stage: stage.name,
    kind: stage.kind,
    target: "",
    idempotent: stage.idempotent,
    idempotencyKey: stage.idempotent ? undefined : `${req.key}/${stage.name}`,
    fingerprint: "",
    priority: req.spec.priority,
    weight: 1,
    remainingMs: 0,
    listsVersion: 0,
    model: stage.model,
    maxTokens: stage.maxTokens,
    input,
  };
}

function clientOf({ target, url }: TestbedTarget): TargetClient {
  return target.kind === TargetKind.Engine
    ? new EngineClient(url)
    : new ServiceClient(url);
}
