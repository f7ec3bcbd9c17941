/**
 * Keeps a process's certificate and key current while files are rotated.
 *
 * @module
 */

import { readFileSync } from "node:fs";
import { Err } from "ts-results-es";
import { type Checked, type Finding, formatFindings } from "../config/mod.ts";
import { every } from "../kernel/mod.ts";
import type { Logger } from "../telemetry/mod.ts";
import { checkMaterial, type PemTexts, type TlsMaterial } from "./material.ts";

/** Where the PEM files are. */
export interface TlsFiles {
  readonly certFile: string;
  readonly keyFile: string;
  readonly caFile: string;
}

/** Time between two looks at the files, in milliseconds. */
const RELOAD_MS = 10_000;
/** Time between two warnings of expiry, in milliseconds. */
const WARNING_PERIOD_MS = 3_600_000;
/** Time before expiry from which a warning is logged, in milliseconds. */
const EXPIRY_WARNING_MS = 7 * 24 * 3_600_000;

/** Current material of a process. */
export class KeyStore {
  readonly #files: TlsFiles;
  readonly #listeners = new Set<(material: TlsMaterial) => void>();
  #current: TlsMaterial;
  #warnAt = 0;

  private constructor(files: TlsFiles, current: TlsMaterial) {
    this.#files = files;
    this.#current = current;
  }

  /** Reads and checks the files. */
  static open(files: TlsFiles): Checked<KeyStore> {
    return load(files).map((material) => new KeyStore(files, material));
  }

  /** Material for new connections. */
  get current(): TlsMaterial {
    return this.#current;
  }

  /** Calls `listen` after each rotation. */
  onRotate(listen: (material: TlsMaterial) => void): void {
    this.#listeners.add(listen);
  }

  /**
   * Reads the files again. Faulty or half-written files change nothing: the
   * present material stays in use until a whole new set passes its check.
   */
  reload(): Checked<boolean> {
    return load(this.#files).map((fresh) => this.#replace(fresh));
  }

  /** Follows the files until `signal` aborts. */
  run(log: Logger, signal: AbortSignal): void {
    void every(RELOAD_MS, () => this.#look(log), signal);
  }

  #replace(fresh: TlsMaterial): boolean {
    if (fresh.fingerprint === this.#current.fingerprint) return false;
    this.#current = fresh;
    this.#listeners.forEach((listen) => listen(fresh));
    return true;
  }

  #look(log: Logger): Promise<void> {
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
    const leftMs = this.#current.expiresAt - now;
    if (leftMs > EXPIRY_WARNING_MS || now < this.#warnAt) return;
    this.#warnAt = now + WARNING_PERIOD_MS;
    log.warn("tls_expires_soon", { left_ms: leftMs });
  }
}

function load(files: TlsFiles): Checked<TlsMaterial> {
  const reads = [
    read(files.certFile, "$.tls.certFile"),
    read(files.keyFile, "$.tls.keyFile"),
    read(files.caFile, "$.tls.caFile"),
  ];
  const findings = reads.flatMap((one) => one.findings);
  if (findings.length > 0) return Err(findings);
  const [cert, key, ca] = reads.map((one) => one.text);
  return checkMaterial({ cert, key, ca } as PemTexts, Date.now());
}

function read(
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
