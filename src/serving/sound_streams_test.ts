import assert from "node:assert/strict";
import { test } from "node:test";
import { EventSplitter } from "./event_splitter.ts";

/** Returns the fault that is seen in a stream. */
function faultOf(text: string, after?: string): string | undefined {
  return new EventSplitter(after).push(Buffer.from(text))?.fault;
}

// Guards against sound streams that are cut.
test("identifiers above 2^53 increase", () => {
  const last = "9007199254740992";
  const next = "9007199254740993";
  assert.equal(
    faultOf(`id: ${last}\ndata: a\n\nid: ${next}\ndata: b\n\n`),
    undefined,
  );
});

test("a byte order mark begins a stream", () => {
  assert.equal(faultOf("\uFEFFid: 1\ndata: a\n\n"), undefined);
});

test("a stream that goes on begins with its time of reconnection", () => {
  assert.equal(faultOf("retry: 100\n\nid: 4\ndata: a\n\n", "3"), undefined);
});

test("an empty identifier of a caller's last event is none", () => {
  assert.equal(faultOf("data: a\n\nid: 1\ndata: b\n\n", ""), undefined);
});

test("an unknown field with a capital is ignored", () => {
  assert.equal(faultOf("Weight-Versions: 4\nid: 1\ndata: a\n\n"), undefined);
});

test("a field that is not in use has other characters in its name", () => {
  assert.equal(faultOf("x.y: 4\nid: 1\ndata: a\n\n"), undefined);
});

test("sound forms of events pass", () => {
  [
    ": comment\n\nid: 1\ndata: a\ndata: b\n\nid: 9\ndata\n\n",
    "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n",
    "weight-versions: 4\nid: 1\ndata: a\n\n\n\nid: 2\ndata:\n\n",
    "data: a\n\ndata: b\n\n",
    "id:1\ndata: a\n\nid: 02\ndata: b\n\n",
  ].forEach((text) => {
    assert.equal(faultOf(text), undefined, text);
    const splitter = new EventSplitter();
    [...Buffer.from(text)].forEach((byte) =>
      assert.equal(splitter.push(Buffer.from([byte]))?.fault, undefined, text)
    );
  });
});
