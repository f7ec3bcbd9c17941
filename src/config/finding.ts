/**
 * Findings of a check: each with its place, all reported together.
 *
 * Checks return the `Result` of `ts-results-es`; everything that runs uses
 * `neverthrow`.
 *
 * @module
 */

import { closest, distance } from "fastest-levenshtein";
import { Err, Ok, type Result } from "ts-results-es";
import { z } from "zod";

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
  return Err(
    parsed.error.issues.flatMap((issue) => toFindings(schema, issue)),
  );
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

function toFindings(schema: z.ZodType, issue: z.core.$ZodIssue): Finding[] {
  if (issue.code !== "unrecognized_keys") {
    return [{ path: jsonPath(issue.path), message: issue.message }];
  }
  const known = knownKeys(schema, issue.path);
  return issue.keys.map((key) => ({
    path: jsonPath([...issue.path, key]),
    message: `Unknown key${suggestion(key, known)}`,
  }));
}

/** Most edits between a mistyped key and the key that is suggested for it. */
const MAX_EDITS = 3;

function suggestion(key: string, known: readonly string[]): string {
  if (known.length === 0) return "";
  const nearest = closest(key, known);
  return distance(key, nearest) <= MAX_EDITS
    ? `; did you mean ${nearest}?`
    : `; known are ${known.join(", ")}`;
}

/** Keys that the schema knows in the object at `path`. */
function knownKeys(
  schema: z.ZodType,
  path: readonly PropertyKey[],
): readonly string[] {
  const at = path.reduce<z.ZodType | undefined>(memberSchema, schema);
  const object = unwrap(at);
  return object instanceof z.ZodObject ? Object.keys(object.shape) : [];
}

function memberSchema(
  schema: z.ZodType | undefined,
  segment: PropertyKey,
): z.ZodType | undefined {
  const inner = unwrap(schema);
  if (inner instanceof z.ZodObject) return inner.shape[String(segment)];
  if (inner instanceof z.ZodArray) return inner.element as z.ZodType;
  return undefined;
}

/** The schema below defaults and optional marks. */
function unwrap(schema: z.ZodType | undefined): z.ZodType | undefined {
  if (schema instanceof z.ZodDefault || schema instanceof z.ZodOptional) {
    return unwrap(schema.unwrap() as z.ZodType);
  }
  return schema;
}
