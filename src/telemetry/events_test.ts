import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { test } from "node:test";
import { fileURLToPath } from "node:url";

const ROOT = fileURLToPath(new URL("../../../", import.meta.url));
const EVENT_PATTERN = /\.(?:info|warn|error)\(\s*"([a-z]+(?:_[a-z]+)*)"/g;

const readTexts = (folder: string, matches: (file: string) => boolean) =>
  (readdirSync(join(ROOT, folder), { recursive: true }) as string[])
    .filter(matches)
    .map((file) => readFileSync(join(ROOT, folder, file), "utf8"));

test("Every log event is documented for operators", () => {
  const isSource = (file: string) =>
    file.endsWith(".ts") && !file.endsWith("_test.ts");
  const sources = [
    ...readTexts("src", isSource),
    ...readTexts("platform", isSource),
  ];
  const pages = readTexts("docs", (file) => file.endsWith(".md")).join("\n");
  const events = sources.flatMap((text) =>
    [...text.matchAll(EVENT_PATTERN)].map(([, name]) => name ?? "")
  );
  assert.ok(events.length > 20);
  const missing = events.filter((name) => !pages.includes(`\`${name}\``));
  assert.deepEqual([...new Set(missing)], []);
});
