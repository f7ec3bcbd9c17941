/**
 * All processes are killed at once while a service has one version, and the
 * first server of the next version joins before they are back.
 */

import { setMaxListeners } from "node:events";
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import {
  Bed,
  BOUNDS,
  BROKEN,
  HELD,
  NOT_RUN,
  Record,
  run,
  sleep,
  TROUBLE,
} from "../lib-2/bed.mjs";
import {
  readStream,
  startServers,
  STREAM_CONFIG,
  writer,
} from "../lib-2/streams.mjs";
import { Server } from "../lib-2/server.mjs";

const STREAMS = 24;
const DOWN_MS = 2000;
/** Tries of a client to take its stream up, and the pause between them. */
const TRIES = 4;
const RETRY_MS = 400;

await run(async () => {
  const record = new Record(dirname(fileURLToPath(import.meta.url)));
  const serve = writer(record, { events: 60, eventMs: 250 });
  const bed = await Bed.start({ count: 2, config: STREAM_CONFIG });
  try {
    await startServers(bed, ["a", "b"], serve);
    if (!await bed.ready()) return NOT_RUN;
    // Both processes know each other and have written what they write at first.
    await sleep(8000);
    record.line(`${STREAMS} streams begin`);
    const leave = new AbortController();
    setMaxListeners(0, leave.signal);
    const streams = Array.from(
      { length: STREAMS },
      (_, i) =>
        readStream(bed.entries[i % 2].front, `stream-${i}`, {
          signal: leave.signal,
        }),
    );
    await sleep(2500);
    if (TROUBLE) {
      bed.entries.forEach((entry) => entry.signal("SIGKILL"));
      record.line("all processes are killed");
    } else {
      leave.abort();
      record.line("the clients leave");
    }
    const broken = await Promise.all(streams);
    await sleep(DOWN_MS / 2);
    const next = await new Server({
      id: "s-next",
      service: "model",
      version: "v2",
      serve,
    }).start();
    bed.register(next);
    bed.onStop(() => next.stop());
    record.line("a server of v2 joins; both servers of v1 go on");
    await sleep(DOWN_MS / 2);
    if (TROUBLE) {
      bed.entries.forEach((entry) => entry.start());
      record.line("the processes start again");
    }
    if (!await bed.ready()) return NOT_RUN;
    // From then on the machines are in touch.
    await sleep(BOUNDS.contactMs + 1000);
    record.line("the clients take their streams up, and new ones begin");
    const takeUp = async ({ id, events }, i) => {
      const last = events.at(-1)?.n ?? 0;
      const headers = { "Last-Event-Id": String(last), "Resumes": id };
      for (let n = 1; n <= TRIES; n++) {
        const { front } = bed.entries[(i + n) % 2];
        const got = await readStream(front, `${id}-try-${n}`, { headers });
        record.line(
          `${id} taken up after event ${last}, try ${n}: ${got.status} ${got.how}, ${got.events.length} events`,
        );
        if (got.events.length > 0) return true;
        await sleep(RETRY_MS);
      }
      return false;
    };
    const begin = async (_, i) => {
      const { front } = bed.entries[i % 2];
      const got = await readStream(front, `new-${i}`);
      return got.events.length > 0;
    };
    const [went, began] = await Promise.all([
      Promise.all(broken.filter(({ events }) => events.length > 0).map(takeUp)),
      Promise.all(Array.from({ length: STREAMS }, begin)),
    ]);
    const share = (all) => all.filter((one) => one).length / all.length;
    record.line(
      `${went.filter((one) => one).length} of ${went.length} streams went on, ${
        began.filter((one) => one).length
      } of ${began.length} new ones began`,
    );
    if (went.length < 12) return NOT_RUN;
    return share(went) < share(began) / 2 ? BROKEN : HELD;
  } finally {
    await bed.stop();
  }
});
