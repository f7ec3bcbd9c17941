/**
 * Certificates for tests and development deployments; not for production.
 *
 * @module
 */

import "reflect-metadata";
import * as x509 from "@peculiar/x509";
import { webcrypto } from "node:crypto";
import type { PemTexts } from "../tls/mod.ts";

const ALGORITHM = { name: "ECDSA", namedCurve: "P-256", hash: "SHA-256" };
const DAY_MS = 24 * 3_600_000;
const DEFAULT_VALIDITY_MS = 30 * DAY_MS;

/** Certificate authority for tests. */
export class TestAuthority {
  readonly #keys: webcrypto.CryptoKeyPair;
  readonly #cert: x509.X509Certificate;
  #serial = 1;

  private constructor(
    keys: webcrypto.CryptoKeyPair,
    cert: x509.X509Certificate,
  ) {
    this.#keys = keys;
    this.#cert = cert;
  }

  /** Creates an authority with a new self-signed certificate. */
  static async create(): Promise<TestAuthority> {
    const keys = await generateKeys();
    const cert = await x509.X509CertificateGenerator.createSelfSigned({
      serialNumber: "01",
      name: "CN=test authority",
      ...validityPeriod(DEFAULT_VALIDITY_MS),
      keys,
      signingAlgorithm: ALGORITHM,
      extensions: [new x509.BasicConstraintsExtension(true, 1, true)],
    }, webcrypto);
    return new TestAuthority(keys, cert);
  }

  /** Issues a certificate for processes on 127.0.0.1. */
  async issue(opts: { validMs?: number } = {}): Promise<PemTexts> {
    const keys = await generateKeys();
    this.#serial += 1;
    const cert = await x509.X509CertificateGenerator.create({
      serialNumber: this.#serial.toString(16).padStart(2, "0"),
      subject: "CN=cassiapost",
      issuer: this.#cert.subject,
      ...validityPeriod(opts.validMs ?? DEFAULT_VALIDITY_MS),
      publicKey: keys.publicKey,
      signingKey: this.#keys.privateKey,
      signingAlgorithm: ALGORITHM,
      extensions: [
        new x509.SubjectAlternativeNameExtension([
          { type: "ip", value: "127.0.0.1" },
        ]),
      ],
    }, webcrypto);
    const pkcs8 = await webcrypto.subtle.exportKey("pkcs8", keys.privateKey);
    return {
      cert: cert.toString("pem"),
      key: x509.PemConverter.encode(pkcs8, "PRIVATE KEY"),
      ca: this.#cert.toString("pem"),
    };
  }
}

function generateKeys(): Promise<webcrypto.CryptoKeyPair> {
  return webcrypto.subtle.generateKey(ALGORITHM, true, ["sign", "verify"]);
}

function validityPeriod(ms: number): { notBefore: Date; notAfter: Date } {
  const now = Date.now();
  return { notBefore: new Date(now - DAY_MS), notAfter: new Date(now + ms) };
}
