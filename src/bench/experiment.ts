/**
 * What an experiment is and what it reports.
 *
 * @module
 */

/** Figures of one side of an experiment. */
export interface Side {
  /** Share of the requests done within their deadline. */
  readonly attainment: number;
  readonly p50_ms: number;
  readonly p95_ms: number;
  readonly refused: number;
  /** Share of the work at targets whose result no caller got. */
  readonly wasted_ratio: number;
  /** Mean service time by stage, in milliseconds. */
  readonly cost_by_stage: Readonly<Record<string, number>>;
}

/** Report of an experiment, with its own further figures. */
export interface ExperimentReport {
  readonly experiment: string;
  readonly seed: number;
  readonly policy?: Side;
  readonly baseline?: Side;
  readonly [figure: string]: unknown;
}

/** One experiment of `npm run bench`. */
export interface Experiment {
  readonly name: string;
  /** One line for the list of experiments. */
  readonly summary: string;
  run(opts: { seed: number }): Promise<ExperimentReport>;
}
