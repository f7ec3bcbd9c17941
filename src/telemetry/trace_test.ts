import assert from "node:assert/strict";
import { test } from "node:test";
import { type LogFields, SILENT_LOGGER } from "./log.ts";
import { Tracing } from "./trace.ts";

const spansOf = (work: (tracing: Tracing) => void): LogFields[] => {
  const spans: LogFields[] = [];
  const log = {
    ...SILENT_LOGGER,
    info: (_event: string, fields: LogFields = {}) => {
      spans.push(fields);
    },
  };
  work(new Tracing({ to: "log", log, process: "p" }));
  return spans;
};

test("Tracing.start() makes the span a child of the traceparent's span", () => {
  const [outer, inner] = spansOf((tracing) => {
    const parent = tracing.start("entry.request");
    const child = tracing.start("entry.stage", { parent: parent.traceparent });
    parent.end();
    child.end();
  });
  assert.equal(inner?.parent, outer?.id);
  assert.equal(inner?.trace, outer?.trace);
});

test("HopSpan.end() writes the failure and the attributes", () => {
  const [span] = spansOf((tracing) =>
    tracing.start("agent.call", { attributes: { target: "t" } }).end("silent")
  );
  assert.equal(span?.failure, "silent");
  assert.equal(span?.target, "t");
});

test("Tracing.start() starts a new trace below a malformed traceparent", () => {
  const [span] = spansOf((tracing) =>
    tracing.start("entry.request", { parent: "nonsense" }).end()
  );
  assert.equal(span?.parent, undefined);
});
