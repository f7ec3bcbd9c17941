/**
 * Stores the results of the stages of durable pipelines in the object store, so
 * that a repeated request continues after the last finished stage.
 *
 * @module
 */

import { sleep, timeoutSignal } from "../kernel/mod.ts";
import {
  digest,
  type IdempotencyKey,
  type OrganisationId,
  type PipelineSpec,
  sha256,
  type StageName,
  type StageResult,
} from "../model/mod.ts";
import type { ObjectStore } from "../store/mod.ts";
import type { Metrics } from "../telemetry/mod.ts";

/** Longest wait for the object store, in milliseconds. */
const STORE_TIMEOUT_MS = 300;

/** The properties of a request that identify its checkpoints. */
export interface CheckpointedRequest {
  readonly organisation: OrganisationId;
  readonly key: IdempotencyKey;
  readonly fingerprint: string;
  readonly spec: PipelineSpec;
}

/** Loads, saves and deletes the checkpoints of durable pipelines. */
export class Checkpoints {
  readonly #objects: ObjectStore;
  readonly #metrics: Metrics;

  constructor(opts: { objects: ObjectStore; metrics: Metrics }) {
    this.#objects = opts.objects;
    this.#metrics = opts.metrics;
  }

  /**
   * Returns the results to resume from: only that of the last stage when the
   * request is done, otherwise those of the stages before the first one without
   * a checkpoint, in their order.
   */
  async load(req: CheckpointedRequest): Promise<readonly StageResult[]> {
    const names = req.spec.stages.map(({ name }) => name);
    const last = await this.#get(req, names.at(-1) ?? "");
    if (last) return [last];
    const found: StageResult[] = [];
    for (const name of names.slice(0, -1)) {
      const result = await this.#get(req, name);
      if (!result) break;
      found.push(result);
    }
    return found;
  }

  /**
   * Stores a result unless one exists. Returns the result to use, which is the
   * stored one when an earlier attempt stored its own first.
   */
  async save(
    req: CheckpointedRequest,
    result: StageResult,
  ): Promise<StageResult> {
    const key = objectKey(req, result.stage);
    const put = this.#objects
      .putIfAbsent(key, result, timeoutSignal(STORE_TIMEOUT_MS))
      .unwrapOr(undefined);
    const written = await Promise.race([put, sleep(STORE_TIMEOUT_MS)]);
    if (written === undefined) {
      this.#count("checkpoints_failed_total");
      return result;
    }
    this.#count("checkpoints_total");
    return written ? result : await this.#get(req, result.stage) ?? result;
  }

  /** Deletes the checkpoints that a finished request no longer needs. */
  async deleteIntermediate(req: CheckpointedRequest): Promise<void> {
    const stages = req.spec.stages.slice(0, -1);
    await Promise.all(
      stages.map(({ name }) => this.#objects.delete(objectKey(req, name))),
    );
  }

  async #get(
    req: CheckpointedRequest,
    stage: StageName,
  ): Promise<StageResult | undefined> {
    const stored = this.#objects
      .get(objectKey(req, stage), timeoutSignal(STORE_TIMEOUT_MS))
      .unwrapOr(undefined);
    const value = await Promise.race([stored, sleep(STORE_TIMEOUT_MS)]);
    const result = value as StageResult | null | undefined;
    if (!result) return undefined;
    if (isIntact(result, { ...req, stage })) return result;
    this.#count("checkpoints_rejected_total");
    return undefined;
  }

  #count(name: string): void {
    this.#metrics.count(name);
  }
}

/** True when a stored result belongs to the stage and is undamaged. */
function isIntact(
  result: StageResult,
  of: { fingerprint: string; stage: StageName },
): boolean {
  return result.stage === of.stage &&
    result.fingerprint === of.fingerprint &&
    result.digest === digest(result.output ?? null);
}

function objectKey(req: CheckpointedRequest, stage: StageName): string {
  const id = sha256(`${req.key}\n${req.fingerprint}`);
  return `checkpoint/${req.organisation}/${id}/${stage}`;
}
