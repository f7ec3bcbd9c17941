/**
 * Retry policy and retry budgets.
 *
 * @module
 */

export * from "./budget.ts";
export * from "./policy.ts";
