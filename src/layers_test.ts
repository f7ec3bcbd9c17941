import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { test } from "node:test";
import { fileURLToPath } from "node:url";
import { checkAdapterImports, checkImports } from "./layers.ts";

const SRC = fileURLToPath(new URL("../../src/", import.meta.url));
const ADAPTER = fileURLToPath(new URL("../../platform/", import.meta.url));
/** Names of headers, calls and fields that only the adapter may know. */
const PLATFORM_NAMES = new RegExp(
  [
    "Server-Signature|Not-Executed|Expect-Instance|Server-Load|Instance-Id",
    "Cold-Start-Ms|Chunk-Count|Chunk-Key|Input-Count|Token-Usage|Prefix-Hash",
    "Kv-(Hold|Fetch|From|Backup)|/api/(rows|blob|stage|kv|hold)-",
    "CASSIAPOST_NODE_FILE|seedLagS|partitionWritesS|expectedRevision",
    "weightedServices|targetLatencyMs|coldRemainingMs|headroomMb",
  ].join("|"),
  "i",
);

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

test("checkAdapterImports() finds nothing in the adapter to the platform", () => {
  const sources = sourcesOf(ADAPTER);
  const findings = sources
    .flatMap(({ file, text }) => checkAdapterImports(file, text));
  assert.deepEqual(findings, []);
  assert.ok(sources.length > 5);
});

test("checkAdapterImports() finds imports of entries and deep imports", () => {
  const text = 'import { a } from "../src/entry/mod.ts";\n' +
    'import { b } from "../src/gateway/peers.ts";';
  assert.equal(checkAdapterImports("main.ts", text).length, 2);
});

test("the platform's names stand only in its adapter", () => {
  const found = sourcesOf(SRC)
    .flatMap(({ file, text }) =>
      PLATFORM_NAMES.test(text) ? [`${file}: ${PLATFORM_NAMES.exec(text)}`] : []
    );
  assert.deepEqual(found, []);
  const own = sourcesOf(ADAPTER).map(({ text }) => text).join("\n");
  assert.ok(PLATFORM_NAMES.test(own));
});
