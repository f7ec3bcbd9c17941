import assert from "node:assert/strict";
import { test } from "node:test";
import { runApp } from "./app.ts";
import { CommandError, ExitCode } from "./exit.ts";

const run = async (...args: string[]) => {
  const lines: string[] = [];
  const code = await runApp(["node", "cassiapost", ...args], {
    version: "1",
    groups: [(cli) => {
      cli.command("entry", "Run").option("--settings <file>", "File")
        .action(() => {});
      cli.command("refuse", "Refuse").action(() => {
        throw new CommandError(ExitCode.Refused, "no");
      });
    }],
    printError: (line) => lines.push(line),
  });
  return { code, lines };
};

test("runApp() runs the named command", async () => {
  assert.deepEqual(await run("entry"), { code: ExitCode.Done, lines: [] });
});

test("runApp() returns the exit code of a refused command", async () => {
  assert.deepEqual(await run("refuse"), {
    code: ExitCode.Refused,
    lines: ["no"],
  });
});

test("runApp() reports missing and unknown commands and unknown flags as usage errors", async () => {
  const codes = [await run(), await run("entri"), await run("entry", "--x")]
    .map(({ code }) => code);
  assert.deepEqual(codes, [ExitCode.Usage, ExitCode.Usage, ExitCode.Usage]);
});

test("runApp() suggests the most similar command", async () => {
  const { lines } = await run("entri");
  assert.deepEqual(lines, ["Unknown command entri; did you mean entry?"]);
});
