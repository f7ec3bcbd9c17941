/**
 * Fingerprint by which a repeated request is recognised: its caller repeats it
 * under new identifiers, at any entry.
 *
 * @module
 */

import { createHash } from "node:crypto";
import type { Organisation } from "../serving/mod.ts";
import type { CallerRequest } from "./ports.ts";

/** Length of a fingerprint in hexadecimal digits. */
const FINGERPRINT_DIGITS = 32;

/** Returns the same text for all repetitions of a request of one caller. */
export function fingerprintOf(
  { method, hostname, path, body }: CallerRequest,
  organisation: Organisation | undefined,
): string {
  const head = [organisation?.name ?? null, method, hostname, path];
  return createHash("sha256").update(JSON.stringify(head)).update(body)
    .digest("hex").slice(0, FINGERPRINT_DIGITS);
}
