import assert from "node:assert/strict";
import { test } from "node:test";
import { install } from "@sinonjs/fake-timers";
import { type StageText, STALLED_MS, TextSink } from "./text_sink.ts";

const piece = (text: string, stage = "s"): StageText => ({ stage, text });

/** Runs a test body under a paused clock. */
async function paused(
  body: (clock: ReturnType<typeof install>) => Promise<void>,
): Promise<void> {
  const clock = install({ toFake: ["setTimeout", "clearTimeout"] });
  try {
    await body(clock);
  } finally {
    clock.uninstall();
  }
}

/** Sink whose writes end when the test says so. */
function slowSink() {
  const written: StageText[] = [];
  const ends: (() => void)[] = [];
  let stalls = 0;
  const sink = new TextSink({
    write: (one) => {
      written.push(one);
      return new Promise((resolve) => ends.push(resolve));
    },
    onStalled: () => {
      stalls += 1;
    },
  });
  const next = async () => {
    ends.shift()?.();
    await new Promise((resolve) => setImmediate(resolve));
  };
  return { sink, written, next, stalls: () => stalls };
}

// Seen to fail with join() always appending.
test("TextSink joins the text that comes during a write", async () => {
  const { sink, written, next } = slowSink();
  ["a", "b", "c"].forEach((text) => sink.push(piece(text)));
  await next();
  await next();
  assert.deepEqual(written, [piece("a"), piece("bc")]);
});

test("TextSink keeps stages apart and in order", async () => {
  const { sink, written, next } = slowSink();
  [piece("a"), piece("b"), piece("c", "t"), piece("d", "t")]
    .forEach((one) => sink.push(one));
  for (let i = 0; i < 4; i += 1) await next();
  assert.deepEqual(written, [piece("a"), piece("b"), piece("cd", "t")]);
});

// Seen to fail without the race against the timer in #writeOne().
test("TextSink gives up a caller that stopped reading", () =>
  paused(async (clock) => {
    const { sink, written, stalls } = slowSink();
    sink.push(piece("a"));
    sink.push(piece("b"));
    const flushed = sink.flushed();
    await clock.tickAsync(STALLED_MS);
    await flushed;
    sink.push(piece("c"));
    assert.equal(stalls(), 1);
    assert.deepEqual(written, [piece("a")]);
  }));
