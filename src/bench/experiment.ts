/**
 * Types of an experiment and of its report.
 *
 * @module
 */

/** Figures of one variant of an experiment, the policy or the baseline. */
export interface VariantFigures {
  /** Share of the requests completed within their deadline. */
  readonly attainment: number;
  readonly p50_ms: number;
  readonly p95_ms: number;
  readonly refused: number;
  /** Share of the work at targets whose result reached no caller. */
  readonly wasted_ratio: number;
  /** Mean service time by stage, in milliseconds. */
  readonly cost_by_stage: Readonly<Record<string, number>>;
}

/** Report of an experiment; each experiment adds figures of its own. */
export interface ExperimentReport {
  readonly experiment: string;
  readonly seed: number;
  readonly policy?: VariantFigures;
  readonly baseline?: VariantFigures;
  readonly [figure: string]: unknown;
}

/** An experiment that `npm run bench` can run. */
export interface Experiment {
  readonly name: string;
  /** One-line description in the list of experiments. */
  readonly summary: string;
  run(opts: { seed: number }): Promise<ExperimentReport>;
}
