/**
 * One caller sends a request of many pieces now and then. Other callers of the
 * route have to be served.
 */

import { request } from "node:http";
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import {
  Bed,
  BROKEN,
  configuration,
  HELD,
  NOT_RUN,
  Record,
  route,
  run,
  sleep,
  TROUBLE,
} from "../lib-2/bed.mjs";
import { SEGMENTS, StageServer } from "../lib-2/stage.mjs";
import { Server, streamAtOnce } from "../lib-2/server.mjs";

const RUN_MS = 45_000;
/** Pause between two requests of the other callers, in milliseconds. */
const PAUSE_MS = 200;
/** Pause between two requests of the one caller, in milliseconds. */
const LARGE_PAUSE_MS = 2000;
const ORDINARY = "1,8,6";
const LARGE = "1,1000,1000";
/** Share of the other callers' requests that counts as served. */
const SERVED_SHARE = 0.25;
const STAGES = ["portal", "archive", "print"];

function call(front, id, pieces) {
  const [host, port] = front.split(":");
  return new Promise((resolve) => {
    const req = request({
      host,
      port,
      method: "POST",
      path: "/r/draft",
      agent: false,
      headers: {
        "Host": "api.example",
        "X-Api-Key": "key-a",
        "Request-Id": id,
        "Deadline-Ms": 15_000,
        "Token-Usage": "800,50",
        "Chunk-Count": pieces,
        "Chunk-Key": "7c1e07a291bd",
        "Content-Length": 0,
      },
    }, (res) => {
      let text = "";
      res.on("data", (bytes) => text += bytes);
      res.on("end", () => {
        const reason = res.statusCode === 200 ? "" : ` ${text.trim()}`;
        resolve(`${res.statusCode}${reason}`);
      });
      res.on("error", (err) => resolve(err.code ?? "cut"));
    });
    req.on("error", (err) => resolve(err.code ?? "error"));
    req.end();
  });
}

await run(async () => {
  const record = new Record(dirname(fileURLToPath(import.meta.url)));
  const bed = await Bed.start({
    count: 2,
    config: configuration({
      routes: [route({
        routeType: "streaming",
        streamResume: true,
        timeoutMs: 15_000,
        targetLatencyMs: 2700,
        targetGapMs: 600,
        service: "model",
        stages: STAGES.map((service, i) => ({
          service,
          after: i === 0 ? [] : [i - 1],
          byteCount: 6000,
        })),
      })],
      services: [
        { name: "model", maxConnections: 370, engine: { slots: 64 } },
        ...STAGES.map((name) => ({
          name,
          maxConnections: 370,
          segments: SEGMENTS,
        })),
      ],
    }),
  });
  const stageServers = await Promise.all(
    STAGES.flatMap((service) =>
      [0, 1, 2, 3].map((n) =>
        new StageServer({ id: `${service}-${n}`, service }).start()
      )
    ),
  );
  const models = await Promise.all(
    ["a", "b"].map((name) =>
      new Server({
        id: `s-${name}`,
        service: "model",
        serve: streamAtOnce(2),
      }).start()
    ),
  );
  [...stageServers, ...models].forEach((server) => {
    bed.register(server);
    bed.onStop(() => server.stop());
  });
  try {
    if (!await bed.ready()) return NOT_RUN;
    await sleep(2500);
    const results = {};
    const calls = [];
    const startedAt = performance.now();
    let largeAt = startedAt + 2000;
    for (let n = 0; performance.now() - startedAt < RUN_MS; n++) {
      if (TROUBLE && performance.now() >= largeAt) {
        largeAt += LARGE_PAUSE_MS;
        const id = `large-${n}`;
        record.line(`${id} is sent: ${LARGE} pieces`);
        call(bed.entries[0].front, id, LARGE)
          .then((result) => record.line(`${id}: ${result}`));
      }
      const id = `ordinary-${n}`;
      calls.push(
        call(bed.entries[n % 2].front, id, ORDINARY).then((result) => {
          record.line(`${id}: ${result}`);
          results[result] = (results[result] ?? 0) + 1;
        }),
      );
      await sleep(PAUSE_MS);
    }
    await Promise.all(calls);
    const served = results["200"] ?? 0;
    record.line(
      `of ${calls.length} ordinary requests: ${JSON.stringify(results)}`,
    );
    const pieces = stageServers.map(({ id, pieces }) => `${id} ${pieces}`);
    record.line(`pieces made: ${pieces.join(", ")}`);
    const isBroken = served < SERVED_SHARE * calls.length;
    record.line(isBroken ? "the rule is broken" : "the rule holds");
    return isBroken ? BROKEN : HELD;
  } finally {
    await bed.stop();
  }
});
