/**
 * The command line as a function from arguments to an exit code.
 *
 * @module
 */

import { type CAC, cac } from "cac";
import { closest } from "fastest-levenshtein";
import type { RegisterCommands } from "./command.ts";
import { CommandError, ExitCode } from "./exit.ts";

/** Options of the command line. */
export interface AppOptions {
  readonly version: string;
  readonly groups: readonly RegisterCommands[];
  /** Prints the message of a usage error or a failed command. */
  readonly printError: (line: string) => void;
}

/** Runs the command named in `argv` and resolves with the exit code. */
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
    opts.printError((err as Error).message);
    return err instanceof CommandError ? err.code : ExitCode.Usage;
  }
}

function unknownCommand(cli: CAC): CommandError {
  const names = cli.commands.map(({ name }) => name);
  const [command] = cli.args;
  const message = command === undefined
    ? `No command given; the commands are ${names.join(", ")}`
    : `Unknown command ${command}; did you mean ${closest(command, names)}?`;
  return new CommandError(ExitCode.Usage, message);
}
