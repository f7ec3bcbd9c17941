/**
 * Skips responses to other requests in front of the parser of a client.
 *
 * A faulty server may write an earlier response once more, where the response
 * to the current request is expected. A client ties one response to one request,
 * so it would take the earlier response for that of the current request.
 *
 * Only a response that is whole, delimited and names another request is skipped.
 * The parser gets everything else as it arrives.
 *
 * @module
 */

import type { Socket } from "node:net";
import {
  type BodyEnd,
  bodyEndOf,
  BodyState,
  parseHead,
  valuesOf,
} from "./response_framing.ts";

/** Responses that are skipped before that to one request at most. */
const MAX_SKIPPED_RESPONSES = 4;
/** Bytes that are skipped before the response to one request at most. */
const MAX_SKIPPED_BYTES = 512 * 1024;
/** Largest head of a response that is skipped, in bytes. */
const MAX_HEAD_BYTES = 16 * 1024;

/**
 * Longest pause inside bytes that are held or skipped, in milliseconds: sound
 * servers may pause for a second. What is longer is no response, or a cut one.
 */
const MAX_PAUSE_MS = 1_200;

const HEAD_START = "HTTP/1.1 ";
const HEAD_END = "\r\n\r\n";
const BARE_LINE_FEED = /(^|[^\r])\n/;
const ONE_IDENTIFIER = /^[^\s,]+$/;
const NO_BYTES: Buffer = Buffer.alloc(0);

/** Response that was skipped. */
export interface SkippedResponse {
  readonly status: number;
  /** Identifier of the request to which it belongs. */
  readonly requestId: string;
}

/** Names the response that belongs to a request. */
export interface OwnResponse {
  /** Name of the header that repeats the identifier, in lower case. */
  readonly header: string;
  /** Identifier of the request. */
  readonly requestId: string;
  /** Called after a response that names another request was skipped. */
  onSkipped(response: SkippedResponse): void;
}

/** Response that is being skipped. */
interface ForeignResponse extends SkippedResponse {
  readonly body: BodyEnd;
}

/** Filters the bytes that one client receives, on one connection at a time. */
export class ResponseFilter {
  readonly #onSkippedBytes: (bytes: number) => void;
  #socket: Socket | undefined;
  /** Undefined while all bytes pass. */
  #own: OwnResponse | undefined;
  /** First part of a head. */
  #held = NO_BYTES;
  #foreign: ForeignResponse | undefined;
  #skippedResponses = 0;
  #skippedBytes = 0;
  #pauseTimer: NodeJS.Timeout | undefined;

  /** `onSkippedBytes` is called with the number of bytes that were skipped. */
  constructor(onSkippedBytes: (bytes: number) => void) {
    this.#onSkippedBytes = onSkippedBytes;
  }

  /** Filters what the parser reads from a connection from now on. */
  watch(socket: Socket): void {
    this.#socket = socket;
    this.begin(undefined);
    const read = socket.read.bind(socket);
    // Streams read with a size themselves; the parser reads without one.
    socket.read = (size) =>
      size === undefined ? this.#readNext(read) : read(size);
  }

