/**
 * Command that asks a gateway where it would send a request now, and why.
 *
 * @module
 */

import type { CAC } from "cac";
import {
  EntryPeerClients,
  type ExplainAnswer,
  type ExplainRequest,
  UnsupportedCallError,
} from "../wire/mod.ts";
import { requireFlag } from "./command.ts";
import { CommandError, ExitCode } from "./exit.ts";
import { linesOf, notesOf } from "./explain_text.ts";

/** Longest wait for the answer of a gateway, in milliseconds. */
const ANSWER_TIMEOUT_MS = 5_000;
const ADDRESS_PATTERN = /^[^\s/@]+:\d+$/;
const TOKENS_PATTERN = /^(\d+),(\d+)$/;

/** Adds `explain-route`. */
export function explainCommands(cli: CAC): void {
  cli.command(
    "explain-route",
    "Show where a gateway would send a request now, and why",
  )
    .option("--gateway <address>", "Control address of the gateway, IP:PORT")
    .option("--host <name>", "Host name of the request")
    .option("--path <path>", "Path of the request")
    .option("--key <key>", "Key of the caller; it is not shown or logged")
    .option("--request-id <id>", "Identifier of the request")
    .option(
      "--prefix <segments>",
      "Segments of the prompt, A,B or A:TOKENS,B:TOKENS",
    )
    .option("--tokens <counts>", "Token counts, PROMPT,MAX")
    .option("--resumes <attempt>", "Attempt that began the resumed stream")
    .option("--json", "Print JSON")
    .action((flags: { readonly json?: boolean }) =>
      runExplain(cli.rawArgs, flags.json ?? false)
    );
}

async function runExplain(
  args: readonly string[],
  isJson: boolean,
): Promise<void> {
  const address = requireFlag(textFlag(args, "gateway"), "--gateway");
  if (!ADDRESS_PATTERN.test(address)) {
    throw new CommandError(ExitCode.Usage, "--gateway must be IP:PORT");
  }
  const answer = await ask(address, requestOf(args));
  if (answer.kind === "rejected") {
    throw new CommandError(
      ExitCode.Refused,
      `The gateway at ${address} finds no target: ${answer.reason}`,
    );
  }
  const { explanation } = answer;
  if (isJson) {
    const notes = notesOf(explanation);
    return console.log(JSON.stringify({ ...explanation, notes }));
  }
  linesOf(explanation).forEach((line) => console.log(line));
}

async function ask(
  address: string,
  request: ExplainRequest,
): Promise<ExplainAnswer> {
  const clients = new EntryPeerClients();
  try {
    return await clients
      .explainRoute(`http://${address}`, request, ANSWER_TIMEOUT_MS);
  } catch (err) {
    throw new CommandError(ExitCode.Refused, problemOf(address, err));
  } finally {
    await clients.close();
  }
}

function problemOf(address: string, err: unknown): string {
  if (err instanceof UnsupportedCallError) {
    return `The gateway at ${address} is of a build that cannot explain ` +
      `routes: ask one of a newer build`;
  }
  const [detail] = (err as Error).message.split("\n", 1);
  return `No answer from a gateway's control address at ${address}: ${detail}`;
}

/** Returns the request that the arguments describe. */
export function requestOf(args: readonly string[]): ExplainRequest {
  const path = requireFlag(textFlag(args, "path"), "--path");
  if (!path.startsWith("/")) {
    throw new CommandError(ExitCode.Usage, "--path must begin with /");
  }
  // Callers name a segment with its number of tokens, as `ID:TOKENS`.
  const parts = textFlag(args, "prefix")?.split(",")
    .map((part) => part.split(":", 2)) ?? [];
  return {
    hostname: requireFlag(textFlag(args, "host"), "--host"),
    path,
    key: textFlag(args, "key"),
    id: textFlag(args, "request-id"),
    promptParts: parts.map(([name = ""]) => name),
    promptPartTokens: parts.map(([, tokens]) => Number(tokens) || 0),
    tokens: tokensOf(textFlag(args, "tokens")),
    resumes: textFlag(args, "resumes"),
  };
}

function tokensOf(text: string | undefined): ExplainRequest["tokens"] {
  if (text === undefined) return undefined;
  const [, prompt, output] = TOKENS_PATTERN.exec(text) ?? [];
  if (prompt === undefined) {
    throw new CommandError(ExitCode.Usage, "--tokens must be PROMPT,MAX");
  }
  return { prompt: Number(prompt), output: Number(output) };
}

/**
 * Returns the value of a flag as it was given, undefined without one. The parser
 * of the command line turns what looks like a number into one, so that `007` and
 * `1e5` as keys or segments would be changed.
 */
function textFlag(args: readonly string[], name: string): string | undefined {
  const values = args.flatMap((arg, i) => {
    if (arg === `--${name}`) return args[i + 1] ?? [];
    return arg.startsWith(`--${name}=`) ? [arg.slice(name.length + 3)] : [];
  });
  return values.at(-1);
}
