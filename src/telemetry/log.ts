/**
 * Structured logs: one line of key=value pairs for each event.
 *
 * @module
 */

import { pino } from "pino";
import * as pinoLogfmt from "pino-logfmt";

/** Fields of a log event. Values are scalars. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Writes log events. Event names are stable: operators search for them. */
export interface Logger {
  debug(event: string, fields?: LogFields): void;
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  error(event: string, fields?: LogFields): void;
}

/** Least severe level that is written. */
export const LogLevel = {
  Debug: "debug",
  Info: "info",
  Warn: "warn",
  Error: "error",
  Silent: "silent",
} as const;
export type LogLevel = typeof LogLevel[keyof typeof LogLevel];

/** Field names whose values are never written. */
const SECRET_FIELDS = ["key", "authorization", "secret", "token", "password"];

const STDERR_FD = 2;
const TIME_FORMAT = "UTC:yyyy-mm-dd'T'HH:MM:ss.l'Z'";

/** Default export of `pino-logfmt`, which its own typings leave out. */
type LogfmtFactory = (
  opts: pinoLogfmt.LogFmtTransportOptions,
) => Promise<NodeJS.WritableStream>;

/** Makes a logger that writes to standard error. `fields` go with each event. */
export async function createLogger(
  opts: { level: LogLevel; fields?: LogFields },
): Promise<Logger> {
  const { default: createStream } = pinoLogfmt as unknown as {
    default: LogfmtFactory;
  };
  const stream = await createStream({
    destination: STDERR_FD,
    sync: true,
    includeLevelLabel: true,
    levelLabelKey: "level",
    formatTime: true,
    timeFormat: TIME_FORMAT,
    escapeMultilineStrings: true,
  });
  const out = pino({
    level: opts.level,
    base: opts.fields ?? {},
    redact: [...SECRET_FIELDS],
    messageKey: "event",
  }, stream);
  return {
    debug: (event, fields) => out.debug(fields ?? {}, event),
    info: (event, fields) => out.info(fields ?? {}, event),
    warn: (event, fields) => out.warn(fields ?? {}, event),
    error: (event, fields) => out.error(fields ?? {}, event),
  };
}

const STDOUT_FD = 1;
/** Bytes that are collected before they are written. */
const WRITE_BYTES = 4_096;
/** Bytes that wait for a slow reader; lines beyond are dropped and counted. */
const MAX_WAITING_BYTES = 1_048_576;
/** Pause between writes of what was collected, in milliseconds. */
const FLUSH_MS = 250;

/**
 * Makes a logger that writes one JSON object a line to standard output. It
 * never waits for the reader: lines are dropped when too many bytes wait, and
 * the next line that is written says how many.
 */
export function createLineLogger(
  opts: { level: LogLevel; fields?: LogFields },
): Logger {
  const stream = pino.destination({
    dest: STDOUT_FD,
    sync: false,
    minLength: WRITE_BYTES,
    maxLength: MAX_WAITING_BYTES,
  });
  let dropped = 0;
  stream.on("drop", () => dropped += 1);
  setInterval(() => stream.flush(), FLUSH_MS).unref();
  const out = pino({
    level: opts.level,
    base: opts.fields ?? {},
    redact: [...SECRET_FIELDS],
    messageKey: "event",
    timestamp: pino.stdTimeFunctions.isoTime,
  }, stream);
  const write =
    (level: "debug" | "info" | "warn" | "error") =>
    (event: string, fields?: LogFields) => {
      const lost = dropped;
      dropped = 0;
      out[level](lost > 0 ? { ...fields, droppedLines: lost } : fields, event);
    };
  return {
    debug: write("debug"),
    info: write("info"),
    warn: write("warn"),
    error: write("error"),
  };
}

/** Logger that drops everything, for tests. */
export const SILENT_LOGGER: Logger = {
  debug: () => {},
  info: () => {},
  warn: () => {},
  error: () => {},
};
