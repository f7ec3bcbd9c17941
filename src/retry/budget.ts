/**
 * Retry budgets: retries and hedges are a bounded share of the successes, for
 * each organisation and for each target.
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

/** Budgets by name; a name that is absent has a full budget. */
export interface BudgetBook {
  readonly cfg: BudgetConfig;
  readonly budgets: ReadonlyMap<string, Budget>;
}

/** Book of full budgets. */
export function createBook(cfg: BudgetConfig): BudgetBook {
  return { cfg, budgets: new Map() };
}

/** Book after a success that counts for each of `names`. */
export function earnFor(
  book: BudgetBook,
  names: readonly string[],
): BudgetBook {
  const earned = names
    .filter((name) => book.budgets.has(name))
    .map((name) => [name, earn(budgetOf(book, name))] as const);
  const budgets = new Map([...book.budgets, ...earned]);
  earned.filter(([, { cfg, saved }]) => saved >= cfg.max)
    .forEach(([name]) => budgets.delete(name));
  return { ...book, budgets };
}

/** Book after a retry that each of `names` pays, or undefined if one cannot. */
export function spendFor(
  book: BudgetBook,
  names: readonly string[],
): BudgetBook | undefined {
  const spent = names
    .map((name) => [name, spend(budgetOf(book, name))] as const);
  const paid = spent.filter((one): one is [string, Budget] =>
    one[1] !== undefined
  );
  if (paid.length < names.length) return undefined;
  return { ...book, budgets: new Map([...book.budgets, ...paid]) };
}

function budgetOf(book: BudgetBook, name: string): Budget {
  return book.budgets.get(name) ?? createBudget(book.cfg);
}
