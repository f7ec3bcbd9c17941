/**
 * Reader of server-sent events.
 *
 * @module
 */

import { createParser } from "eventsource-parser";

/** Yields the data of each event of a byte stream. */
export async function* readSse(
  body: AsyncIterable<Uint8Array>,
): AsyncGenerator<string> {
  const decoder = new TextDecoder();
  let parsed: string[] = [];
  const parser = createParser({ onEvent: ({ data }) => parsed.push(data) });
  for await (const bytes of body) {
    parser.feed(decoder.decode(bytes, { stream: true }));
    const events = parsed;
    parsed = [];
    yield* events;
  }
}
