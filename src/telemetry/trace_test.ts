import assert from "node:assert/strict";
import { test } from "node:test";
import { type LogFields, SILENT_LOGGER } from "./log.ts";
import { Tracing } from "./trace.ts";

const exportedSpans = (record: (tracing: Tracing) => void): LogFields[] => {
  const spans: LogFields[] = [];
  const log = {
    ...SILENT_LOGGER,
    info: (_event: string, fields: LogFields = {}) => {
      spans.push(fields);
    },
  };
  record(new Tracing({ to: "log", log, process: "p" }));
  return spans;
};

test("Tracing.start() starts a child of the span in the traceparent", () => {
  const [outer, inner] = exportedSpans((tracing) => {
    const parent = tracing.start("entry.request");
    const child = tracing.start("entry.stage", { parent: parent.traceparent });
    parent.end();
    child.end();
  });
  assert.equal(inner?.parent, outer?.id);
  assert.equal(inner?.trace, outer?.trace);
});

test("HopSpan.end() exports the failure and the attributes", () => {
  const [span] = exportedSpans((tracing) =>
    tracing.start("agent.call", { attributes: { target: "t" } }).end("silent")
  );
  assert.equal(span?.failure, "silent");
  assert.equal(span?.target, "t");
});

test("Tracing.start() starts a new trace on a malformed traceparent", () => {
  const [span] = exportedSpans((tracing) =>
    tracing.start("entry.request", { parent: "nonsense" }).end()
  );
  assert.equal(span?.parent, undefined);
});
