import assert from "node:assert/strict";
import { test } from "node:test";
import { UNRECORDED, versionInEra } from "../serving/mod.ts";
import { targetChange } from "../serving/testing.ts";
import {
  decodeChange,
  decodeVersions,
  encodeChange,
  encodeVersions,
} from "./sync_versions.ts";

const OWN = { targets: versionInEra(3, 90) };

test("versions and changes keep their eras between entries", () => {
  const versions = { targets: versionInEra(3, 95), peers: 7 };
  assert.deepEqual(decodeVersions(encodeVersions(versions), OWN), versions);
  const change = targetChange("a", versionInEra(2, 40));
  assert.deepEqual(decodeChange(encodeChange(change), OWN.targets), change);
});

test("entries that know no eras get the numbers of the store", () => {
  const { versions } = encodeVersions({ targets: versionInEra(3, 95) });
  assert.deepEqual(versions, { targets: 95 });
  const change = encodeChange(targetChange("a", versionInEra(3, 95)));
  assert.equal(change.version, 95);
});

test("numbers of entries that know no eras are of the receiver's era", () => {
  const decoded = decodeVersions({ versions: { targets: 95 } }, OWN);
  assert.deepEqual(decoded, { targets: versionInEra(3, 95) });
  const change = decodeChange(targetChange("a", 95), OWN.targets);
  assert.equal(change.version, versionInEra(3, 95));
});

test("builds without a record stay without one", () => {
  const build = {
    kind: "build",
    version: UNRECORDED,
    pool: "p",
    build: "b",
  } as const;
  assert.equal(decodeChange(encodeChange(build), OWN.targets).version, 0);
  assert.equal(decodeChange(build, OWN.targets).version, UNRECORDED);
});
