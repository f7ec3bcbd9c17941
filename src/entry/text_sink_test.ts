import assert from "node:assert/strict";
import { test } from "node:test";
import { install } from "@sinonjs/fake-timers";
import { type StageText, TextSink, WRITE_TIMEOUT_MS } from "./text_sink.ts";

const chunk = (text: string, stage = "s"): StageText => ({ stage, text });

async function withFakeClock(
  body: (clock: ReturnType<typeof install>) => Promise<void>,
): Promise<void> {
  const clock = install({ toFake: ["setTimeout", "clearTimeout"] });
  try {
    await body(clock);
  } finally {
    clock.uninstall();
  }
}

/** Creates a sink whose writes the test ends one by one. */
function manualSink() {
  const written: StageText[] = [];
  const writeEnds: (() => void)[] = [];
  let stalls = 0;
  const sink = new TextSink({
    write: (text) => {
      written.push(text);
      return new Promise((resolve) => writeEnds.push(resolve));
    },
    onStalled: () => {
      stalls += 1;
    },
  });
  const next = async () => {
    writeEnds.shift()?.();
    await new Promise((resolve) => setImmediate(resolve));
  };
  return { sink, written, next, stalls: () => stalls };
}

// Fails when appendChunk() never merges text of the same stage.
test("TextSink merges the text that arrives during a write", async () => {
  const { sink, written, next } = manualSink();
  ["a", "b", "c"].forEach((text) => sink.push(chunk(text)));
  await next();
  await next();
  assert.deepEqual(written, [chunk("a"), chunk("bc")]);
});

test("TextSink keeps the texts of stages separate and in order", async () => {
  const { sink, written, next } = manualSink();
  [chunk("a"), chunk("b"), chunk("c", "t"), chunk("d", "t")]
    .forEach((text) => sink.push(text));
  for (let i = 0; i < 4; i += 1) await next();
  assert.deepEqual(written, [chunk("a"), chunk("b"), chunk("cd", "t")]);
});

// Fails when #writeOne() does not race the write against its timeout.
test("TextSink abandons a caller that stopped reading", () =>
  withFakeClock(async (clock) => {
    const { sink, written, stalls } = manualSink();
    sink.push(chunk("a"));
    sink.push(chunk("b"));
    const flushed = sink.flushed();
    await clock.tickAsync(WRITE_TIMEOUT_MS);
    await flushed;
    sink.push(chunk("c"));
    assert.equal(stalls(), 1);
    assert.deepEqual(written, [chunk("a")]);
  }));
