/**
 * Structured logs: one line per event, as key=value pairs or as JSON.
 *
 * @module
 */

import { pino } from "pino";
import * as pinoLogfmt from "pino-logfmt";

/** Fields of a log event; their values are scalars. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Writes log events. Event names are stable; operators search for them. */
export interface Logger {
  debug(event: string, fields?: LogFields): void;
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  error(event: string, fields?: LogFields): void;
}

/** Minimum severity of the events that are written. */
export const LogLevel = {
  Debug: "debug",
  Info: "info",
  Warn: "warn",
  Error: "error",
  Silent: "silent",
} as const;
export type LogLevel = typeof LogLevel[keyof typeof LogLevel];

/** Names of fields whose values are redacted. */
const SECRET_FIELDS = ["key", "authorization", "secret", "token", "password"];

const STDERR_FD = 2;
const TIME_FORMAT = "UTC:yyyy-mm-dd'T'HH:MM:ss.l'Z'";

/** Default export of `pino-logfmt`, which is missing in its typings. */
type LogfmtFactory = (
  opts: pinoLogfmt.LogFmtTransportOptions,
) => Promise<NodeJS.WritableStream>;

/**
 * Creates a logger that writes key=value lines to standard error. `fields` are
 * added to each event.
 */
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
/** Number of buffered bytes that triggers a write. */
const MIN_WRITE_BYTES = 4_096;
/** Maximum size of the buffer; lines beyond it are discarded and counted. */
const MAX_BUFFERED_BYTES = 1_048_576;
/** Interval at which the buffer is flushed, in milliseconds. */
const FLUSH_INTERVAL_MS = 250;

/**
 * Creates a logger that writes one JSON object per line to standard output. It
 * never blocks on a slow reader: lines are discarded while the buffer is full,
 * and the next line that is written has their number in `droppedLines`.
 */
export function createJsonLogger(
  opts: { level: LogLevel; fields?: LogFields },
): Logger {
  const stream = pino.destination({
    dest: STDOUT_FD,
    sync: false,
    minLength: MIN_WRITE_BYTES,
    maxLength: MAX_BUFFERED_BYTES,
  });
  let discarded = 0;
  stream.on("drop", () => discarded += 1);
  setInterval(() => stream.flush(), FLUSH_INTERVAL_MS).unref();
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
      const droppedLines = discarded;
      discarded = 0;
      out[level](
        droppedLines > 0 ? { ...fields, droppedLines } : fields,
        event,
      );
    };
  return {
    debug: write("debug"),
    info: write("info"),
    warn: write("warn"),
    error: write("error"),
  };
}

/** Logger that discards all events, for tests. */
export const SILENT_LOGGER: Logger = {
  debug: () => {},
  info: () => {},
  warn: () => {},
  error: () => {},
};
