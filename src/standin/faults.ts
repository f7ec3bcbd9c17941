/**
 * Injectable faults of a stand-in, set through its control route.
 *
 * @module
 */

import { Hono } from "hono";
import { seededRandom, sleep } from "../kernel/mod.ts";

const HTTP_TOO_MANY_REQUESTS = 429;
const HTTP_UNAVAILABLE = 503;
const MS_PER_S = 1_000;

/** Faults that every stand-in supports. */
export interface Faults {
  /** Every request gets status 503. */
  outage: boolean;
  /** Delay before each request is handled, in milliseconds. */
  slowMs: number;
  /**
   * Share of responses, in [0, 1], that are replaced by status 500 after the
   * request was handled.
   */
  loseAnswers: number;
  /** Requests that arrive while this is set never get a response. */
  mute: boolean;
  /** Length of alternating periods of service and outage, in ms; 0 for none. */
  flapMs: number;
  /** Requests per second above which status 429 is sent; 0 for no limit. */
  ratePerS: number;
}

/** All faults switched off. */
export const NO_FAULTS: Faults = {
  outage: false,
  slowMs: 0,
  loseAnswers: 0,
  mute: false,
  flapMs: 0,
  ratePerS: 0,
};

/**
 * Wraps an application with faults. `POST /control` sets them; every other
 * route but `GET /healthz` is subject to them.
 */
export function withFaults(
  app: Hono,
  opts: { faults: Faults; seed: number },
): Hono {
  const { faults } = opts;
  const random = seededRandom(opts.seed);
  const rate = new RateLimit();
  const outer = new Hono();
  outer.post("/control", async (c) => {
    Object.assign(faults, await c.req.json());
    return c.json(faults);
  });
  outer.get("/healthz", (c) => c.text("ok\n"));
  outer.use("*", async (c, next) => {
    if (faults.mute) return await new Promise<Response>(() => {});
    if (isOut(faults)) return c.text("outage\n", HTTP_UNAVAILABLE);
    if (!rate.admits(faults.ratePerS)) {
      return c.text("rate limit\n", HTTP_TOO_MANY_REQUESTS);
    }
    if (faults.slowMs > 0) await sleep(faults.slowMs);
    await next();
    if (random() < faults.loseAnswers) {
      c.res = undefined;
      c.res = c.text("answer lost\n", 500);
    }
  });
  outer.route("/", app);
  return outer;
}

/** True during an outage, and in every other period while flapping. */
function isOut({ outage, flapMs }: Faults): boolean {
  if (outage || flapMs <= 0) return outage;
  return Math.floor(Date.now() / flapMs) % 2 === 1;
}

/** Rate limit over each second of the clock. */
class RateLimit {
  #second = 0;
  #count = 0;

  admits(ratePerS: number): boolean {
    const second = Math.floor(Date.now() / MS_PER_S);
    if (second !== this.#second) this.#count = 0;
    this.#second = second;
    this.#count += 1;
    return ratePerS <= 0 || this.#count <= ratePerS;
  }
}
