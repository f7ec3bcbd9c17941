/**
 * Plain baseline: entries that call the targets round robin, without a gate,
 * and repeat any failed call on the next target.
 *
 * @module
 */

import { Hono } from "hono";
import { randomUUID } from "node:crypto";
import {
  EngineClient,
  ServiceClient,
  type TargetAnswer,
  type TargetClient,
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
import type { ServedSide } from "./harness.ts";
import type { World, WorldTarget } from "./world.ts";

const ADDRESS = "127.0.0.1";
const MAX_ATTEMPTS = 3;
const HOST_LIST_POLL_MS = 1_000;
const HTTP_UNAVAILABLE = 503;

/** Time and tokens of one stage, as callers are told. */
interface StageAnswer {
  readonly stage: string;
  readonly output: unknown;
  readonly tokens: number;
  readonly serviceMs: number;
  readonly queuedMs: number;
}

/** Starts as many plain entries as the plan has. */
export async function startBaselineSide(world: World): Promise<ServedSide> {
  const { domains, entriesPerDomain } = world.plan;
  const abort = new AbortController();
  const pool = new PlainPool(world, abort.signal);
  const servers = await Promise.all(
    Array.from(
      { length: domains.length * entriesPerDomain },
      () => listen(createApp(world, pool), { address: ADDRESS, port: 0 }),
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

/** Targets in turn; hosts that the host list reports as leaving are left out. */
class PlainPool {
  readonly #targets: readonly {
    readonly one: WorldTarget;
    readonly client: TargetClient;
  }[];
  readonly #turns = new Map<string, number>();
  #leaving: ReadonlySet<HostId> = new Set();

  constructor(world: World, signal: AbortSignal) {
    this.#targets = world.targets.map((one) => ({
      one,
      client: clientOf(one),
    }));
    void every(HOST_LIST_POLL_MS, () => this.#refresh(world), signal);
  }

  next(pool: string) {
    const usable = this.#targets.filter(({ one }) =>
      one.target.pool === pool && !this.#leaving.has(one.target.host)
    );
    const turn = this.#turns.get(pool) ?? 0;
    this.#turns.set(pool, turn + 1);
    return usable[turn % usable.length];
  }

  async #refresh(world: World): Promise<void> {
    const hosts = await world.hosts.list();
    hosts.map((entries) => {
      this.#leaving = new Set(
        entries.filter(({ state }) => state === HostState.Leaving)
          .map(({ host }) => host),
      );
    });
  }
}

function createApp(world: World, pool: PlainPool): Hono {
  const app = new Hono();
  app.post("/v1/pipelines/:name", async (c) => {
    const spec = world.plan.use.pipelines
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

interface PlainRequest {
  readonly spec: PipelineSpec;
  readonly input: unknown;
  readonly key: string;
  readonly deadlineAt: number;
  readonly signal: AbortSignal;
}

async function runStages(
  pool: PlainPool,
  req: PlainRequest,
): Promise<readonly StageAnswer[] | undefined> {
  const requestId = randomUUID();
  const done: StageAnswer[] = [];
  for (const stage of req.spec.stages) {
    const input = { request: req.input, previous: done.at(-1)?.output ?? null };
    const call = stageCall(req, stage, { requestId, input });
    const startedAt = monotonicMs();
    const answer = await runStage(pool, call, { stage, req });
    if (!answer) return undefined;
    done.push({
      stage: stage.name,
      ...answer,
      serviceMs: monotonicMs() - startedAt,
      queuedMs: 0,
    });
  }
  return done;
}

async function runStage(
  pool: PlainPool,
  call: StageCall,
  { stage, req }: { stage: StageSpec; req: PlainRequest },
): Promise<TargetAnswer | undefined> {
  for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt += 1) {
    const left = req.deadlineAt - monotonicMs();
    const chosen = pool.next(stage.pool);
    if (left <= 0 || !chosen) return undefined;
    const answer = await chosen.client.run({
      ...call,
      callId: callId(call.requestId, stage.name, attempt),
      target: chosen.one.target.id,
      remainingMs: left,
    }, { signal: timeoutSignal(left, req.signal), onText: () => {} });
    if (answer.isOk()) return answer.value;
  }
}

function stageCall(
  req: PlainRequest,
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

function clientOf({ target, url }: WorldTarget): TargetClient {
  return target.kind === TargetKind.Engine
    ? new EngineClient(url)
    : new ServiceClient(url);
}
