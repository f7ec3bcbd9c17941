/**
 * Rule for assuming that the table service is out for all processes.
 *
 * @module
 */

/** Failure domains that have to respond before an outage is assumed. */
export const OutageRule = {
  /** Every failure domain that operators have not taken out of service. */
  EveryDomain: "every-domain",
  /** More than half of the failure domains, including the process's own. */
  Majority: "majority",
} as const;
export type OutageRule = typeof OutageRule[keyof typeof OutageRule];
