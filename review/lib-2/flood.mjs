/**
 * One caller that sends many requests to one of two processes. No process may
 * end by itself or outgrow its machine, and other callers are served.
 */

import { Agent, request } from "node:http";
import { Bed, BOUNDS, BROKEN, HELD, NOT_RUN, Record, sleep } from "./bed.mjs";
import { Server } from "./server.mjs";

const TICK_MS = 20;
const LINE_MS = 5000;
const MAX_OPEN = 200;
const ORDINARY_ID = 16;

/** Sends one request; resolves with its status, or the code of its failure. */
function call(front, { method, path, headers }, agent) {
  const [host, port] = front.split(":");
  return new Promise((resolve) => {
    const options = {
      host,
      port,
      method,
      path,
      agent,
      headers: { "Host": "api.example", "X-Api-Key": "key-a", ...headers },
    };
    const req = request(options, (res) => {
      res.resume();
      res.on("end", () => resolve(String(res.statusCode)));
      res.on("error", (err) => resolve(err.code ?? "cut"));
    });
    req.on("error", (err) => resolve(err.code ?? "error"));
    req.end();
  });
}

/** Returns an identifier of `length` characters; `n` tells it from others. */
export function idOf(n, length = ORDINARY_ID) {
  return n.toString(16).padStart(12, "0") + "a".repeat(length - 12);
}

/**
 * Plays the flood. `requestOf(n)` is the n-th request of the caller,
 * `ordinaryOf(n)` one of another caller, and `serve` what servers do.
 */
export async function flood({
  folder,
  title,
  config,
  serve,
  perS,
  runMs,
  requestOf,
  ordinaryOf,
  settings = {},
}) {
  const record = new Record(folder);
  const agent = new Agent({ keepAlive: true, maxSockets: 40 });
  const { memoryMb = BOUNDS.memoryMb } = settings;
  const bed = await Bed.start({
    count: 2,
    start: { keepsLog: false },
    config,
    settings,
  });
  const servers = await Promise.all(
    ["a", "b"].map((name) =>
      new Server({ id: `s-${name}`, service: "model", serve }).start()
    ),
  );
  servers.forEach((server) => {
    bed.register(server);
    bed.onStop(() => server.stop());
  });
  try {
    if (!await bed.ready()) return NOT_RUN;
    const [flooded] = bed.entries;
    const answers = { caller: {}, others: {} };
    const count = (of, result) => {
      answers[of][result] = (answers[of][result] ?? 0) + 1;
    };
    record.line(`${perS} requests a second to ${flooded.name}: ${title}`);
    const startedAt = performance.now();
    let sent = 0;
    let due = 0;
    let open = 0;
    let lineAt = startedAt + LINE_MS;
    const outgrown = () =>
      bed.entries.filter((entry) => (entry.memoryMb()?.peak ?? 0) > memoryMb);
    const isOver = () =>
      performance.now() - startedAt > runMs || outgrown().length > 0 ||
      bed.entries.some((entry) => entry.ended);
    while (!isOver()) {
      due += perS * TICK_MS / 1000;
      for (; due >= 1; due--) {
        if (open >= MAX_OPEN) continue;
        open += 1;
        call(flooded.front, requestOf(sent++), agent).then((result) => {
          open -= 1;
          count("caller", result);
        });
      }
      if (performance.now() > lineAt) {
        lineAt += LINE_MS;
        bed.entries.forEach((entry) => {
          const { now = 0, peak = 0 } = entry.memoryMb() ?? {};
          record.line(
            `${entry.name}: ${Math.round(now)} MB, peak ${Math.round(peak)} MB`,
          );
          call(entry.front, ordinaryOf(sent++))
            .then((result) => count("others", result));
        });
        record.line(`answers so far: ${JSON.stringify(answers)}`);
      }
      await sleep(TICK_MS);
    }
    await sleep(500);
    record.line(`answers: ${JSON.stringify(answers)}`);
    record.line(
      `run: ${servers.map(({ id, runs }) => `${runs} by ${id}`).join(", ")}`,
    );
    const ended = bed.entries.filter((entry) => entry.ended);
    ended.forEach((entry) => {
      const cause = entry.errors.split("\n").find((one) => /FATAL/.test(one));
      const end = JSON.stringify(entry.ended);
      record.line(`${entry.name} ended by itself: ${end} ${cause ?? ""}`);
    });
    const large = outgrown();
    large.forEach((entry) =>
      record.line(
        `${entry.name} needed ${
          Math.round(entry.memoryMb().peak)
        } MB of ${memoryMb}`,
      )
    );
    const isBroken = ended.length + large.length > 0;
    record.line(isBroken ? "the rule is broken" : "the rule holds");
    return isBroken ? BROKEN : HELD;
  } finally {
    await bed.stop();
  }
}
