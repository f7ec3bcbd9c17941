/**
 * Rule for assuming that the table service is out for all processes.
 *
 * @module
 */

/**
 * Failure domains from which a process must have recent responses with the
 * same lists version before it assumes an outage.
 */
export const OutageRule = {
  /** Every failure domain that operators have not taken out of service. */
  EveryDomain: "every-domain",
  /** More than half of the failure domains, including the process's own. */
  Majority: "majority",
} as const;
export type OutageRule = typeof OutageRule[keyof typeof OutageRule];
