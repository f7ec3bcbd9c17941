/**
 * Invariants that are checked in production. A violation is counted and
 * reported to listeners. It does not stop the process, which would fail the
 * requests that are in flight.
 *
 * @module
 */

/** Violation of an invariant. */
export interface Violation {
  /** Stable name of the invariant. */
  readonly name: string;
  readonly detail: string;
}

/** Thrown by {@linkcode invariant} while strict mode is on. */
export class InvariantError extends Error {
  override readonly name = "InvariantError";
}

type Listener = (violation: Violation) => void;

const listeners = new Set<Listener>();
let violations = 0;
let strict = false;

/** Counts and reports a violation when `holds` is false. */
export function invariant(
  holds: boolean,
  name: string,
  detail: string | (() => string) = "",
): void {
  if (holds) return;
  violations += 1;
  const text = typeof detail === "string" ? detail : detail();
  listeners.forEach((listener) => listener({ name, detail: text }));
  if (strict) throw new InvariantError(`Invariant ${name} violated: ${text}`);
}

/** Returns the number of violations since the process started. */
export function violationCount(): number {
  return violations;
}

/** Calls `listener` for each violation until `signal` aborts. */
export function onViolation(listener: Listener, signal?: AbortSignal): void {
  listeners.add(listener);
  signal?.addEventListener("abort", () => listeners.delete(listener));
}

/** Sets whether violations throw, which is meant for tests only. */
export function setStrictInvariants(on: boolean): void {
  strict = on;
}
