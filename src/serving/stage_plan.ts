/**
 * Progress of one request through its stages of pieces.
 *
 * @module
 */

import type { StageSpec } from "./catalog.ts";

/** Result of one piece, named by the target that holds it (`IP:PORT/NAME`). */
export type ResultHandle = string;

/** Returns `IP:PORT` of the target that holds a result. */
export function addressOf(result: ResultHandle): string {
  return result.slice(0, result.indexOf("/"));
}

/** Results of one pool. */
export interface PoolResults {
  readonly pool: string;
  readonly results: readonly ResultHandle[];
}

/** One stage with the number of its pieces. */
export interface PlannedStage {
  readonly index: number;
  readonly spec: StageSpec;
  readonly pieces: number;
  /** Results of all pieces; undefined until the stage is done. */
  readonly results?: readonly ResultHandle[];
  readonly isStarted: boolean;
}

/** Stages of one request. Immutable. */
export class StagePlan {
  readonly stages: readonly PlannedStage[];

  constructor(stages: readonly PlannedStage[]) {
    this.stages = stages;
  }

  /** Returns a new plan; `pieces` has the number of pieces of each stage. */
  static of(specs: readonly StageSpec[], pieces: readonly number[]): StagePlan {
    const stages = specs.map((spec, index) => ({
      index,
      spec,
      pieces: pieces[index] ?? 0,
      isStarted: false,
    }));
    return new StagePlan(
      stages.map((stage) =>
        stage.pieces === 0 ? { ...stage, results: [], isStarted: true } : stage
      ),
    );
  }

  /** Returns the stages that have not started and whose inputs are done. */
  ready(): readonly PlannedStage[] {
    return this.stages.filter((stage) =>
      !stage.isStarted &&
      stage.spec.after.every((i) => this.stages[i]?.results !== undefined)
    );
  }

  /** Returns the plan after a stage was started. */
  start(index: number): StagePlan {
    return this.#with(index, (stage) => ({ ...stage, isStarted: true }));
  }

  /** Returns the plan after a stage is done; `results` is in piece order. */
  finish(index: number, results: readonly ResultHandle[]): StagePlan {
    return this.#with(index, (stage) => ({ ...stage, results }));
  }

  /** Returns the plan in which a stage and all its ancestors run again. */
  redo(index: number): StagePlan {
    const rerun = this.#withAncestors(index);
    return new StagePlan(
      this.stages.map((stage) =>
        rerun.has(stage.index) && stage.pieces > 0
          ? { ...stage, isStarted: false, results: undefined }
          : stage
      ),
    );
  }

  get isDone(): boolean {
    return this.stages.every(({ results }) => results !== undefined);
  }

  /** Returns the results that a stage reads, in the order of its `after`. */
  inputsOf(stage: PlannedStage): readonly ResultHandle[] {
    return stage.spec.after.flatMap((i) => this.stages[i]?.results ?? []);
  }

  /** Returns the results that only this stage reads. */
  exclusiveInputsOf(stage: PlannedStage): readonly PoolResults[] {
    return stage.spec.after
      .filter((i) =>
        this.stages.filter(({ spec }) => spec.after.includes(i)).length === 1
      )
      .flatMap((i) => this.stages[i] ?? [])
      .map(poolResults);
  }

  /** Returns the stages whose results no other stage reads. */
  finalStages(): readonly PlannedStage[] {
    const read = new Set(this.stages.flatMap(({ spec }) => spec.after));
    return this.stages.filter(({ index }) => !read.has(index));
  }

  /** Returns the results that the request itself reads. */
  finalResults(): readonly ResultHandle[] {
    return this.finalStages().flatMap(({ results }) => results ?? []);
  }

  /** Returns the results of all stages that are done. */
  allResults(): readonly PoolResults[] {
    return this.stages.map(poolResults);
  }

  /**
   * Returns the results that are no longer needed because all stages that read
   * them are done. Results of final stages are never included.
   */
  unneededResults(): readonly PoolResults[] {
    return this.stages
      .filter(({ index }) => {
        const readers = this.stages
          .filter(({ spec }) => spec.after.includes(index));
        return readers.length > 0 &&
          readers.every(({ results }) => results !== undefined);
      })
      .map(poolResults);
  }

  #withAncestors(index: number): ReadonlySet<number> {
    const inputs = this.stages[index]?.spec.after ?? [];
    return new Set([
      index,
      ...inputs.flatMap((input) => [...this.#withAncestors(input)]),
    ]);
  }

  #with(
    index: number,
    change: (stage: PlannedStage) => PlannedStage,
  ): StagePlan {
    return new StagePlan(
      this.stages.map((stage) => stage.index === index ? change(stage) : stage),
    );
  }
}

function poolResults({ spec, results }: PlannedStage): PoolResults {
  return { pool: spec.pool, results: results ?? [] };
}
