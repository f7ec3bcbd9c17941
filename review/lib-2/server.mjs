/**
 * Stand-in of a server: it follows the pages of the platform and does what the
 * script of a case sets.
 */

import { createServer } from "node:http";

const LOOPBACK = "127.0.0.1";

/** One server on loopback. `serve` answers the requests that it runs. */
export class Server {
  id;
  service;
  version;
  zone;
  born = Date.now();
  address = "";
  runs = 0;
  #serve;
  #server;

  constructor({ id, service, version = "v1", zone = "z-a", serve }) {
    Object.assign(this, { id, service, version, zone });
    this.#serve = serve;
    this.#server = createServer((req, res) => this.#receive(req, res));
    this.#server.keepAliveTimeout = 30_000;
  }

  async start(port = 0) {
    await new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen({ port, host: LOOPBACK }, resolve);
    });
    this.address = `${LOOPBACK}:${this.#server.address().port}`;
    return this;
  }

  stop() {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  /** Headers of a signed answer. */
  signed(id, fields = {}) {
    return {
      "Request-Id": id,
      "Server-Signature": `sig-${this.id}`,
      "Server-Load": "1,0,64",
      ...fields,
    };
  }

  async #receive(req, res) {
    const chunks = [];
    try {
      for await (const chunk of req) chunks.push(chunk);
    } catch {
      return;
    }
    const id = req.headers["request-id"] ?? "";
    const expected = req.headers["expect-instance"];
    if (expected !== undefined && expected !== this.id) {
      res.writeHead(421, { "Request-Id": id, "Not-Executed": "1" }).end();
      return;
    }
    const body = Buffer.concat(chunks);
    this.runs += 1;
    this.#serve({ id, req, res, body, server: this });
  }
}

/** Answers with a stream of `events` events, all at once. */
export function streamAtOnce(events) {
  return ({ id, req, res, server }) => {
    res.writeHead(200, {
      ...server.signed(id),
      "Content-Type": "text/event-stream",
    });
    const first = Number(req.headers["last-event-id"] ?? 0) + 1;
    for (let n = first; n <= events; n++) {
      res.write(`id: ${n}\ndata: token ${n}\n\n`);
    }
    res.end();
  };
}

/** Answers with a plain body. */
export function plain({ id, res, server }) {
  const text = `answer of ${server.id} to ${id}`;
  res.writeHead(200, server.signed(id, { "Content-Length": text.length }));
  res.end(text);
}
