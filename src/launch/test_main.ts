/**
 * Program that runs all tests and ignores only the failures that are listed in
 * `KNOWN-RED.txt`.
 *
 * @module
 */

import { existsSync, readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { run } from "node:test";
import { tap } from "node:test/reporters";
import { fileURLToPath } from "node:url";
import { classifyFailures, parseKnownRed } from "./known_red.ts";

const ROOT = fileURLToPath(new URL("../../../", import.meta.url));
const TESTS = [join(ROOT, "dist", "src"), join(ROOT, "dist", "platform")];
const KNOWN_RED = join(ROOT, "KNOWN-RED.txt");

const files = TESTS.flatMap((folder) =>
  (readdirSync(folder, { recursive: true }) as string[])
    .filter((file) => file.endsWith("_test.js"))
    .sort()
    .map((file) => join(folder, file))
);

const failed: string[] = [];
const stream = run({ files, concurrency: true });
stream.on("test:fail", ({ name, details }) => {
  if (details.type !== "suite") failed.push(name);
});
stream.on("end", finish);
stream.compose(tap).pipe(process.stdout);

function finish(): void {
  const known = existsSync(KNOWN_RED)
    ? parseKnownRed(readFileSync(KNOWN_RED, "utf8"))
    : [];
  const { unexpected, expected, fixed } = classifyFailures(failed, known);
  expected.forEach(({ text }) => console.error(`known red, failed:\n${text}`));
  fixed.forEach(({ test }) =>
    console.error(`known red, but it passed; remove its entry: ${test}`)
  );
  unexpected.forEach((name) => console.error(`failed: ${name}`));
  process.exitCode = unexpected.length === 0 ? 0 : 1;
}
