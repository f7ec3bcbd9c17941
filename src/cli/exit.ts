/**
 * Exit codes of the command line and errors that carry them.
 *
 * @module
 */

/** Exit codes that scripts rely on. */
export const ExitCode = {
  Done: 0,
  /** Refused, failed, or not in force within the wait. */
  Refused: 1,
  /** Invalid usage, settings or lists. */
  Usage: 2,
} as const;
export type ExitCode = typeof ExitCode[keyof typeof ExitCode];

/** Ends a command with an exit code and a message. */
export class CommandError extends Error {
  override readonly name = "CommandError";
  readonly code: ExitCode;

  constructor(code: ExitCode, message: string) {
    super(message);
    this.code = code;
  }
}
