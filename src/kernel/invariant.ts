/**
 * Invariants that are checked in production. A violation is counted and
 * reported to listeners; it does not stop the process, since the callers that
 * are in hand would suffer from that most.
 *
 * @module
 */

/** One observed violation. */
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

/** Counts and reports a violation unless `holds` is true. */
export function invariant(
  holds: boolean,
  name: string,
  detail: string | (() => string) = "",
): void {
  if (holds) return;
  violations += 1;
  const text = typeof detail === "string" ? detail : detail();
  listeners.forEach((listen) => listen({ name, detail: text }));
  if (strict) throw new InvariantError(`Invariant ${name} violated: ${text}`);
}

/** Number of violations since the process started. */
export function violationCount(): number {
  return violations;
}

/** Calls `listen` for each violation until `signal` aborts. */
export function onViolation(listen: Listener, signal?: AbortSignal): void {
  listeners.add(listen);
  signal?.addEventListener("abort", () => listeners.delete(listen));
}

/** Makes violations throw. Tests use it; daemons do not. */
export function setStrictInvariants(on: boolean): void {
  strict = on;
}
