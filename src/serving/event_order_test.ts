import assert from "node:assert/strict";
import { test } from "node:test";
import { EventOrder } from "./event_order.ts";

const EVENT = "id: 4\ndata: x\n\n";

test("EventOrder.check() accepts events, comments and further fields", () => {
  for (
    const text of [
      EVENT,
      "id:4\r\ndata\r\n\r\n",
      ": ping\n\nid: 4\n\n",
      "weight-versions: 2\nid: 4\nevent: a\ndata: x\ndata:\n\n\n\n",
    ]
  ) {
    assert.deepEqual(
      new EventOrder("3").check(text),
      { length: text.length, lastId: "4" },
    );
  }
});

test("EventOrder.check() stops before text that is no event", () => {
  for (
    const text of [
      "HTTP/1.1 500 Error\r\nContent-Length: 6\r\n\r\n",
      "Content-Type: text/plain\r\n\r\n",
      "<html>\n\n",
      '{"error":"failed"}\n\n',
      "id: 5\ndaHTTP/1.1 500 Error\r\n\r\n",
    ]
  ) {
    assert.deepEqual(
      new EventOrder("3").check(EVENT + text + EVENT),
      { length: EVENT.length, lastId: "4", fault: "no event" },
    );
  }
});

test("EventOrder.check() stops before an event that comes twice or too early", () => {
  const fault = "event out of order";
  for (const id of ["0", "3", "4"]) {
    const order = new EventOrder("3");
    assert.equal(order.check(EVENT).fault, undefined);
    assert.equal(order.check(`id: ${id}\ndata: x\n\n`).fault, fault);
  }
  assert.equal(new EventOrder("10").check("id: 9\n\n").fault, fault);
  assert.equal(new EventOrder("9").check("id: 10\n\n").fault, undefined);
});

test("EventOrder.check() requires an identifier only where a stream goes on", () => {
  const text = "data: x\n\n";
  assert.equal(new EventOrder().check(text).fault, undefined);
  const order = new EventOrder("3");
  assert.equal(order.check(text).fault, "event without identifier");
  assert.equal(order.check(EVENT + text).fault, undefined);
});
