/**
 * Fingerprints of JSON values.
 *
 * @module
 */

import { createHash } from "node:crypto";

/**
 * SHA-256 over the canonical JSON form of a value, in hexadecimal. Object keys
 * are sorted, so that equal values have equal digests.
 */
export function digest(value: unknown): string {
  return sha256(canonicalJson(value));
}

/** SHA-256 of a text, in hexadecimal. */
export function sha256(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}

/** JSON text with sorted object keys. */
export function canonicalJson(value: unknown): string {
  return JSON.stringify(value, (_key, inner) => sortKeys(inner)) ?? "null";
}

function sortKeys(value: unknown): unknown {
  if (value === null || typeof value !== "object" || Array.isArray(value)) {
    return value;
  }
  return Object.fromEntries(
    Object.entries(value).sort(([a], [b]) => a < b ? -1 : a > b ? 1 : 0),
  );
}
