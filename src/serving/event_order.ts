/**
 * Checks that bytes are events of one stream, with increasing identifiers.
 *
 * A target that fails may write other text where events are expected: an error
 * page, or the whole head of another response. A target that is asked to go on
 * with a stream may also begin it anew.
 *
 * @module
 */

/** Events that were checked. */
export interface CheckedEvents {
  /** Length of the events before the first one that is none, in characters. */
  readonly length: number;
  /** Identifier of the last one that has any. */
  readonly lastId?: string;
  /** Why the text after them is no event of the stream. */
  readonly fault?: string;
}

/** Start of a line: an optional field name, then a colon. */
const FIELD = /^([A-Za-z][\w.-]*)?(?::|$)/;
/** The same where no identifier shows that the lines are no HTTP headers. */
const BARE_FIELD = /^([a-z][a-z0-9_-]*)?(?::|$)/;
/** Line of an event that carries nothing of the stream. */
const CONTROL_LINE = /^(?::|retry:)/;
const NUMBER = /^\d+$/;
/** Its bytes in UTF-8, each read as one character. */
const BYTE_ORDER_MARK = "\u00EF\u00BB\u00BF";

/** Checks the events of one response. */
export class EventOrder {
  #lastId: string | undefined;
  /** True until the first event after those of another response. */
  #isJoin: boolean;
  #isStart = true;

  /** `after` identifies the last event of the stream that the caller has. */
  constructor(after?: string) {
    this.#lastId = after || undefined;
    this.#isJoin = this.#lastId !== undefined;
  }

  /** Checks text that ends with a blank line. */
  check(text: string): CheckedEvents {
    let lastId: string | undefined;
    let length = 0;
    let fields: string[] = [];
    for (let at = 0; at < text.length;) {
      const end = text.indexOf("\n", at);
      const line = text.slice(at, text[end - 1] === "\r" ? end - 1 : end);
      at = end + 1;
      if (line !== "") {
        fields.push(this.#withoutMark(line));
        continue;
      }
      const id = idOf(fields);
      const fault = this.#faultOf(fields, id);
      if (fault !== undefined) return { length, lastId, fault };
      this.#record(id);
      lastId = id ?? lastId;
      length = at;
      fields = [];
    }
    return { length, lastId };
  }

  /** Removes the mark that may begin the first line. */
  #withoutMark(line: string): string {
    const isMarked = this.#isStart && line.startsWith(BYTE_ORDER_MARK);
    this.#isStart = false;
    return isMarked ? line.slice(BYTE_ORDER_MARK.length) : line;
  }

  #faultOf(
    fields: readonly string[],
    id: string | undefined,
  ): string | undefined {
    const field = id === undefined ? BARE_FIELD : FIELD;
    if (!fields.every((line) => field.test(line))) return "no event";
    if (id === undefined) {
      const isControl = fields.every((line) => CONTROL_LINE.test(line));
      return this.#isJoin && !isControl
        ? "event without identifier"
        : undefined;
    }
    return isAfter(id, this.#lastId) ? undefined : "event out of order";
  }

  #record(id: string | undefined): void {
    if (id === undefined) return;
    this.#lastId = id;
    this.#isJoin = false;
  }
}

function idOf(fields: readonly string[]): string | undefined {
  return fields.findLast((line) => line.startsWith("id:"))
    ?.slice("id:".length).trim();
}

/** True unless both are numbers and the first one is not the greater one. */
function isAfter(id: string, last: string | undefined): boolean {
  if (last === undefined || !NUMBER.test(id) || !NUMBER.test(last)) return true;
  return BigInt(id) > BigInt(last);
}
