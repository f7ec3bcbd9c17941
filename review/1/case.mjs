/**
 * A server that is full refuses requests, and the copy of such a refusal arrives
 * late, where the response to the next request is expected.
 *
 * @module
 */

import { createServer } from "node:http";
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import {
  CALLER_LIMITS,
  Client,
  Entry,
  HAS_TROUBLE,
  listen,
  nextId,
  note,
  readBody,
  registerServer,
  route,
  runCase,
  say,
  seeded,
  sleep,
  Store,
} from "../lib/bed.mjs";

/** Share of the answers of which a faulty server sends a late copy. */
const COPIED_SHARE = 0.03;
const SLOTS = 6;
const QUEUE = 2;
const WORK_MS = 60;
const RUN_MS = 30_000;
const CALLERS = 48;

/** Server of the service: runs `SLOTS` requests, queues a few, refuses more. */
class FilingServer {
  service = "registry";
  slots = SLOTS;
  born = Date.now();
  copies = 0;
  refusalCopies = 0;
  #working = 0;
  #queue = [];

  constructor(id, { runs, isFaulty, random }) {
    this.id = id;
    this.runs = runs;
    this.isFaulty = isFaulty;
    this.random = random;
    this.server = createServer({ keepAliveTimeout: 30_000 }, (req, res) => {
      this.#serve(req, res).catch(() => res.destroy());
    });
  }

  async #serve(req, res) {
    const id = req.headers["request-id"];
    await readBody(req);
    const { socket } = res;
    if (socket.lateCopy) {
      note(`${this.id} sends a late copy of its answer to ${socket.lateOf}`);
      socket.write(socket.lateCopy);
      socket.lateCopy = undefined;
    }
    if (req.headers["expect-instance"] !== this.id) {
      return this.#answer(res, id, 421, { "Not-Executed": "1" }, "");
    }
    if (this.#working >= SLOTS) {
      if (this.#queue.length >= QUEUE) {
        return this.#answer(res, id, 503, { "Not-Executed": "1" }, "full");
      }
      const hasTurn = await new Promise((resolve) => {
        this.#queue.push(resolve);
        res.once("close", () => {
          if (!this.#queue.includes(resolve)) return;
          this.#queue.splice(this.#queue.indexOf(resolve), 1);
          resolve(false);
        });
      });
      if (!hasTurn) return;
    } else {
      this.#working += 1;
    }
    this.runs.get(id)?.push(this.id);
    note(`${this.id} runs ${id}`);
    await sleep(WORK_MS * (0.7 + 0.6 * this.random()));
    const next = this.#queue.shift();
    if (next) next(true);
    else this.#working -= 1;
    if (res.destroyed) return;
    this.#answer(res, id, 200, {
      "Server-Signature": `sig-${this.id}-${id}`,
    }, `filed ${id}`);
  }

  #answer(res, id, status, headers, body) {
    const all = {
      "Request-Id": id,
      "Server-Load": `${this.#working},${this.#queue.length},${SLOTS}`,
      "Content-Length": String(Buffer.byteLength(body)),
      ...headers,
    };
    res.writeHead(status, all);
    res.end(body);
    if (!this.isFaulty || this.random() >= COPIED_SHARE) return;
    const lines = Object.entries(all).map(([name, v]) => `${name}: ${v}\r\n`);
    const { socket } = res.req;
    socket.lateCopy = `HTTP/1.1 ${status} Copy\r\n${lines.join("")}\r\n${body}`;
    socket.lateOf = `${id} (${status})`;
    this.copies += 1;
    if (status === 503) this.refusalCopies += 1;
  }
}

await runCase(dirname(fileURLToPath(import.meta.url)), async () => {
  const store = await new Store().start();
  const runs = new Map();
  const servers = await Promise.all([1, 2].map(async (i) => {
    const server = new FilingServer(`i-registry-${i}`, {
      runs,
      isFaulty: HAS_TROUBLE && i === 1,
      random: seeded(100 + i),
    });
    server.address = await listen(server.server);
    return server;
  }));
  store.put("op", "config", {
    version: 10,
    routes: [
      route({
        name: "filing",
        pathPrefix: "/filing/",
        routeType: "unsafe",
        service: "registry",
      }),
      route({
        name: "filing-2",
        pathPrefix: "/filing-2/",
        routeType: "unsafe",
        service: "registry",
        maxAttempts: 2,
      }),
    ],
    services: [{ name: "registry", maxConnections: 110 }],
    limits: CALLER_LIMITS,
  });
  servers.forEach((server) => registerServer(store, server));
  const entry = (await Entry.create("edge-1", { store })).start();
  await entry.waitUntilReady();

  const client = new Client(entry);
  const ends = [];
  const endAt = performance.now() + RUN_MS;
  await Promise.all(
    Array.from({ length: CALLERS }, async (_, i) => {
      const random = seeded(i);
      await sleep(100 * i / CALLERS);
      while (performance.now() < endAt) {
        const path = i % 2 === 0 ? "/filing/a" : "/filing-2/a";
        const id = nextId(path.slice(1, -2));
        runs.set(id, []);
        const end = await client
          .send({ id, path, deadlineMs: 4_000, body: "label" });
        note(`${id} ends: ${end.status ?? end.error}`);
        ends.push(end);
        await sleep(30 + 120 * random());
      }
    }),
  );
  await sleep(500);

  const count = (status) => ends.filter((end) => end.status === status).length;
  say(
    `${ends.length} requests: ${count(200)} with 200, ${count(503)} with 503, ${
      count(502)
    } with 502; ${servers[0].copies} late copies, ${
      servers[0].refusalCopies
    } of refusals`,
  );
  const refused = ends.filter(({ id, status }) =>
    [408, 421, 429, 503].includes(status) && runs.get(id).length > 0
  );
  refused.slice(0, 5).forEach(({ id, status }) =>
    say(`REFUSED: ${id} was answered ${status} and ran at ${runs.get(id)}`)
  );
  const twice = [...runs].filter(([, at]) => at.length > 1);
  twice.slice(0, 5).forEach(([id, at]) => say(`TWICE: ${id} ran at ${at}`));
  say(`refused though run: ${refused.length}; run twice: ${twice.length}`);
  if (count(200) < 100) throw new Error("too few requests were served");
  return refused.length > 0 || twice.length > 0;
});
