/**
 * When a process assumes that the table service is out for everyone.
 *
 * @module
 */

/** Failure domains that have to be heard for an outage to be assumed. */
export const OutageRule = {
  /** Every domain that is not out by order. */
  EveryDomain: "every-domain",
  /** More than half of the domains, the own one included. */
  Majority: "majority",
} as const;
export type OutageRule = typeof OutageRule[keyof typeof OutageRule];
