/**
 * Checks the HTTP requests of callers and turns them into pipeline requests.
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

/** The part of the lists that the intake reads. */
export type IntakeLists = Pick<ListsSync, "current" | "isConfirmed">;

/** An authenticated organisation and its plan. */
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

  /** Checks a request. The refusal, if any, names the first fault found. */
  async check(c: Context): Promise<Result<PipelineRequest, Refusal>> {
    const arrivedAt = monotonicMs();
    if (!this.#lists.isConfirmed) return err(notConfirmed());
    const identity = this.#identify(c);
    if (identity.isErr()) return err(identity.error);
    const deadlineMs = deadlineOf(c, identity.value.spec);
    if (deadlineMs.isErr()) return err(deadlineMs.error);
    const input = await inputOf(c);
    if (input.isErr()) return err(input.error);
    // The lists may have changed, or expired, while the body was read.
    if (!this.#lists.isConfirmed) return err(notConfirmed());
    const current = this.#identify(c);
    if (current.isErr()) return err(current.error);
    return ok({
      ...current.value,
      input: input.value,
      deadlineAt: arrivedAt + deadlineMs.value,
      signal: c.req.raw.signal,
      traceparent: c.req.header("traceparent"),
    });
  }

  /**
   * Returns the identity of a request that did not pass the checks, with which
   * the record of its key can be read. Undefined when the request has no known
   * caller, no valid key or no permitted pipeline.
   */
  identityOf(c: Context): RequestIdentity | undefined {
    return this.#identify(c).unwrapOr(undefined);
  }

  #identify(c: Context): Result<RequestIdentity, Refusal> {
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

/** Index of callers by the hash of their key, for one version of the lists. */
class CallerIndex {
  readonly lists: Lists;
  readonly #organisations: ReadonlyMap<string, Organisation>;
  readonly #plans: ReadonlyMap<string, Plan>;

  constructor(lists: Lists) {
    const { organisations: { organisations }, use: { plans } } = lists;
    this.lists = lists;
    this.#organisations = new Map(
      organisations.map((owner) => [owner.keySha256, owner]),
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
  const spec = lists.use.pipelines.find((pipeline) => pipeline.name === name);
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
    // Invalid JSON gets the same refusal as JSON without the member input.
  }
  return err(notRun(
    RefusalReason.BadRequest,
    "The body must be a JSON object with the member input",
  ));
}
