/**
 * Versions of the store over its restorations. A store that returns from a copy
 * gives versions out again, so a version is only comparable with its era: the
 * number of times that the store has been restored.
 *
 * @module
 */

/** Versions of one era; leaves 17 bits for eras in a safe integer. */
const VERSIONS_PER_ERA = 2 ** 36;

/** Largest era that a version can hold. */
export const MAX_ERA = 2 ** 17 - 1;

/** Returns a number that orders versions by their eras, then by themselves. */
export function versionInEra(era: number, version: number): number {
  return era * VERSIONS_PER_ERA + version;
}

export function eraOf(version: number): number {
  return Math.floor(version / VERSIONS_PER_ERA);
}

/** Version as the store numbers it. */
export function numberOf(version: number): number {
  return version % VERSIONS_PER_ERA;
}
