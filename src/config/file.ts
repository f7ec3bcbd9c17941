/**
 * Reading and validation of JSON files.
 *
 * @module
 */

import { readFileSync } from "node:fs";
import { Err } from "ts-results-es";
import type { z } from "zod";
import { type Checked, checkJson } from "./finding.ts";

/** Reads a JSON file and checks it against a schema. */
export function readChecked<T>(path: string, schema: z.ZodType<T>): Checked<T> {
  try {
    return checkJson(schema, readFileSync(path, "utf8"));
  } catch (err) {
    return Err([{ path: "$", message: (err as Error).message }]);
  }
}