  /** Begins an exchange; without `own`, all of its bytes pass. */
  begin(own: OwnResponse | undefined): void {
    this.#own = own;
    this.#held = NO_BYTES;
    this.#foreign = undefined;
    this.#skippedResponses = 0;
    this.#skippedBytes = 0;
    clearTimeout(this.#pauseTimer);
  }

  /**
   * Ends an exchange. A connection on which a response was skipped serves no
   * further request.
   */
  end(): void {
    if (this.#skippedResponses > 0) this.#socket?.destroy();
    this.begin(undefined);
  }

  /**
   * Takes received bytes; returns those that pass, or undefined when the
   * connection can't go on, since the end of a skipped response is unknown.
   */
  push(received: Buffer): Buffer | undefined {
    let rest = received;
    while (this.#own && rest.length > 0) {
      if (!this.#foreign) rest = this.#pushHead(this.#own, rest);
      else rest = this.#skipBody(this.#foreign, rest);
      if (this.#foreign && !this.#endSkipped(this.#own, this.#foreign)) {
        return undefined;
      }
    }
    this.#limitPause();
    return rest;
  }

  /** Closes the connection if the bytes that are held do not go on. */
  #limitPause(): void {
    clearTimeout(this.#pauseTimer);
    const socket = this.#socket;
    if (!socket || (this.#held.length === 0 && !this.#foreign)) return;
    const { bytesRead } = socket;
    const closeIfPaused = () => {
      if (socket.bytesRead !== bytesRead) return;
      socket.destroy(new Error("response stopped before its end"));
    };
    // After a stall of this process, timers run before the sockets are read.
    this.#pauseTimer = setTimeout(
      () => setImmediate(closeIfPaused),
      MAX_PAUSE_MS,
    ).unref();
  }

  #readNext(read: () => Buffer | null): Buffer | null {
    for (let bytes = read(); bytes !== null; bytes = read()) {
      const passed = this.push(bytes);
      if (!passed) {
        const detail = "response to another request has no clear end";
        this.#socket?.destroy(new Error(detail));
        return null;
      }
      if (passed.length > 0) return passed;
    }
    return null;
  }

  #pushHead(own: OwnResponse, received: Buffer): Buffer {
    const bytes = this.#held.length > 0
      ? Buffer.concat([this.#held, received])
      : received;
    const end = bytes.indexOf(HEAD_END);
    const ownAt = bytes.indexOf(own.requestId, 0, "latin1");
    const namesOwn = ownAt >= 0 && (end < 0 || ownAt < end);
    if (end < 0 && !namesOwn && mayBeginHead(bytes)) {
      this.#held = bytes;
      return NO_BYTES;
    }
    this.#held = NO_BYTES;
    const headBytes = end + HEAD_END.length;
    if (end >= 0 && !namesOwn && headBytes <= MAX_HEAD_BYTES) {
      this.#foreign = this.#foreignResponse(
        own,
        bytes.toString("latin1", 0, end),
      );
    }
    if (!this.#foreign) {
      this.#own = undefined;
      return bytes;
    }
    this.#countSkipped(headBytes);
    return bytes.subarray(headBytes);
  }

  /** Returns the response with this head; undefined unless it is skipped. */
  #foreignResponse(
    own: OwnResponse,
    text: string,
  ): ForeignResponse | undefined {
    if (this.#skippedResponses >= MAX_SKIPPED_RESPONSES) return undefined;
    // A head that has the identifier in another place or case is in doubt.
    if (text.toLowerCase().includes(own.requestId.toLowerCase())) {
      return undefined;
    }
    const head = parseHead(text);
    if (!head) return undefined;
    const [requestId = "", ...others] = valuesOf(head, own.header);
    if (others.length > 0 || !ONE_IDENTIFIER.test(requestId)) return undefined;
    const body = bodyEndOf(head, MAX_SKIPPED_BYTES - this.#skippedBytes);
    return body && { status: head.status, requestId, body };
  }

  #skipBody({ body }: ForeignResponse, bytes: Buffer): Buffer {
    const taken = body.push(bytes);
    this.#countSkipped(taken);
    return bytes.subarray(taken);
  }

  /** Ends a response that was skipped whole; false if it can't be skipped. */
  #endSkipped(
    own: OwnResponse,
    { body, ...response }: ForeignResponse,
  ): boolean {
    if (body.state === BodyState.Complete) {
      this.#foreign = undefined;
      this.#skippedResponses++;
      own.onSkipped(response);
    }
    return body.state !== BodyState.Failed;
  }

  #countSkipped(bytes: number): void {
    this.#skippedBytes += bytes;
    this.#onSkippedBytes(bytes);
  }
}

/** True if the bytes may be the first part of a head. */
function mayBeginHead(bytes: Buffer): boolean {
  if (bytes.length >= MAX_HEAD_BYTES) return false;
  const text = bytes.toString("latin1");
  const start = text.slice(0, HEAD_START.length);
  return HEAD_START.startsWith(start) && !BARE_LINE_FEED.test(text);
}
