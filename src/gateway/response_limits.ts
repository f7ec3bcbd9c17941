/**
 * Limits of the responses that adapters read into memory.
 *
 * @module
 */

/** Limits that an adapter keeps; a longer response counts as broken. */
export interface ResponseLimits {
  /** Largest response to a call of pieces, in bytes. */
  readonly piecesBytes: number;
  /** Largest response of the store, in bytes. */
  readonly storeBytes: number;
}

/**
 * The response to a call of pieces names its results, some hundred bytes each;
 * a page of the store has at most 1 MB of rows.
 */
export const RESPONSE_LIMITS: ResponseLimits = {
  piecesBytes: 256 * 1024,
  storeBytes: 8 * 1024 * 1024,
};
