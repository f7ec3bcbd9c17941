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
  let ready: string[] = [];
  const parser = createParser({ onEvent: ({ data }) => ready.push(data) });
  for await (const bytes of body) {
    parser.feed(decoder.decode(bytes, { stream: true }));
    const events = ready;
    ready = [];
    yield* events;
  }
}
