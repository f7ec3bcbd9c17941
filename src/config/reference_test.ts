import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { fileURLToPath } from "node:url";
import { readChecked } from "./file.ts";
import { settingsReference } from "./reference.ts";
import { agentSettingsSchema, entrySettingsSchema } from "./settings.ts";

const pathOf = (path: string) =>
  fileURLToPath(new URL(`../../../${path}`, import.meta.url));
const normalise = (text: string) => text.replaceAll(/[\s-]+/g, " ");

test("settingsReference() equals docs/CONFIGURATION.md", () => {
  const page = readFileSync(pathOf("docs/CONFIGURATION.md"), "utf8");
  assert.equal(
    normalise(page),
    normalise(settingsReference()),
    "Run npm run docs:settings",
  );
});

test("The sample settings are valid", () => {
  const entry = readChecked(
    pathOf("samples/settings/entry.json"),
    entrySettingsSchema,
  );
  const agent = readChecked(
    pathOf("samples/settings/agent.json"),
    agentSettingsSchema,
  );
  assert.deepEqual([entry.isOk(), agent.isOk()], [true, true]);
});
