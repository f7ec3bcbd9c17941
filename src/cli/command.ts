/**
 * What a group of commands adds to the command line.
 *
 * @module
 */

import type { CAC } from "cac";

/** Adds commands to the command line. */
export type RegisterCommands = (cli: CAC) => void;

/** Default URL of the table service, from the environment. */
export function defaultTableUrl(): string | undefined {
  return process.env.CASSIAPOST_TABLE_URL;
}
