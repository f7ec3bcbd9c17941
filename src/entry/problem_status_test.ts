import assert from "node:assert/strict";
import { test } from "node:test";
import { outcomeUnknown, RefusalReason } from "../model/mod.ts";
import { problemOf } from "./problem.ts";

const PROMISES: readonly number[] = [408, 421, 429, 503];

// Guards against a status that promises "not run" for work that may have run.
test("no refusal with an unknown outcome has a status that promises", () => {
  const wrong = Object.values(RefusalReason).filter((reason) =>
    PROMISES.includes(problemOf(outcomeUnknown(reason, "")).status)
  );
  assert.deepEqual(wrong, []);
});
