/**
 * Recognises truncated responses whose bodies end with their connection.
 *
 * `undici` also treats a reset as the end of such a body, so a truncated
 * response would look complete.
 *
 * @module
 */

import type { Socket } from "node:net";

/** Statuses of responses that have no body, whatever their headers say. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** Head of a response and the method of its request. */
export interface FramedHead {
  readonly method: string;
  readonly status: number;
  /** Alternating names and values. */
  readonly headers: readonly (Buffer | string)[];
}

/** True when the end of the connection ends the body (RFC 9112, 6.3). */
export function endsWithConnection(
  { method, status, headers }: FramedHead,
): boolean {
  if (method === "HEAD" || BODILESS_STATUSES.has(status)) return false;
  const coding = lastValue(headers, "transfer-encoding");
  if (coding !== undefined) return !/\bchunked\s*$/i.test(coding);
  return lastValue(headers, "content-length") === undefined;
}

function lastValue(
  headers: readonly (Buffer | string)[],
  name: string,
): string | undefined {
  const at = headers.findLastIndex((text, i) =>
    i % 2 === 0 && text.length === name.length &&
    text.toString().toLowerCase() === name
  );
  return at < 0 ? undefined : headers[at + 1]?.toString();
}

/** Tells how one connection has ended. */
export class ConnectionEnd {
  #isOrderly = false;

  /** True once the peer has closed the connection and not reset it. */
  get isOrderly(): boolean {
    return this.#isOrderly;
  }

  /** Called before `undici` adds its own listeners, so these run first. */
  watch(socket: Socket): void {
    let hasFailed = false;
    this.#isOrderly = false;
    socket.on("error", () => hasFailed = true);
    socket.on("end", () => {
      // Node reports some resets as an orderly end (libuv, after a partial
      // read); a connection that was reset no longer has a remote address.
      this.#isOrderly = !hasFailed && socket.remoteAddress !== undefined;
    });
  }
}
