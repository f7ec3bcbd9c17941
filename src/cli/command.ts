/**
 * Registration of command groups, and flags and environment variables that
 * several groups share.
 *
 * @module
 */

import type { CAC } from "cac";
import { KeyStore, type TlsFiles } from "../tls/mod.ts";
import { unwrapChecked } from "./daemon.ts";
import { CommandError, ExitCode } from "./exit.ts";

/** Registers a group of commands. */
export type RegisterCommands = (cli: CAC) => void;

/** Environment variable that is read when the flag `--table` is missing. */
export const TABLE_URL_VARIABLE = "CASSIAPOST_TABLE_URL";

/** Returns the value of a required flag; throws a usage error without one. */
export function requireFlag(value: string | undefined, flag: string): string {
  if (typeof value === "string" && value !== "") return value;
  throw new CommandError(ExitCode.Usage, `${flag} is required but not set`);
}

/** Returns the URL of the table service from the flag or the environment. */
export function tableUrlOf(flags: { readonly table?: string }): string {
  const value = flags.table ?? process.env[TABLE_URL_VARIABLE];
  const url = requireFlag(value, `--table (or ${TABLE_URL_VARIABLE})`);
  if (URL.canParse(url)) return url;
  throw new CommandError(
    ExitCode.Usage,
    `Invalid URL of the table service: ${url}`,
  );
}

/** Environment variables with the paths of the operator's certificate files. */
export const TLS_VARIABLES = {
  certFile: "CASSIAPOST_TLS_CERT",
  keyFile: "CASSIAPOST_TLS_KEY",
  caFile: "CASSIAPOST_TLS_CA",
} as const satisfies Record<keyof TlsFiles, string>;

/** Opens the operator's certificate; undefined when no variable is set. */
export function operatorKeyStore(): KeyStore | undefined {
  const { certFile, keyFile, caFile } = TLS_VARIABLES;
  const names = [certFile, keyFile, caFile];
  if (names.every((name) => process.env[name] === undefined)) return undefined;
  const [cert, key, ca] = names.map((name) =>
    requireFlag(process.env[name], name)
  );
  const files = { certFile: cert, keyFile: key, caFile: ca } as TlsFiles;
  return unwrapChecked("The operator's certificate", KeyStore.open(files));
}
