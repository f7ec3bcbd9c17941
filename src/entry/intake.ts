/**
 * Turns HTTP requests of callers into checked pipeline requests.
 *
 * @module
 */

import type { Context } from "hono";
import { err, ok, type Result } from "neverthrow";
import { randomUUID } from "node:crypto";
import { monotonicMs } from "../kernel/mod.ts";
import {
  type Lists,
  notRun,
  type Organisation,
  type PipelineSpec,
  type Plan,
  type Refusal,
  RefusalReason,
  sha256,
} from "../model/mod.ts";
import type { ListsSync } from "../process/mod.ts";
import type { PipelineRequest, RequestIdentity } from "./runner.ts";

const MAX_DEADLINE_MS = 600_000;
const MAX_KEY_LENGTH = 200;
const RETRY_AFTER_MS = 1_000;

/** Lists as the intake needs them. */
export type IntakeLists = Pick<ListsSync, "current" | "isConfirmed">;

/** An organisation with its plan. */
interface Caller {
  readonly organisation: Organisation;
  readonly plan: Plan;
}

/** Checks requests against the lists in force. */
export class Intake {
  readonly #lists: IntakeLists;
  #index: CallerIndex | undefined;

  constructor(lists: IntakeLists) {
    this.#lists = lists;
  }

  /** Checks a request; a refusal tells the first fault. */
  async check(c: Context): Promise<Result<PipelineRequest, Refusal>> {
    const arrivedAt = monotonicMs();
    if (!this.#lists.isConfirmed) return err(notConfirmed());
    const parts = this.#parts(c);
    if (parts.isErr()) return err(parts.error);
    const deadlineMs = deadlineOf(c, parts.value.spec);
    if (deadlineMs.isErr()) return err(deadlineMs.error);
    const input = await inputOf(c);
    if (input.isErr()) return err(input.error);
    return ok({
      ...parts.value,
      input: input.value,
      deadlineAt: arrivedAt + deadlineMs.value,
      signal: c.req.raw.signal,
      traceparent: c.req.header("traceparent"),
    });
  }

  /**
   * What identifies a request that was not let in, so that the record of its
   * key can be asked; undefined when the request names no known caller, key or
   * pipeline.
   */
  confirmable(c: Context): RequestIdentity | undefined {
    return this.#parts(c).unwrapOr(undefined);
  }

  #parts(c: Context): Result<RequestIdentity, Refusal> {
    const { current } = this.#lists;
    const caller = this.#authenticate(c, current);
    if (caller.isErr()) return err(caller.error);
    const spec = pipelineOf(c, current, caller.value.plan);
    if (spec.isErr()) return err(spec.error);
    return keyOf(c).map((key) => ({
      requestId: randomUUID(),
      ...caller.value,
      spec: spec.value,
      key,
      keyGiven: isKeyGiven(c),
      input: null,
      listsVersion: current.version,
    }));
  }

  #authenticate(c: Context, lists: Lists): Result<Caller, Refusal> {
    if (this.#index?.lists !== lists) this.#index = new CallerIndex(lists);
    const header = c.req.header("authorization") ?? "";
    const caller = this.#index.find(sha256(header.replace(/^Bearer /, "")));
    return caller ? ok(caller) : err(notRun(
      RefusalReason.Unauthenticated,
      "The authorization header holds no known organisation key",
    ));
  }
}

/** Finds callers by the hash of their key in one version of the lists. */
class CallerIndex {
  readonly lists: Lists;
  readonly #organisations: ReadonlyMap<string, Organisation>;
  readonly #plans: ReadonlyMap<string, Plan>;

  constructor(lists: Lists) {
    const { organisations: { organisations }, use: { plans } } = lists;
    this.lists = lists;
    this.#organisations = new Map(
      organisations.map((one) => [one.keySha256, one]),
    );
    this.#plans = new Map(plans.map((plan) => [plan.name, plan]));
  }

  find(keySha256: string): Caller | undefined {
    const organisation = this.#organisations.get(keySha256);
    const plan = this.#plans.get(organisation?.plan ?? "");
    return organisation && plan ? { organisation, plan } : undefined;
  }
}

function pipelineOf(
  c: Context,
  lists: Lists,
  plan: Plan,
): Result<PipelineSpec, Refusal> {
  const name = c.req.param("name") ?? "";
  const spec = lists.use.pipelines.find((one) => one.name === name);
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

function notConfirmed(): Refusal {
  return notRun(
    RefusalReason.NotConfirmed,
    "The entry's configuration is not confirmed",
    RETRY_AFTER_MS,
  );
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
