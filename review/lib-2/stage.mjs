/**
 * Stand-in of a server of stages: one call at a time, `callMs` and `itemMs` for
 * each piece; up to `queue` calls wait, further ones are refused.
 */

import { createServer } from "node:http";

const LOOPBACK = "127.0.0.1";

/** Limits of a service of stages, as abay-label has them for recipe-store. */
export const SEGMENTS = {
  slots: 1,
  queue: 2,
  batch: 24,
  callMs: 240,
  itemMs: 8.5,
  headroomMb: 2.74,
  handleTtlS: 4,
  linkMbps: 10_000,
};

/** One server of stages on loopback. */
export class StageServer {
  id;
  service;
  zone = "z-a";
  version = "v1";
  born = Date.now();
  address = "";
  calls = 0;
  pieces = 0;
  #waiting = [];
  #isBusy = false;
  #handles = 0;
  #server;

  constructor({ id, service }) {
    Object.assign(this, { id, service });
    this.#server = createServer((req, res) => this.#receive(req, res));
    this.#server.keepAliveTimeout = 30_000;
  }

  async start() {
    await new Promise((resolve) =>
      this.#server.listen({ port: 0, host: LOOPBACK }, resolve)
    );
    this.address = `${LOOPBACK}:${this.#server.address().port}`;
    return this;
  }

  stop() {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  async #receive(req, res) {
    const chunks = [];
    try {
      for await (const chunk of req) chunks.push(chunk);
    } catch {
      return;
    }
    if (req.url === "/api/stage-free") return res.end("{}");
    const load = `${Number(this.#isBusy)},${this.#waiting.length},1`;
    if (this.#waiting.length >= SEGMENTS.queue && this.#isBusy) {
      res.writeHead(503, { "Not-Executed": "1", "Server-Load": load });
      return res.end();
    }
    const { items } = JSON.parse(Buffer.concat(chunks).toString());
    this.#waiting.push({ count: items.length, res });
    this.#next();
  }

  #next() {
    if (this.#isBusy) return;
    const call = this.#waiting.shift();
    if (!call) return;
    const { count, res } = call;
    // A close drops a call that is waiting.
    if (res.destroyed) return this.#next();
    this.#isBusy = true;
    this.calls += 1;
    this.pieces += count;
    setTimeout(() => {
      this.#isBusy = false;
      const items = Array.from({ length: count }, () => ({
        handle: `${this.address}/${this.id}-${this.#handles++}`,
      }));
      res.setHeader("Server-Load", `0,${this.#waiting.length},1`);
      res.end(JSON.stringify({ items }));
      this.#next();
    }, SEGMENTS.callMs + SEGMENTS.itemMs * count);
  }
}
