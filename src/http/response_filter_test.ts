import assert from "node:assert/strict";
import { get } from "node:http";
import { Duplex } from "node:stream";
import { test } from "node:test";
import fc from "fast-check";
import { ResponseFilter, type SkippedResponse } from "./response_filter.ts";

const RUNS = 2_000;
/** Runs that compare with another parser. */
const PARSER_RUNS = 1_000;
const HEADER = "request-id";
const OWN_ID = "own-5f3a";
/** Most responses that are skipped in a row. */
const MAX_SKIPPED = 4;

interface Filtered {
  readonly passed: string;
  /** True when the connection can't go on. */
  readonly isBroken: boolean;
  readonly skipped: readonly SkippedResponse[];
  readonly skippedBytes: number;
}

/** Filters the parts of what one exchange receives. */
function filter(parts: readonly Buffer[]): Filtered {
  const skipped: SkippedResponse[] = [];
  let skippedBytes = 0;
  const filter = new ResponseFilter((bytes) => skippedBytes += bytes);
  filter.begin({
    header: HEADER,
    requestId: OWN_ID,
    onSkipped: (response) => skipped.push(response),
  });
  const passed: Buffer[] = [];
  for (const part of parts) {
    const bytes = filter.push(part);
    if (!bytes) break;
    passed.push(bytes);
  }
  return {
    passed: Buffer.concat(passed).toString("latin1"),
    isBroken: passed.length < parts.length,
    skipped,
    skippedBytes,
  };
}

/** Cuts bytes at positions that are given as shares of their length. */
function cut(bytes: Buffer, shares: readonly number[]): Buffer[] {
  const ends = shares.map((share) => Math.floor(share * bytes.length));
  const starts = [0, ...ends.toSorted((a, b) => a - b)];
  return starts.map((start, i) => bytes.subarray(start, starts[i + 1]))
    .filter(({ length }) => length > 0);
}

const share = fc.nat(9_999).map((n) => n / 10_000);
const shares = fc.array(share, { maxLength: 12 });

const otherFields = fc.array(
  fc.constantFrom(
    "Server-Signature: 3e1b.07",
    "Not-Executed: 1",
    "Connection: keep-alive",
    "Server-Load: 9,9,1",
    "X-Odd:\t",
  ),
  { maxLength: 3 },
);

/** Bodies among which some look like heads and framing. */
const bodies = fc.oneof(
  fc.string({ unit: "binary", maxLength: 40 }),
  fc.constantFrom(
    "\r\n\r\n",
    "0\r\n\r\n",
    `HTTP/1.1 200 OK\r\nRequest-Id: ${OWN_ID}\r\nContent-Length: 0\r\n\r\n`,
  ),
).map((text) => Buffer.from(text).toString("latin1"));

const chunked = fc.array(bodies, { maxLength: 3 }).map((chunks) =>
  chunks.filter(({ length }) => length > 0)
    .map((text) => `${text.length.toString(16)}\r\n${text}\r\n`)
    .join("") + "0\r\n\r\n"
);

const framed = fc.oneof(
  bodies.map((body) => ({
    status: 200,
    field: `Content-Length: ${body.length}`,
    body,
  })),
  chunked.map((body) => ({
    status: 503,
    field: "Transfer-Encoding: chunked",
    body,
  })),
  fc.constant({ status: 204, field: "Date: now", body: "" }),
);

function responses(id: fc.Arbitrary<string>): fc.Arbitrary<string> {
  return fc.tuple(id, otherFields, framed).map(([id, fields, framed]) => {
    const { status, field, body } = framed;
    const lines = [...fields, `Request-Id: ${id}`, field].join("\r\n");
    return `HTTP/1.1 ${status} Status\r\n${lines}\r\n\r\n${body}`;
  });
}

const foreign = responses(fc.stringMatching(/^[0-9a-f]{1,16}$/));
const own = responses(fc.constant(OWN_ID));

test("whole responses to other requests are skipped however the bytes are split", () => {
  fc.assert(
    fc.property(
      fc.array(foreign, { maxLength: MAX_SKIPPED }),
      own,
      bodies,
      shares,
      (foreign, own, more, shares) => {
        const received = Buffer.from(
          [...foreign, own, more].join(""),
          "latin1",
        );
        const filtered = filter(cut(received, shares));
        assert.equal(filtered.passed, own + more);
        assert.equal(filtered.skipped.length, foreign.length);
        assert.equal(filtered.skippedBytes, foreign.join("").length);
      },
    ),
    { numRuns: RUNS },
  );
});

/** Texts on which parsers of HTTP could disagree. */
const ADDED = [
  ..."\n \r \r\n \t 0 1 a ; , : - + 0x3 chunked HTTP/1.1 304 204".split(" "),
  " ",
  "",
  "Content-Length: 3\r\n",
  "Transfer-Encoding: chunked\r\n",
  "Transfer-Encoding: identity\r\n",
  "Connection: close\r\n",
];

