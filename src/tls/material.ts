/**
 * Validation of a process's certificate, private key and authorities.
 *
 * @module
 */

import { createPrivateKey, type KeyObject, X509Certificate } from "node:crypto";
import { Err, Ok } from "ts-results-es";
import type { Checked, Finding } from "../config/mod.ts";

/** PEM texts as read from the files. */
export interface PemTexts {
  /** Certificate of the process, followed by intermediate certificates. */
  readonly cert: string;
  /** Private key of the certificate. */
  readonly key: string;
  /** Certificates of the authorities that sign the fleet's certificates. */
  readonly ca: string;
}

/** PEM texts that have passed the check. */
export interface TlsMaterial extends PemTexts {
  /** Time at which the certificate expires, in ms since the epoch. */
  readonly expiresAt: number;
  /** SHA-256 fingerprint of the certificate; changes with each rotation. */
  readonly fingerprint: string;
}

/**
 * Checks the texts at wall-clock time `now`. Each finding has the path of the
 * setting that names the file.
 */
export function checkMaterial(
  texts: PemTexts,
  now: number,
): Checked<TlsMaterial> {
  const cert = tryParse(
    "$.tls.certFile",
    () => new X509Certificate(texts.cert),
  );
  const key = tryParse("$.tls.keyFile", () => createPrivateKey(texts.key));
  const ca = tryParse("$.tls.caFile", () => new X509Certificate(texts.ca));
  const findings = [cert, key, ca].flatMap((result) => result.findings);
  if (!cert.value || !key.value || !ca.value) return Err(findings);
  const faults = findFaults(cert.value, { key: key.value, now });
  if (faults.length > 0) return Err(faults);
  return Ok({
    ...texts,
    expiresAt: Date.parse(cert.value.validTo),
    fingerprint: cert.value.fingerprint256,
  });
}

interface Parsed<T> {
  readonly value?: T;
  readonly findings: readonly Finding[];
}

function tryParse<T>(path: string, read: () => T): Parsed<T> {
  try {
    return { value: read(), findings: [] };
  } catch (err) {
    return { findings: [{ path, message: (err as Error).message }] };
  }
}

function findFaults(
  cert: X509Certificate,
  opts: { key: KeyObject; now: number },
): Finding[] {
  const { key, now } = opts;
  const checks: readonly [boolean, string, string][] = [
    [
      cert.checkPrivateKey(key),
      "$.tls.keyFile",
      "The key does not belong to the certificate",
    ],
    [
      Date.parse(cert.validFrom) <= now,
      "$.tls.certFile",
      `The certificate is not valid before ${cert.validFrom}`,
    ],
    [
      now < Date.parse(cert.validTo),
      "$.tls.certFile",
      `The certificate expired at ${cert.validTo}`,
    ],
  ];
  return checks.filter(([holds]) => !holds)
    .map(([, path, message]) => ({ path, message }));
}
