/**
 * Streams of one route, the servers that write them, and their callers.
 */

import { request } from "node:http";
import { BOUNDS, configuration, route, sleep } from "./bed.mjs";
import { Server } from "./server.mjs";

const RESTART_MS = 200;

/** Configuration with one route whose streams may be resumed. */
export const STREAM_CONFIG = configuration({
  routes: [route({
    routeType: "streaming",
    streamResume: true,
    targetGapMs: 600,
    timeoutMs: 20_000,
    service: "model",
  })],
  services: [{ name: "model", maxConnections: 370 }],
});

/** Returns a server's behaviour: it writes the events that the caller lacks. */
export function writer(record, { events, eventMs }) {
  return ({ id, req, res, server }) => {
    const first = Number(req.headers["last-event-id"] ?? 0) + 1;
    record.line(
      `${server.id} ${server.version} runs ${id} from event ${first}`,
    );
    const leaving = server.isLeaving ? { "Server-Leaving": "1" } : {};
    res.writeHead(200, {
      ...server.signed(id, leaving),
      "Content-Type": "text/event-stream",
    });
    let next = first;
    const timer = setInterval(() => {
      if (next > events) {
        clearInterval(timer);
        res.end();
        return;
      }
      res.write(`id: ${next}\ndata: ${server.version} token ${next}\n\n`);
      next += 1;
    }, eventMs);
    res.once("close", () => clearInterval(timer));
  };
}

/**
 * Reads one stream; resolves with what its caller got. `headers` are added, and
 * `signal` makes the caller leave.
 */
export function readStream(front, id, { headers = {}, signal } = {}) {
  const [host, port] = front.split(":");
  return new Promise((resolve) => {
    let text = "";
    const end = (how, status) => {
      const events = [...text.matchAll(/id: (\d+)\ndata: (\S+) token/g)]
        .map(([, n, version]) => ({ n: Number(n), version }));
      resolve({ id, how, status, events });
    };
    const req = request({
      agent: false,
      signal,
      host,
      port,
      method: "POST",
      path: "/r/draft",
      headers: {
        "Host": "api.example",
        "X-Api-Key": "key-a",
        "Request-Id": id,
        "Deadline-Ms": 20_000,
        "Content-Length": 0,
        ...headers,
      },
    }, (res) => {
      res.on("data", (bytes) => text += bytes);
      res.on("end", () => end("complete", res.statusCode));
      res.on("error", () => end("cut", res.statusCode));
    });
    req.on("error", (err) => end(err.code ?? "error"));
    req.end();
  });
}

/** Starts and registers servers of version v1. */
export async function startServers(bed, names, serve) {
  const servers = await Promise.all(
    names.map((name) =>
      new Server({ id: `s-${name}`, service: "model", serve }).start()
    ),
  );
  servers.forEach((server) => {
    bed.register(server);
    bed.onStop(() => server.stop());
  });
  return servers;
}

/**
 * Replaces a server in place, as a planned release does: it reports draining,
 * serves on for `drainMs` and a little longer, exits, and starts again with the
 * same `id` and address as the next version. Resolves with the new start.
 */
export async function replace(bed, server, { record, serve, exitsAt }) {
  server.isLeaving = true;
  bed.register(server, { state: "draining", sequence: 2 });
  record.line(`${server.id} v1 reports draining`);
  await sleep(BOUNDS.drainMs + 50);
  await exitsAt;
  const port = Number(server.address.split(":")[1]);
  server.stop();
  record.line(`${server.id} v1 exits`);
  await sleep(RESTART_MS);
  const next = await new Server({
    id: server.id,
    service: server.service,
    version: "v2",
    serve,
  }).start(port);
  bed.register(next);
  bed.onStop(() => next.stop());
  record.line(`${server.id} starts again as v2 and reports ready`);
  return next;
}

/** Records what the callers got; returns the streams of two versions. */
export function mixedStreams(record, ends) {
  ends.forEach(({ id, how, status, events }) => {
    const parts = events.reduce(
      (text, { n, version }, i) =>
        events[i - 1]?.version === version
          ? text
          : `${text} ${version} from ${n}`,
      "",
    );
    record.line(`${id}: ${status} ${how}, ${events.length} events:${parts}`);
  });
  const mixed = ends.filter(({ events }) =>
    new Set(events.map(({ version }) => version)).size > 1
  );
  record.line(
    `${mixed.length} of ${ends.length} streams hold events of two versions`,
  );
  return mixed;
}
