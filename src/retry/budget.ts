/**
 * Retry budgets: limit retries and hedges to a share of the successes, for each
 * organisation and for each target.
 *
 * @module
 */

/** Bounds of a retry budget. */
export interface BudgetConfig {
  /** Retries earned by one success. */
  readonly ratio: number;
  /** Maximum number of retries that can accumulate. */
  readonly max: number;
}

/** Budget with the retries that it has left. */
export interface Budget {
  readonly cfg: BudgetConfig;
  readonly balance: number;
}

/** Returns a full budget. */
export function createBudget(cfg: BudgetConfig): Budget {
  return { cfg, balance: cfg.max };
}

/** Returns the budget after a success. */
export function earn(budget: Budget): Budget {
  const balance = Math.min(budget.cfg.max, budget.balance + budget.cfg.ratio);
  return { ...budget, balance };
}

/** Returns the budget after one retry, or undefined when none is left. */
export function spend(budget: Budget): Budget | undefined {
  if (budget.balance < 1) return undefined;
  return { ...budget, balance: budget.balance - 1 };
}

/** Budgets by name; a name without an entry has a full budget. */
export interface RetryBudgets {
  readonly cfg: BudgetConfig;
  readonly budgets: ReadonlyMap<string, Budget>;
}

/** Returns budgets that are all full. */
export function createRetryBudgets(cfg: BudgetConfig): RetryBudgets {
  return { cfg, budgets: new Map() };
}

/** Returns the budgets after a success that counts for each of `names`. */
export function earnFor(
  before: RetryBudgets,
  names: readonly string[],
): RetryBudgets {
  const earned = names
    .filter((name) => before.budgets.has(name))
    .map((name) => [name, earn(budgetOf(before, name))] as const);
  const budgets = new Map([...before.budgets, ...earned]);
  earned.filter(([, { cfg, balance }]) => balance >= cfg.max)
    .forEach(([name]) => budgets.delete(name));
  return { ...before, budgets };
}

/**
 * Returns the budgets after a retry that is charged to each of `names`, or
 * undefined when one of them has none left.
 */
export function spendFor(
  before: RetryBudgets,
  names: readonly string[],
): RetryBudgets | undefined {
  const spent = names
    .map((name) => [name, spend(budgetOf(before, name))] as const);
  const paid = spent.filter((one): one is [string, Budget] =>
    one[1] !== undefined
  );
  if (paid.length < names.length) return undefined;
  return { ...before, budgets: new Map([...before.budgets, ...paid]) };
}

function budgetOf(all: RetryBudgets, name: string): Budget {
  return all.budgets.get(name) ?? createBudget(all.cfg);
}
