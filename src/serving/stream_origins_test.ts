import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import {
  Acknowledgements,
  MAX_ORIGINS,
  ORIGIN_TTL_MS,
  type OriginRecord,
  StreamOrigins,
} from "./stream_origins.ts";

function record(
  stream: string,
  build: string,
  expiresAt: number,
): OriginRecord {
  return { stream, origin: { pool: "plain", build }, expiresAt };
}

/** Additions: gap in time, stream, build and time until the expiry. */
const ADDITIONS = fc.array(
  fc.tuple(
    fc.nat(20_000),
    fc.nat(30).map((i) => `s${i}`),
    fc.constantFrom("v1", "v2"),
    fc.integer({ min: -1_000, max: 2 * ORIGIN_TTL_MS }),
  ),
  { maxLength: 200 },
);

test("StreamOrigins knows each stream until its expiry and by its first build", () => {
  fc.assert(fc.property(ADDITIONS, fc.nat(90_000), (additions, laterMs) => {
    const expected = new Map<string, { build: string; expiresAt: number }>();
    let origins = new StreamOrigins();
    let now = 0;
    additions.forEach(([gapMs, stream, build, leftMs]) => {
      now += gapMs;
      const expiresAt = now + Math.min(leftMs, ORIGIN_TTL_MS);
      const known = expected.get(stream);
      const isKnown = known !== undefined && known.expiresAt > now;
      if (isKnown) known.expiresAt = Math.max(known.expiresAt, expiresAt);
      else if (leftMs > 0) expected.set(stream, { build, expiresAt });
      origins = origins.add(record(stream, build, now + leftMs), now);
    });
    const at = now + laterMs;
    const live = [...expected].filter(([, { expiresAt }]) => expiresAt > at);
    live.forEach(([stream, { build }]) =>
      assert.deepEqual(origins.of(stream, at), { pool: "plain", build })
    );
    assert.deepEqual(
      origins.live(at).map(({ stream }) => stream).sort(),
      live.map(([stream]) => stream).sort(),
    );
  }));
});

test("StreamOrigins discards the oldest records beyond its maximum", () => {
  let origins = new StreamOrigins();
  const count = 2 * MAX_ORIGINS;
  for (let i = 0; i < count; i++) {
    origins = origins.add(record(`s${i}`, "v1", ORIGIN_TTL_MS), 0);
  }
  assert.ok(origins.size <= MAX_ORIGINS);
  assert.equal(origins.of("s0", 1), undefined);
  assert.equal(origins.of(`s${count - 1}`, 1)?.build, "v1");
  assert.equal(origins.of(`s${count - MAX_ORIGINS / 2}`, 1)?.build, "v1");
});

test("StreamOrigins discards expired records", () => {
  let origins = new StreamOrigins();
  for (let i = 0; i < 1_000; i++) {
    const now = i * 1_000;
    origins = origins.add(record(`s${i}`, "v1", now + ORIGIN_TTL_MS), now);
  }
  assert.ok(origins.size < 80, `${origins.size} records`);
});

test("StreamOrigins.add() leaves the origins that it extends unchanged", () => {
  const before = new StreamOrigins().add(record("s1", "v1", 100), 0);
  before.add(record("s2", "v1", 100), 0);
  assert.equal(before.of("s2", 1), undefined);
});

test("Acknowledgements are those of the peer since it was last forgotten", () => {
  const step = fc.record({
    peer: fc.constantFrom("a", "b"),
    streams: fc.array(fc.constantFrom("s1", "s2", "s3")),
    isLoss: fc.boolean(),
  });
  fc.assert(fc.property(fc.array(step), (steps) => {
    const expected = new Map([["a", new Set()], ["b", new Set()]]);
    let acknowledged = new Acknowledgements();
    steps.forEach(({ peer, streams, isLoss }) => {
      if (isLoss) {
        expected.set(peer, new Set());
        acknowledged = acknowledged.forget(peer);
      } else {
        streams.forEach((stream) => expected.get(peer)?.add(stream));
        acknowledged = acknowledged.add(peer, streams);
      }
    });
    const retained = acknowledged.retain(new Set(["s1"]));
    expected.forEach((streams, peer) =>
      ["s1", "s2", "s3"].forEach((stream) => {
        assert.equal(acknowledged.has(peer, stream), streams.has(stream));
        const isRetained = streams.has(stream) && stream === "s1";
        assert.equal(retained.has(peer, stream), isRetained);
      })
    );
  }));
});
