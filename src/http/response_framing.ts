/**
 * Framing of responses that are skipped. It accepts less than HTTP/1.1 allows:
 * a response about which two parsers could disagree has no framing here.
 *
 * @module
 */

/** Field of a head; the name is in lower case, the value may end with blanks. */
export type ReceivedField = readonly [name: string, value: string];

/** Head of a response of HTTP/1.1, as received. */
export interface ReceivedHead {
  readonly status: number;
  readonly fields: readonly ReceivedField[];
}

/** State of the body of a response that is being skipped. */
export const BodyState = {
  Open: "open",
  Complete: "complete",
  /** The bytes do not delimit the body, or it is too large. */
  Failed: "failed",
} as const;
export type BodyState = typeof BodyState[keyof typeof BodyState];

/** Finds the end of the body of one response. */
export interface BodyEnd {
  readonly state: BodyState;
  /** Takes the next bytes; returns how many of them belong to the body. */
  push(bytes: Buffer): number;
}

const STATUS_LINE = /^HTTP\/1\.1 (\d{3})(?: [\t\x20-\x7e\x80-\xff]*)?$/;
const FIELD_LINE =
  /^([!#$%&'*+.^_`|~0-9A-Za-z-]+):[\t ]*([\t\x20-\x7e\x80-\xff]*)$/;
const LENGTH = /^\d{1,9}$/;
const CHUNK_SIZE = /^[0-9A-Fa-f]{1,7}\r\n$/;
const CRLF = "\r\n";
const LF = 0x0a;
/** Longest line of the framing of chunks: a size and its end. */
const MAX_CHUNK_LINE_BYTES = 9;
/** Statuses of responses without a body. */
const BODILESS_STATUSES: readonly number[] = [204, 304];

/**
 * Parses a head without its last blank line; undefined unless each line is well
 * formed.
 */
export function parseHead(text: string): ReceivedHead | undefined {
  const [first = "", ...lines] = text.split(CRLF);
  const status = STATUS_LINE.exec(first)?.[1];
  const fields = lines.flatMap((line) => {
    const [, name, value = ""] = FIELD_LINE.exec(line) ?? [];
    return name === undefined ? [] : [[name.toLowerCase(), value] as const];
  });
  if (status === undefined || fields.length < lines.length) return undefined;
  return { status: Number(status), fields };
}

/** Returns the values of a field; `name` is in lower case. */
export function valuesOf(
  { fields }: ReceivedHead,
  name: string,
): readonly string[] {
  return fields.filter(([field]) => field === name).map(([, value]) => value);
}

/**
 * Returns how the end of the body is found; undefined when the body may end in
 * another way, or the connection with it, or when it is larger than `maxBytes`.
 */
export function bodyEndOf(
  head: ReceivedHead,
  maxBytes: number,
): BodyEnd | undefined {
  const { status } = head;
  const [length, ...moreLengths] = valuesOf(head, "content-length");
  const codings = valuesOf(head, "transfer-encoding");
  const keepsAlive = valuesOf(head, "connection")
    .every((option) => option.toLowerCase() === "keep-alive");
  const isFinal = status >= 200 && status < 600;
  if (!isFinal || !keepsAlive || moreLengths.length > 0) return undefined;
  if (BODILESS_STATUSES.includes(status)) {
    const hasNone = codings.length === 0 && (length ?? "0") === "0";
    return hasNone ? new LengthBody(0) : undefined;
  }
  if (length === undefined) {
    const isChunked = codings.length === 1 &&
      codings[0]?.toLowerCase() === "chunked";
    return isChunked ? new ChunkedBody(maxBytes) : undefined;
  }
  const isSound = codings.length === 0 && LENGTH.test(length) &&
    Number(length) <= maxBytes;
  return isSound ? new LengthBody(Number(length)) : undefined;
}

/** Body with a known length. */
class LengthBody implements BodyEnd {
  #leftBytes: number;

  constructor(bytes: number) {
    this.#leftBytes = bytes;
  }

  get state(): BodyState {
    return this.#leftBytes > 0 ? BodyState.Open : BodyState.Complete;
  }

  push({ length }: Buffer): number {
    const taken = Math.min(length, this.#leftBytes);
    this.#leftBytes -= taken;
    return taken;
  }
}

/** Lines of the framing of chunks. */
const ChunkLine = {
  Size: "size",
  /** Ends the bytes of a chunk. */
  DataEnd: "data-end",
  /** Ends the body after a chunk of size 0; trailers are not accepted. */
  BodyEnd: "body-end",
} as const;
type ChunkLine = typeof ChunkLine[keyof typeof ChunkLine];

/** Body in chunks, without extensions and trailers. */
class ChunkedBody implements BodyEnd {
  #state: BodyState = BodyState.Open;
  #expected: ChunkLine = ChunkLine.Size;
  #line = "";
  /** Bytes of the current chunk that are still to come. */
  #leftBytes = 0;
  #maxBytes: number;

  /** `maxBytes` includes the framing. */
  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  get state(): BodyState {
    return this.#state;
  }

  push(bytes: Buffer): number {
    let taken = 0;
    while (taken < bytes.length && this.#state === BodyState.Open) {
      if (this.#leftBytes > 0) {
        const data = Math.min(this.#leftBytes, bytes.length - taken);
        this.#leftBytes -= data;
        taken += data;
      } else {
        this.#pushFraming(bytes[taken] ?? 0);
        taken++;
      }
    }
    this.#maxBytes -= taken;
    if (this.#maxBytes < 0) this.#state = BodyState.Failed;
    return taken;
  }

  #pushFraming(byte: number): void {
    this.#line += String.fromCharCode(byte);
    if (byte === LF) return this.#endLine(this.#line);
    if (this.#line.length >= MAX_CHUNK_LINE_BYTES) {
      this.#state = BodyState.Failed;
    }
  }

  #endLine(line: string): void {
    this.#line = "";
    const isSize = this.#expected === ChunkLine.Size;
    if (isSize ? !CHUNK_SIZE.test(line) : line !== CRLF) {
      this.#state = BodyState.Failed;
    } else if (isSize) {
      this.#leftBytes = Number.parseInt(line, 16);
      this.#expected = this.#leftBytes > 0
        ? ChunkLine.DataEnd
        : ChunkLine.BodyEnd;
    } else if (this.#expected === ChunkLine.DataEnd) {
      this.#expected = ChunkLine.Size;
    } else {
      this.#state = BodyState.Complete;
    }
  }
}
