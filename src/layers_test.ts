import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { test } from "node:test";
import { fileURLToPath } from "node:url";
import { checkAdapterImports, checkImports } from "./layers.ts";

const SRC = fileURLToPath(new URL("../../src/", import.meta.url));
const ADAPTER = fileURLToPath(new URL("../../platform/", import.meta.url));
function sourcesOf(folder: string): { file: string; text: string }[] {
  return (readdirSync(folder, { recursive: true }) as string[])
    .filter((file) => file.endsWith(".ts") && !file.endsWith("_test.ts"))
    .map((file) => ({ file, text: readFileSync(join(folder, file), "utf8") }));
}

test("checkImports() finds nothing in the source tree", () => {
  const files = (readdirSync(SRC, { recursive: true }) as string[])
    .filter((file) => file.endsWith(".ts") && !file.endsWith("_test.ts"));
  const findings = files.flatMap((file) =>
    checkImports(file, readFileSync(join(SRC, file), "utf8"))
  );
  assert.deepEqual(findings, []);
  assert.ok(files.length > 50);
});

test("checkImports() reports upward and deep imports", () => {
  const text = 'import { a } from "../entry/mod.ts";\n' +
    'import { b } from "../model/ids.ts";';
  const messages = checkImports("limits/gate.ts", text)
    .map(({ message }) => message);
  assert.deepEqual(messages, [
    "entry is not below limits",
    "Import the folder's mod.ts",
  ]);
});

test("checkAdapterImports() finds nothing in the platform adapter", () => {
  const sources = sourcesOf(ADAPTER);
  const findings = sources
    .flatMap(({ file, text }) => checkAdapterImports(file, text));
  assert.deepEqual(findings, []);
  assert.ok(sources.length > 5);
});

test("checkAdapterImports() reports imports of entries and deep imports", () => {
  const text = 'import { a } from "../src/entry/mod.ts";\n' +
    'import { b } from "../src/gateway/peers.ts";';
  assert.equal(checkAdapterImports("main.ts", text).length, 2);
});
