/**
 * Digests and canonical form of JSON values.
 *
 * @module
 */

import { createHash } from "node:crypto";

/**
 * Returns the SHA-256 of a value's canonical JSON, in hexadecimal. Object keys
 * are sorted, so that equal values have equal digests.
 */
export function digest(value: unknown): string {
  return sha256(canonicalJson(value));
}

/** Returns the SHA-256 of a text, in hexadecimal. */
export function sha256(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}

/** Returns the JSON text of a value, with sorted object keys. */
export function canonicalJson(value: unknown): string {
  return JSON.stringify(value, (_key, member) => sortKeys(member)) ?? "null";
}

function sortKeys(value: unknown): unknown {
  if (value === null || typeof value !== "object" || Array.isArray(value)) {
    return value;
  }
  return Object.fromEntries(
    Object.entries(value).sort(([a], [b]) => a < b ? -1 : a > b ? 1 : 0),
  );
}
