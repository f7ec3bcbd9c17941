import assert from "node:assert/strict";
import { test } from "node:test";
import { connectionFailure, statusFailure } from "./target_failure.ts";

function errorOf(code: string, syscall: string): Error {
  return Object.assign(new Error(`${syscall} ${code}`), { code, syscall });
}

// Guards against "not run" for a call whose connection lost its route after it was sent.
["EHOSTUNREACH", "ENETUNREACH"].forEach((code) =>
  test(`${code} while a response is read says nothing of the call`, () => {
    assert.equal(connectionFailure(errorOf(code, "read")).mayHaveRun, true);
    assert.equal(connectionFailure(errorOf(code, "write")).mayHaveRun, true);
    assert.equal(connectionFailure(errorOf(code, "connect")).mayHaveRun, false);
  })
);

// Guards against "not run" beside the status of a failure of the target's own.
test("a statement of not having run is void beside a 500", () => {
  assert.equal(statusFailure(500, { "x-not-run": "1" }).mayHaveRun, true);
});