const edits = fc.array(
  fc.record({
    share,
    removed: fc.nat({ max: 30 }),
    added: fc.oneof(
      fc.constantFrom(...ADDED),
      fc.string({ maxLength: 3 }),
    ),
  }),
  { maxLength: 3 },
);

/** Removes and adds bytes. */
function edit(
  text: string,
  changes: readonly {
    readonly share: number;
    readonly removed: number;
    readonly added: string;
  }[],
): string {
  return changes.reduce((edited, { share, removed, added }) => {
    const at = Math.floor(share * edited.length);
    return edited.slice(0, at) + added + edited.slice(at + removed);
  }, text);
}

test("the result for damaged responses does not depend on how the bytes are split", () => {
  fc.assert(
    fc.property(
      fc.array(foreign, { maxLength: MAX_SKIPPED + 2 }),
      own,
      edits,
      shares,
      (foreign, own, edits, shares) => {
        const text = edit([...foreign, own].join(""), edits);
        const received = Buffer.from(text, "latin1");
        const whole = filter([received]);
        assert.deepEqual(filter(cut(received, shares)), whole);
        const bytes = Array.from(received, (byte) => Buffer.from([byte]));
        assert.deepEqual(filter(bytes), whole);
      },
    ),
    { numRuns: RUNS },
  );
});

test("what passes of damaged responses is the untouched rest of the bytes", () => {
  fc.assert(
    fc.property(
      fc.array(foreign, { maxLength: MAX_SKIPPED + 2 }),
      own,
      edits,
      shares,
      (foreign, own, edits, shares) => {
        const text = edit([...foreign, own].join(""), edits);
        const received = Buffer.from(text, "latin1");
        const filtered = filter(cut(received, shares));
        const { passed, skipped, skippedBytes, isBroken } = filtered;
        if (isBroken) assert.equal(passed, "");
        if (passed !== "") assert.equal(passed, text.slice(skippedBytes));
        assert.ok(skipped.length <= MAX_SKIPPED);
        assert.ok(skipped.every(({ requestId }) => requestId !== OWN_ID));
      },
    ),
    { numRuns: RUNS },
  );
});

/** True if another parser takes the bytes for one response and its end. */
function isWholeResponse(bytes: Buffer): Promise<boolean> {
  const connection = new Duplex({
    read: () => {},
    write: (_chunk, _encoding, done) => done(),
  });
  return new Promise((resolve) => {
    const req = get({ createConnection: () => connection });
    req.on("error", () => resolve(false));
    req.on("response", (res) => {
      res.on("error", () => resolve(false));
      res.on("end", () => resolve(res.complete));
      res.resume();
    });
    connection.push(bytes);
    connection.push(null);
  });
}

test("a skipped response ends where another parser finds its end", async () => {
  await fc.assert(
    fc.asyncProperty(foreign, edits, async (foreign, edits) => {
      const response = Buffer.from(edit(foreign, edits), "latin1");
      const { skipped, skippedBytes } = filter([response]);
      if (skipped.length !== 1) return;
      const bytes = response.subarray(0, skippedBytes);
      assert.equal(await isWholeResponse(bytes), true);
      assert.equal(await isWholeResponse(bytes.subarray(0, -1)), false);
    }),
    { numRuns: PARSER_RUNS },
  );
});

test("bytes pass untouched while no response is awaited", () => {
  const filter = new ResponseFilter(() => {});
  const bytes = Buffer.from(
    "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 0\r\n\r\n",
  );
  assert.equal(filter.push(bytes), bytes);
  filter.begin({ header: HEADER, requestId: OWN_ID, onSkipped: () => {} });
  filter.end();
  assert.equal(filter.push(bytes), bytes);
});

test("a response that repeats the identifier in another case is not skipped", () => {
  const received =
    `HTTP/1.1 200 OK\r\nRequest-Id: ${OWN_ID.toUpperCase()}\r\n` +
    "Content-Length: 0\r\n\r\n";
  assert.equal(filter([Buffer.from(received)]).passed, received);
});

test("a head is held back up to its limit only", () => {
  const start = "HTTP/1.1 200 OK\r\nRequest-Id: other\r\n";
  const line = `X-More: ${"x".repeat(1_000)}\r\n`;
  const short = Buffer.from(start + line.repeat(10));
  assert.equal(filter([short]).passed, "");
  const long = Buffer.from(start + line.repeat(20));
  assert.equal(filter([long]).passed, long.toString());
  const whole = Buffer.concat([long, Buffer.from("Content-Length: 0\r\n\r\n")]);
  assert.equal(filter([whole]).passed, whole.toString());
});

// Guards against a response whose end is found elsewhere by another parser.
["Transfer-Encoding: chunked\t", "Content-Length: 3 ", "Content-Length: +3"]
  .forEach((field) =>
    test(`a response with "${field}" is not skipped`, () => {
      const received = Buffer.from(
        `HTTP/1.1 200 OK\r\nRequest-Id: other\r\n${field}\r\n\r\n0\r\n\r\n`,
      );
      assert.equal(filter([received]).passed, received.toString());
    })
  );
