/**
 * Faults of a stand-in, switched over its control route.
 *
 * @module
 */

import { Hono } from "hono";
import { seededRandom, sleep } from "../kernel/mod.ts";

/** Faults that every stand-in has. */
export interface Faults {
  /** Answers every request with status 503. */
  outage: boolean;
  /** Added to each answer, in milliseconds. */
  slowMs: number;
  /** Share of answers that are dropped after the work was done, in [0, 1]. */
  loseAnswers: number;
  /** Requests that arrive from now on are never answered. */
  mute: boolean;
}

/** Faults switched off. */
export const NO_FAULTS: Faults = {
  outage: false,
  slowMs: 0,
  loseAnswers: 0,
  mute: false,
};

/** Wraps an application: `POST /control` sets faults, the rest suffers them. */
export function withFaults(
  app: Hono,
  opts: { faults: Faults; seed: number },
): Hono {
  const { faults } = opts;
  const random = seededRandom(opts.seed);
  const outer = new Hono();
  outer.post("/control", async (c) => {
    Object.assign(faults, await c.req.json());
    return c.json(faults);
  });
  outer.get("/healthz", (c) => c.text("ok\n"));
  outer.use("*", async (c, next) => {
    if (faults.mute) return await new Promise<Response>(() => {});
    if (faults.outage) return c.text("outage\n", 503);
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
