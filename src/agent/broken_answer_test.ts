import assert from "node:assert/strict";
import { type AddressInfo, createServer } from "node:net";
import { test } from "node:test";
import type { StageCall } from "../model/mod.ts";
import { EngineClient } from "./engine_client.ts";
import { ServiceClient } from "./service_client.ts";
import type { TargetClient } from "./target_client.ts";

const CALL = {
  callId: "c1",
  kind: "file",
  pipeline: "p",
  stage: "s",
  priority: "batch",
  input: {},
} as unknown as StageCall;
const CALL_TIMEOUT_MS = 2_000;
/** Time after which the target ends the connection, in milliseconds. */
const BREAK_MS = 20;

type Create = (url: string) => TargetClient;
const engine: Create = (url) => new EngineClient(url);
const service: Create = (url) => new ServiceClient(url);

/** How a target ends the connection. */
const Ending = { Close: "close", Reset: "reset" } as const;
type Ending = typeof Ending[keyof typeof Ending];

/**
 * Writes `text` in place of a response; returns what the client made of it. The
 * target reads the first bytes of the request only.
 */
async function run(
  create: Create,
  text: string,
  ending: Ending,
  call = CALL,
): Promise<string> {
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => {
      socket.pause();
      socket.write(text);
      setTimeout(() => {
        if (ending === Ending.Close) socket.end();
        else socket.resetAndDestroy();
      }, BREAK_MS);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const client = create(`http://127.0.0.1:${port}`);
  try {
    const signal = AbortSignal.timeout(CALL_TIMEOUT_MS);
    const outcome = await client.run(call, { signal, onText: () => {} });
    return outcome.match(
      ({ output }) => `output ${JSON.stringify(output)}`,
      ({ mayHaveRun, reason }) =>
        `${mayHaveRun ? "unknown" : "not run"} ${reason}`,
    );
  } finally {
    await client.close();
    server.close();
  }
}

const HEAD = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
const UNFRAMED = `${HEAD}\r\n`;
const CHUNKED = `${HEAD}Transfer-Encoding: chunked\r\n\r\n`;
const chunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;
const token = (text: string) =>
  `data: ${JSON.stringify({ choices: [{ text, finish_reason: null }] })}\n\n`;
const END = "data: [DONE]\n\n";

function framed(body: string, length = body.length): string {
  return `${HEAD}Content-Length: ${length}\r\n\r\n${body}`;
}

/** Prefixes of a head and whole heads without their body. */
const CUT_HEADS: Readonly<Record<string, string>> = {
  "nothing": "",
  "a status line": "HTTP/1.1 200 OK\r\n",
  "half a field": `${HEAD}Content-Le`,
  "half a length": `${HEAD}Content-Length: 1`,
  "all but the blank line": `${HEAD}Content-Length: 0\r\n`,
  "a 103": "HTTP/1.1 103 Early\r\n\r\n",
  "a 103 and half a head": `HTTP/1.1 103 Early\r\n\r\n${HEAD}`,
  "a head that closes, without its body":
    `${HEAD}Connection: close\r\nContent-Length: 4\r\n\r\n`,
  "no chunk": CHUNKED,
};

/** What a plain service writes in place of the JSON value 1234. */
const SHORT_JSON: Readonly<Record<string, string>> = {
  ...CUT_HEADS,
  "half a body": framed("12", 4),
  "chunks without the last": CHUNKED + chunk("12"),
  "chunks and half the last": CHUNKED + chunk("1234") + "0\r\n",
  "no body": framed(""),
  "half an object": framed('{"a":1'),
  "HTML": framed("<html></html>"),
};

/** What an engine writes in place of a whole stream of two tokens. */
const SHORT_STREAMS: Readonly<Record<string, string>> = {
  ...CUT_HEADS,
  "no event": framed(""),
  "no end mark": framed(token("a") + token("b")),
  "half an event": CHUNKED + chunk(token("a") + "data: {"),
  "half an end mark": framed(token("a") + "data: [DONE]\n"),
  "an end mark inside half a chunk": CHUNKED + chunk(token("a")) +
    "20\r\ndata: [DONE]\n",
  "a length that is cut": framed(token("a"), 900),
  "an error": framed(token("a") + 'data: {"error":{"message":"x"}}\n\n' + END),
  "an error beside no choices": framed(
    token("a") + 'data: {"choices":[],"error":{"message":"x"}}\n\n' + END,
  ),
  "an error as an event": framed(
    token("a") + 'event: error\ndata: {"message":"x"}\n\n' + END,
  ),
  "an error of an object": framed(
    token("a") + 'data: {"object":"error","message":"x"}\n\n' + END,
  ),
  "text in place of JSON": framed(token("a") + "data: failed\n\n" + END),
  "a token that is no text": framed(
    token("a") + 'data: {"choices":[{"text":{}}]}\n\n' + END,
  ),
  "a head": framed(
    token("a") + "HTTP/1.1 500 Error\r\nContent-Length: 6\r\n\r\nfailed",
  ),
};

async function assertUnknown(
  create: Create,
  answers: Readonly<Record<string, string>>,
  endings: readonly Ending[] = Object.values(Ending),
  call = CALL,
): Promise<void> {
  const seen = await Promise.all(
    Object.entries(answers).flatMap(([name, text]) =>
      endings.map(async (ending) => {
        const outcome = await run(create, text, ending, call);
        return outcome.startsWith("unknown")
          ? []
          : [`${name}, ${ending}: ${outcome}`];
      })
    ),
  );
  assert.equal(seen.flat().join("\n"), "");
}

test("a short answer of a plain service never passes for its output", () =>
  assertUnknown(service, SHORT_JSON));

test("a short stream of an engine never passes for its output", () =>
  assertUnknown(engine, SHORT_STREAMS));

// Guards against half a value that is JSON too.
test("an answer of a plain service that is reset is not complete", () =>
  assertUnknown(service, {
    "no length": `${UNFRAMED}12`,
    "another transfer coding": `${HEAD}Transfer-Encoding: identity\r\n\r\n12`,
  }, [Ending.Reset]));

/** A call whose body does not fit into the buffers of its connection. */
const UPLOAD = { ...CALL, input: { text: "x".repeat(3_000_000) } } as StageCall;

test("an answer that is reset while its call is being sent is not complete", async () => {
  const answers = {
    "no length": `${UNFRAMED}12`,
    "a length": framed("12", 4),
    "chunks": CHUNKED + chunk("12"),
  };
  await assertUnknown(service, answers, [Ending.Reset], UPLOAD);
  await assertUnknown(engine, answers, [Ending.Reset], UPLOAD);
});

test("no status but that of a success passes for an output", async () => {
  const statuses = ["000", "00", "099", "101", "201", "299", "700", "999"];
  const answers = Object.fromEntries(
    statuses.map((status) => [status, framed("1234").replace("200", status)]),
  );
  await assertUnknown(service, answers, [Ending.Close]);
  await assertUnknown(engine, answers, [Ending.Close]);
});

test("an error inside a stream counts as a failure of the engine", async () => {
  const names = Object.keys(SHORT_STREAMS).filter((name) =>
    name.startsWith("an error") || name.startsWith("text") ||
    name.startsWith("a token")
  );
  const seen = await Promise.all(
    names.map((name) => run(engine, SHORT_STREAMS[name] ?? "", Ending.Close)),
  );
  assert.deepEqual(seen, names.map(() => "unknown target-failed"));
});

test("whole answers of unusual form are accepted", async () => {
  const json = "1234";
  const stream = ": ping\n\n" + token("a") + 'data: {"choices":[]}\n\n' +
    token("b") + END;
  const forms: ((body: string) => string)[] = [
    framed,
    (body) => UNFRAMED + body,
    (body) => CHUNKED + chunk(body) + chunk(""),
    (body) => "HTTP/1.1 103 Early\r\n\r\n" + framed(body),
    (body) => `${HEAD}Connection: close\r\n\r\n${body}`,
  ];
  for (const form of forms) {
    assert.equal(await run(service, form(json), Ending.Close), "output 1234");
    assert.equal(
      await run(engine, form(stream), Ending.Close),
      'output {"text":"ab"}',
    );
  }
});
