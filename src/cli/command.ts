/**
 * What a group of commands adds to the command line, and checks of flags that
 * several groups share.
 *
 * @module
 */

import type { CAC } from "cac";
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
