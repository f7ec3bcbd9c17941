/**
 * Reader of server-sent events.
 *
 * @module
 */

import { createParser } from "eventsource-parser";

/** Most characters of an event that are held until it is complete. */
const MAX_EVENT_LENGTH = 2 * 1024 * 1024;

/** Yields the data of each event of a byte stream; throws if one is longer. */
export async function* readSse(
  body: AsyncIterable<Uint8Array>,
): AsyncGenerator<string> {
  const decoder = new TextDecoder();
  let parsed: string[] = [];
  const parser = createParser({
    onEvent: ({ data }) => parsed.push(data),
    onError: (err) => {
      if (err.type === "max-buffer-size-exceeded") throw err;
    },
    maxBufferSize: MAX_EVENT_LENGTH,
  });
  for await (const bytes of body) {
    parser.feed(decoder.decode(bytes, { stream: true }));
    const events = parsed;
    parsed = [];
    yield* events;
  }
}
