/**
 * Recognises failures by which nothing of a request has been sent.
 *
 * @module
 */

/** Codes of failures to connect; some also end connections that were open. */
const CONNECT_CODES: ReadonlySet<unknown> = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
]);
const CONNECT_TIMEOUT_CODE = "UND_ERR_CONNECT_TIMEOUT";

interface SystemError extends Error {
  readonly code?: unknown;
  readonly syscall?: unknown;
  /** Failures by address, of an attempt to connect to several. */
  readonly errors?: readonly unknown[];
}

/** True when an error, or one of its causes, proves that nothing was sent. */
export function isNotSent(failure: unknown): boolean {
  if (!(failure instanceof Error)) return false;
  const { code, syscall, errors, cause } = failure as SystemError;
  if (code === CONNECT_TIMEOUT_CODE) return true;
  if (CONNECT_CODES.has(code) && syscall === "connect") return true;
  if (errors && errors.length > 0) return errors.every(isNotSent);
  return isNotSent(cause);
}
