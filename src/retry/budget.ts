/**
 * Retry budget: retries are a bounded share of the successes.
 *
 * @module
 */

/** Bounds of a retry budget. */
export interface BudgetConfig {
  /** Retries earned by one success. */
  readonly ratio: number;
  /** Most retries that can be saved up. */
  readonly max: number;
}

/** Saved retries. */
export interface Budget {
  readonly cfg: BudgetConfig;
  readonly saved: number;
}

/** Full budget. */
export function createBudget(cfg: BudgetConfig): Budget {
  return { cfg, saved: cfg.max };
}

/** Budget after a success. */
export function earn(budget: Budget): Budget {
  const saved = Math.min(budget.cfg.max, budget.saved + budget.cfg.ratio);
  return { ...budget, saved };
}

/** Budget after one retry, or undefined when none is saved. */
export function spend(budget: Budget): Budget | undefined {
  if (budget.saved < 1) return undefined;
  return { ...budget, saved: budget.saved - 1 };
}
