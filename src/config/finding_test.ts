import assert from "node:assert/strict";
import { test } from "node:test";
import type { Checked } from "./finding.ts";
import { check, checkJson, formatFindings } from "./finding.ts";
import {
  checkConsistency,
  checkOrganisationList,
  checkUseList,
} from "./lists.ts";
import { agentSettingsSchema, entrySettingsSchema } from "./settings.ts";

const PLATFORM = {
  tableUrl: "http://127.0.0.1:1",
  objectStoreUrl: "http://127.0.0.1:2",
  hostListUrl: "http://127.0.0.1:3",
  weightStoreUrl: "http://127.0.0.1:4",
};
const ENTRY = {
  name: "e",
  host: "h",
  domain: "d",
  control: { address: "127.0.0.1", port: 1 },
  listen: { address: "127.0.0.1", port: 2 },
  platform: PLATFORM,
};

const findings = (checked: Checked<unknown>) =>
  checked.isErr() ? formatFindings(checked.error).split("\n") : [];

test("check() accepts settings and fills in the defaults", () => {
  const checked = check(entrySettingsSchema, ENTRY);
  assert.equal(checked.isOk() && checked.value.drainMs, 30_000);
});

test("check() reports every finding with its JSON path", () => {
  const invalid = { ...ENTRY, listen: { address: "", port: 70_000 }, name: 3 };
  const paths = findings(check(entrySettingsSchema, invalid))
    .map((line) => line.split(":")[0]);
  assert.deepEqual(paths, ["$.name", "$.listen.address", "$.listen.port"]);
});

test("check() suggests the known key closest to an unknown one", () => {
  const invalid = {
    ...ENTRY,
    drainMS: 3,
    platform: { ...PLATFORM, tableUri: "x" },
  };
  assert.deepEqual(findings(check(entrySettingsSchema, invalid)), [
    "$.platform.tableUri: Unknown key; did you mean tableUrl?",
    "$.drainMS: Unknown key; did you mean drainMs?",
  ]);
});

test("check() lists the known keys when none is similar", () => {
  const invalid = { ...ENTRY, control: { ...ENTRY.control, encryption: true } };
  assert.match(
    findings(check(agentSettingsSchema, invalid)).join("\n"),
    /\$\.control\.encryption: Unknown key; known are address, port/,
  );
});

test("checkJson() reports text that is not JSON", () => {
  assert.match(
    findings(checkJson(entrySettingsSchema, "{,"))[0] ?? "",
    /^\$: Not JSON/,
  );
});

test("checkConsistency() reports duplicate and unknown names with their path", () => {
  const hash = "0".repeat(64);
  const organisation = { id: "c", plan: "none", keySha256: hash };
  const organisations = checkOrganisationList({
    organisations: [organisation, organisation],
  })
    .unwrap();
  const plan = { name: "p", weight: 1, maxConcurrent: 1, pipelines: ["x"] };
  const use = checkUseList({ plans: [plan], pipelines: [] }).unwrap();
  assert.deepEqual(findings(checkConsistency(organisations, use)), [
    "$.organisations[1]: c occurs more than once",
    `$.organisations[1]: ${hash} occurs more than once`,
    "$.organisations[0].plan: No plan is called none",
    "$.organisations[1].plan: No plan is called none",
    "$.plans[0].pipelines[0]: No pipeline is called x",
  ]);
});
