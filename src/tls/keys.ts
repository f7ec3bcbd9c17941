/**
 * Reloads a process's certificate and key when their files are rotated.
 *
 * @module
 */

import { readFileSync } from "node:fs";
import { Err } from "ts-results-es";
import { type Checked, type Finding, formatFindings } from "../config/mod.ts";
import { every } from "../kernel/mod.ts";
import type { Logger } from "../telemetry/mod.ts";
import { checkMaterial, type PemTexts, type TlsMaterial } from "./material.ts";

/** Paths of the PEM files. */
export interface TlsFiles {
  readonly certFile: string;
  readonly keyFile: string;
  readonly caFile: string;
}

/** Interval at which the files are checked for changes, in milliseconds. */
const RELOAD_INTERVAL_MS = 10_000;
/** Minimum time between two expiry warnings, in milliseconds. */
const WARNING_INTERVAL_MS = 3_600_000;
/** Remaining validity below which a warning is logged, in milliseconds. */
const EXPIRY_WARNING_MS = 7 * 24 * 3_600_000;

/** Holds the current certificate and key of a process. */
export class KeyStore {
  readonly #files: TlsFiles;
  readonly #listeners = new Set<(material: TlsMaterial) => void>();
  #current: TlsMaterial;
  #nextWarningAt = 0;

  private constructor(files: TlsFiles, current: TlsMaterial) {
    this.#files = files;
    this.#current = current;
  }

  /** Reads and checks the files. */
  static open(files: TlsFiles): Checked<KeyStore> {
    return loadMaterial(files).map((material) => new KeyStore(files, material));
  }

  /** Certificate and key for new connections. */
  get current(): TlsMaterial {
    return this.#current;
  }

  /** Calls `listener` after each rotation. */
  onRotate(listener: (material: TlsMaterial) => void): void {
    this.#listeners.add(listener);
  }

  /**
   * Reads the files again and returns true when the certificate changed.
   * Invalid or partially written files have no effect: the current material
   * stays in use until a complete new set passes its check.
   */
  reload(): Checked<boolean> {
    return loadMaterial(this.#files).map((loaded) => this.#replace(loaded));
  }

  /** Reloads the files periodically until `signal` aborts. */
  run(log: Logger, signal: AbortSignal): void {
    void every(RELOAD_INTERVAL_MS, () => this.#poll(log), signal);
  }

  #replace(loaded: TlsMaterial): boolean {
    if (loaded.fingerprint === this.#current.fingerprint) return false;
    this.#current = loaded;
    this.#listeners.forEach((listener) => listener(loaded));
    return true;
  }

  #poll(log: Logger): Promise<void> {
    const reloaded = this.reload();
    if (reloaded.isErr()) {
      const detail = formatFindings(reloaded.error).replaceAll("\n", "; ");
      log.error("tls_reload_failed", { detail });
    } else if (reloaded.value) {
      log.info("tls_rotated", { fingerprint: this.#current.fingerprint });
    }
    this.#warnOfExpiry(log);
    return Promise.resolve();
  }

  #warnOfExpiry(log: Logger): void {
    const now = Date.now();
    const remainingMs = this.#current.expiresAt - now;
    if (remainingMs > EXPIRY_WARNING_MS || now < this.#nextWarningAt) return;
    this.#nextWarningAt = now + WARNING_INTERVAL_MS;
    log.warn("tls_expires_soon", { left_ms: remainingMs });
  }
}

function loadMaterial(files: TlsFiles): Checked<TlsMaterial> {
  const reads = [
    readPemFile(files.certFile, "$.tls.certFile"),
    readPemFile(files.keyFile, "$.tls.keyFile"),
    readPemFile(files.caFile, "$.tls.caFile"),
  ];
  const findings = reads.flatMap((result) => result.findings);
  if (findings.length > 0) return Err(findings);
  const [cert, key, ca] = reads.map((result) => result.text);
  return checkMaterial({ cert, key, ca } as PemTexts, Date.now());
}

function readPemFile(
  path: string,
  setting: string,
): { text: string; findings: readonly Finding[] } {
  try {
    return { text: readFileSync(path, "utf8"), findings: [] };
  } catch (err) {
    const finding = { path: setting, message: (err as Error).message };
    return { text: "", findings: [finding] };
  }
}
