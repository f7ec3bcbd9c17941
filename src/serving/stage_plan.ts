/**
 * Progress of one request through its stages of pieces.
 *
 * @module
 */

import type { StageSpec } from "./catalog.ts";

/** Result of one piece, as its maker names it (`IP:PORT/NAME`). */
export type ResultHandle = string;

/** `IP:PORT` of the target that made a result. */
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
  /** Results of all pieces; undefined until the stage has ended. */
  readonly results?: readonly ResultHandle[];
  readonly isStarted: boolean;
}

/** Stages of one request. Immutable. */
export class StagePlan {
  readonly stages: readonly PlannedStage[];

  constructor(stages: readonly PlannedStage[]) {
    this.stages = stages;
  }

  /** Plan of a request; `pieces` has one number for each stage. */
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

  /** Stages that can start now. */
  ready(): readonly PlannedStage[] {
    return this.stages.filter((stage) =>
      !stage.isStarted &&
      stage.spec.after.every((i) => this.stages[i]?.results !== undefined)
    );
  }

  /** Plan after a stage was started. */
  start(index: number): StagePlan {
    return this.#with(index, (stage) => ({ ...stage, isStarted: true }));
  }

  /** Plan after a stage ended with the results of its pieces in order. */
  finish(index: number, results: readonly ResultHandle[]): StagePlan {
    return this.#with(index, (stage) => ({ ...stage, results }));
  }

  /** Plan in which a stage and all that it reads is run again. */
  redo(index: number): StagePlan {
    const again = this.#withAncestors(index);
    return new StagePlan(
      this.stages.map((stage) =>
        again.has(stage.index) && stage.pieces > 0
          ? { ...stage, isStarted: false, results: undefined }
          : stage
      ),
    );
  }

  get isDone(): boolean {
    return this.stages.every(({ results }) => results !== undefined);
  }

  /** Results that a stage reads, in the order of its `after`. */
  inputsOf(stage: PlannedStage): readonly ResultHandle[] {
    return stage.spec.after.flatMap((i) => this.stages[i]?.results ?? []);
  }

  /** Results that a stage reads and no other one. */
  inputsOnlyOf(stage: PlannedStage): readonly PoolResults[] {
    return stage.spec.after
      .filter((i) =>
        this.stages.filter(({ spec }) => spec.after.includes(i)).length === 1
      )
      .flatMap((i) => this.stages[i] ?? [])
      .map(poolResults);
  }

  /** Stages that no other stage reads. */
  finalStages(): readonly PlannedStage[] {
    const read = new Set(this.stages.flatMap(({ spec }) => spec.after));
    return this.stages.filter(({ index }) => !read.has(index));
  }

  /** Results that the request itself reads. */
  finalResults(): readonly ResultHandle[] {
    return this.finalStages().flatMap(({ results }) => results ?? []);
  }

  /** All results that were made. */
  allResults(): readonly PoolResults[] {
    return this.stages.map(poolResults);
  }

  /**
   * Results that nothing reads any more once the stages that are done have
   * read them; those of final stages never count.
   */
  spentResults(): readonly PoolResults[] {
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
    const before = this.stages[index]?.spec.after ?? [];
    return new Set([
      index,
      ...before.flatMap((one) => [...this.#withAncestors(one)]),
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
