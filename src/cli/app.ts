/**
 * The command line as a function from arguments to an exit code.
 *
 * @module
 */

import { type CAC, cac } from "cac";
import { closest } from "fastest-levenshtein";
import type { RegisterCommands } from "./command.ts";
import { CommandError, ExitCode } from "./exit.ts";

/** What a command line is made of. */
export interface AppOptions {
  readonly version: string;
  readonly groups: readonly RegisterCommands[];
  /** Writes one line of a message about bad usage or a failure. */
  readonly complain: (line: string) => void;
}

/** Runs the command that `argv` names and gives the exit code. */
export async function runApp(
  argv: readonly string[],
  opts: AppOptions,
): Promise<ExitCode> {
  const cli = cac("cassiapost");
  opts.groups.forEach((register) => register(cli));
  cli.help();
  cli.version(opts.version);
  try {
    cli.parse([...argv], { run: false });
    if (cli.options.help || cli.options.version) return ExitCode.Done;
    if (!cli.matchedCommand) throw unknownCommand(cli);
    await cli.runMatchedCommand();
    return ExitCode.Done;
  } catch (err) {
    opts.complain((err as Error).message);
    return err instanceof CommandError ? err.code : ExitCode.Usage;
  }
}

function unknownCommand(cli: CAC): CommandError {
  const names = cli.commands.map(({ name }) => name);
  const [asked] = cli.args;
  const message = asked === undefined
    ? `Name a command: ${names.join(", ")}`
    : `No command is called ${asked}; did you mean ${closest(asked, names)}?`;
  return new CommandError(ExitCode.Usage, message);
}
