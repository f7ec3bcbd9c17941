import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { test } from "node:test";
import { fileURLToPath } from "node:url";
import { checkImports } from "./layers.ts";

const SRC = fileURLToPath(new URL("../../src/", import.meta.url));

test("checkImports() finds nothing in the source tree", () => {
  const files = (readdirSync(SRC, { recursive: true }) as string[])
    .filter((file) => file.endsWith(".ts") && !file.endsWith("_test.ts"));
  const findings = files.flatMap((file) =>
    checkImports(file, readFileSync(join(SRC, file), "utf8"))
  );
  assert.deepEqual(findings, []);
  assert.ok(files.length > 50);
});

test("checkImports() finds upward and deep imports", () => {
  const text = 'import { a } from "../entry/mod.ts";\n' +
    'import { b } from "../model/ids.ts";';
  const messages = checkImports("limits/gate.ts", text)
    .map(({ message }) => message);
  assert.deepEqual(messages, [
    "entry is not below limits",
    "Import the folder's mod.ts",
  ]);
});
