/**
 * Findings of a check: each with its place, all reported together.
 *
 * Checks return the `Result` of `ts-results-es`; everything that runs uses
 * `neverthrow`.
 *
 * @module
 */

import { Err, Ok, type Result } from "ts-results-es";
import type { z } from "zod";

/** One fault in a checked document. */
export interface Finding {
  /** JSON path of the faulty place, `$` for the whole document. */
  readonly path: string;
  readonly message: string;
}

/** Outcome of a check. */
export type Checked<T> = Result<T, readonly Finding[]>;

/** Checks a value against a schema and collects every finding. */
export function check<T>(schema: z.ZodType<T>, value: unknown): Checked<T> {
  const parsed = schema.safeParse(value);
  if (parsed.success) return Ok(parsed.data);
  return Err(parsed.error.issues.map(toFinding));
}

/** Parses JSON text and checks it. */
export function checkJson<T>(schema: z.ZodType<T>, text: string): Checked<T> {
  try {
    return check(schema, JSON.parse(text));
  } catch (err) {
    return Err([{ path: "$", message: `Not JSON: ${(err as Error).message}` }]);
  }
}

/** One line for each finding. */
export function formatFindings(findings: readonly Finding[]): string {
  return findings.map(({ path, message }) => `${path}: ${message}`).join("\n");
}

/** Writes a path as `$.a[0].b`. */
export function jsonPath(segments: readonly PropertyKey[]): string {
  return segments.reduce<string>(
    (path, segment) =>
      typeof segment === "number"
        ? `${path}[${segment}]`
        : `${path}.${String(segment)}`,
    "$",
  );
}

function toFinding(issue: z.core.$ZodIssue): Finding {
  return { path: jsonPath(issue.path), message: issue.message };
}
