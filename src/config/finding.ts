/**
 * Findings of a check. All findings of a document are reported together, each
 * with its JSON path.
 *
 * Checks of documents return the `Result` of `ts-results-es`; run-time
 * operations use `neverthrow`.
 *
 * @module
 */

import { closest, distance } from "fastest-levenshtein";
import { Err, Ok, type Result } from "ts-results-es";
import { z } from "zod";

/** Error in a checked document. */
export interface Finding {
  /** JSON path of the invalid value; `$` for the whole document. */
  readonly path: string;
  readonly message: string;
}

/** Result of a check: the valid document or all findings. */
export type Checked<T> = Result<T, readonly Finding[]>;

/** Checks a value against a schema and returns all findings. */
export function check<T>(schema: z.ZodType<T>, value: unknown): Checked<T> {
  const parsed = schema.safeParse(value);
  if (parsed.success) return Ok(parsed.data);
  return Err(
    parsed.error.issues.flatMap((issue) => toFindings(schema, issue)),
  );
}

/** Parses JSON text and checks it against a schema. */
export function checkJson<T>(schema: z.ZodType<T>, text: string): Checked<T> {
  try {
    return check(schema, JSON.parse(text));
  } catch (err) {
    return Err([{ path: "$", message: `Not JSON: ${(err as Error).message}` }]);
  }
}

/** Formats findings as text, one line per finding. */
export function formatFindings(findings: readonly Finding[]): string {
  return findings.map(({ path, message }) => `${path}: ${message}`).join("\n");
}

/** Formats a path as `$.a[0].b`. */
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

/** Maximum edit distance between an unknown key and its suggestion. */
const MAX_SUGGESTION_DISTANCE = 3;

function suggestion(key: string, known: readonly string[]): string {
  if (known.length === 0) return "";
  const nearest = closest(key, known);
  return distance(key, nearest) <= MAX_SUGGESTION_DISTANCE
    ? `; did you mean ${nearest}?`
    : `; known are ${known.join(", ")}`;
}

/** Returns the keys that the schema defines for the object at `path`. */
function knownKeys(
  schema: z.ZodType,
  path: readonly PropertyKey[],
): readonly string[] {
  const schemaAtPath = path.reduce<z.ZodType | undefined>(memberSchema, schema);
  const object = unwrap(schemaAtPath);
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

/** Returns the schema inside of default and optional wrappers. */
function unwrap(schema: z.ZodType | undefined): z.ZodType | undefined {
  if (schema instanceof z.ZodDefault || schema instanceof z.ZodOptional) {
    return unwrap(schema.unwrap() as z.ZodType);
  }
  return schema;
}
