/**
 * Program that serves stand-ins; a development tool.
 *
 * @module
 */

import { formatFindings, readChecked } from "../config/mod.ts";
import { standInSettingsSchema, startStandIns } from "../standin/mod.ts";

const path = process.argv[2] ?? "";
const checked = readChecked(path, standInSettingsSchema);
if (checked.isErr()) {
  console.error(formatFindings(checked.error));
  process.exit(2);
}
await startStandIns(checked.value);
process.once("SIGTERM", () => process.exit(0));
