/**
 * Streams that may be resumed: a model server, and clients that take a stream
 * up at another machine, as PROTOCOL.md says of them.
 *
 * @module
 */

import { createServer, request } from "node:http";
import { nextId, note, now, readBody, say, sleep } from "./bed.mjs";

const EVENTS = 40;
const EVENT_MS = 100;
export const DEADLINE_MS = 15_000;
export const GOAL_MS = 1_200;
export const PAUSE_MS = 600;
/** Gap after which clients abandon a stream, as PROTOCOL.md says. */
const GAP_MS = Math.max(2_000, 4 * GOAL_MS, 8 * PAUSE_MS);
/** Retries of a client, each after the `Retry-After` of a refusal. */
const RETRIES = 3;
/** Pause between two new streams at each process. */
export const STREAM_PAUSE_MS = 150;

/** Model server: streams events, and goes on after `Last-Event-Id`. */
export class ModelServer {
  slots = 64;
  born = Date.now();

  constructor(id, { service, version }) {
    this.id = id;
    this.service = service;
    this.version = version;
    this.server = createServer({ keepAliveTimeout: 30_000 }, (req, res) => {
      this.#serve(req, res).catch(() => res.destroy());
    });
  }

  async #serve(req, res) {
    await readBody(req);
    const id = req.headers["request-id"];
    if (req.headers["expect-instance"] !== this.id) {
      res.writeHead(421, { "Not-Executed": "1", "Request-Id": id });
      res.end();
      return;
    }
    const after = Number(req.headers["last-event-id"] ?? 0);
    note(`${this.id} (${this.version}) runs ${id} from event ${after + 1}`);
    res.writeHead(200, {
      "Request-Id": id,
      "Server-Signature": `sig-${this.id}-${id}`,
      "Content-Type": "text/event-stream",
      "Server-Load": "1,0,64",
    });
    for (let event = after + 1; event <= EVENTS; event++) {
      await sleep(EVENT_MS);
      if (res.destroyed) return;
      res.write(`id: ${event}\ndata: ${this.version} ${event}\n\n`);
    }
    res.end();
  }
}

/** Sends one attempt of a stream; resolves with how it ended. */
function attempt(entry, { id, leftMs, headers, onEvent }) {
  return new Promise((resolve) => {
    const [host, port] = entry.frontend.split(":");
    let gap;
    const done = (end) => {
      clearTimeout(gap);
      clearTimeout(deadline);
      req.destroy();
      resolve(end);
    };
    const watch = () => {
      clearTimeout(gap);
      gap = setTimeout(() => done({ error: "gap" }), GAP_MS);
    };
    const req = request({
      host,
      port,
      path: "/draft/a",
      method: "POST",
      agent: false,
      headers: {
        host: "jepu9.example",
        "request-id": id,
        "deadline-ms": String(Math.floor(leftMs)),
        model: "m",
        "token-usage": "100,20",
        "prefix-hash": `aa:50,${id.slice(-6)}:50`,
        "content-length": "6",
        ...headers,
      },
    }, (res) => {
      const status = res.statusCode;
      let text = "";
      res.on("data", (chunk) => {
        if (status !== 200) return;
        watch();
        const events = (text + chunk).split("\n\n");
        text = events.pop();
        events.forEach((event) => {
          onEvent(Number(/^id: (\d+)$/m.exec(event)?.[1]));
        });
      });
      res.on("end", () =>
        done({
          status,
          retryAfterS: Number(res.headers["retry-after"] ?? 0),
        }));
      res.on("error", (err) => done({ error: err.code }));
    });
    const deadline = setTimeout(() => done({ error: "deadline" }), leftMs);
    watch();
    req.on("error", (err) => done({ error: err.code }));
    req.end("recipe");
  });
}

/** Streams that a client has sent, with what became of them. */
export const streams = [];

/** Sends a new stream, and takes it up elsewhere if it falls silent. */
export async function stream(entry, others) {
  const first = nextId("draft");
  const one = { id: first, at: entry, sentAt: now(), last: 0 };
  streams.push(one);
  const onEvent = (event) => {
    one.last = event;
    if (one.takenUpAt !== undefined) one.goesOn = true;
  };
  const leftMs = () => one.sentAt + DEADLINE_MS - now();
  let end = await attempt(entry, { id: first, leftMs: leftMs(), onEvent });
  one.hasBegun = one.last > 0;
  if (end.status === 200 && one.last === EVENTS) return;
  note(`${first} at ${entry.name} ends after event ${one.last}: ${end.error}`);
  if (!one.hasBegun) return;
  for (let i = 0; i <= RETRIES && leftMs() > 500; i++) {
    const other = others[i % others.length];
    const id = nextId("draft");
    one.takenUpAt ??= now();
    end = await attempt(other, {
      id,
      leftMs: leftMs(),
      headers: { "last-event-id": String(one.last), resumes: first },
      onEvent,
    });
    note(
      `${id} takes ${first} up at ${other.name}: ${end.status ?? end.error}`,
    );
    if (end.status === 200) return;
    await sleep(Math.min(leftMs() / 3, end.retryAfterS * 1_000));
  }
}

/**
 * Judges the streams that were taken up: true if the rule was broken. `lost` is
 * the process that was lost at `lossAt`.
 */
export function judgeTakeUps({ lost, lossAt }) {
  const takenUp = streams.filter((one) => one.takenUpAt !== undefined);
  const goOn = takenUp.filter((one) => one.goesOn);
  const fresh = streams
    .filter((one) => one.sentAt > lossAt && one.at !== lost);
  const begun = fresh.filter((one) => one.hasBegun);
  say(
    `${takenUp.length} streams are taken up at sound machines, ${goOn.length} go on; ${fresh.length} new streams there, ${begun.length} begin`,
  );
  takenUp.filter((one) => !one.goesOn).slice(0, 5).forEach((one) =>
    say(`LOST: ${one.id} does not go on after event ${one.last}`)
  );
  if (begun.length < 20) throw new Error("too few streams have begun");
  const shareOf = (part, all) => part.length / all.length;
  return takenUp.length >= 12 &&
    shareOf(goOn, takenUp) < shareOf(begun, fresh) / 2;
}
