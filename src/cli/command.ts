/**
 * What a group of commands adds to the command line, and checks of flags that
 * several groups share.
 *
 * @module
 */

import type { CAC } from "cac";
import { KeyStore, type TlsFiles } from "../tls/mod.ts";
import { checkedOrFail } from "./daemon.ts";
import { CommandError, ExitCode } from "./exit.ts";

/** Adds commands to the command line. */
export type RegisterCommands = (cli: CAC) => void;

/** Environment variable that stands in for the flag `--table`. */
export const TABLE_URL_VARIABLE = "CASSIAPOST_TABLE_URL";

/** Value of a required flag; a usage error without one. */
export function requireFlag(value: string | undefined, flag: string): string {
  if (typeof value === "string" && value !== "") return value;
  throw new CommandError(ExitCode.Usage, `The option ${flag} is missing`);
}

/** URL of the table service from the flag or the environment. */
export function tableUrlOf(flags: { readonly table?: string }): string {
  const value = flags.table ?? process.env[TABLE_URL_VARIABLE];
  const url = requireFlag(value, `--table (or ${TABLE_URL_VARIABLE})`);
  if (URL.canParse(url)) return url;
  throw new CommandError(ExitCode.Usage, `Not a URL: ${url}`);
}

/** Environment variables that name the operator's certificate files. */
export const TLS_VARIABLES = {
  certFile: "CASSIAPOST_TLS_CERT",
  keyFile: "CASSIAPOST_TLS_KEY",
  caFile: "CASSIAPOST_TLS_CA",
} as const satisfies Record<keyof TlsFiles, string>;

/** Certificate for a fleet with TLS; undefined when no variable is set. */
export function fleetKeys(): KeyStore | undefined {
  const { certFile, keyFile, caFile } = TLS_VARIABLES;
  const names = [certFile, keyFile, caFile];
  if (names.every((name) => process.env[name] === undefined)) return undefined;
  const [cert, key, ca] = names.map((name) =>
    requireFlag(process.env[name], name)
  );
  const files = { certFile: cert, keyFile: key, caFile: ca } as TlsFiles;
  return checkedOrFail("The operator's certificate", KeyStore.open(files));
}
