import { install } from "@sinonjs/fake-timers";
import assert from "node:assert/strict";
import { test } from "node:test";
import { HostState } from "../store/mod.ts";
import { MemoryHostList, MemoryTable } from "../standin/mod.ts";
import { createLogger, LogLevel } from "../telemetry/mod.ts";
import { RegistrationCleaner } from "./registration_cleaner.ts";
import { HostsSync } from "./hosts_sync.ts";
import { Members } from "./members.ts";
import { registerTarget } from "./registry.ts";

const MINUTE_MS = 60_000;
const log = await createLogger({ level: LogLevel.Silent, fields: {} });

const live = (host: string) => ({ host, domain: "d", state: HostState.Live });

/**
 * Registers targets t-a, t-b and t-c on hosts a, b and c, lists only the hosts
 * `listed` from then on, and returns the targets left after `minutes` rounds
 * of one minute each.
 */
async function targetsAfterCleaning(listed: string, minutes: number) {
  const clock = install();
  const table = new MemoryTable();
  const list = new MemoryHostList({ hosts: [..."abc"].map(live), lagMs: 0 });
  for (const host of "abc") {
    await registerTarget(table, {
      id: `t-${host}`,
      pool: "p",
      kind: "service",
      host,
      domain: "d",
      agentUrl: "u",
    });
  }
  const members = new Members(table);
  const hosts = new HostsSync({ hosts: list, log });
  const cleaner = new RegistrationCleaner({ table, members, hosts, log });
  const refresh = async () => {
    await members.refresh();
    await hosts.refresh();
  };
  await refresh();
  list.replace([...listed].map(live));
  await clock.tickAsync(MINUTE_MS);
  await refresh();
  for (let minute = 0; minute < minutes; minute += 1) {
    await clock.tickAsync(MINUTE_MS);
    await refresh();
    await cleaner.round();
  }
  await members.refresh();
  clock.uninstall();
  return members.targets.map(({ id }) => id).join(" ");
}

test("RegistrationCleaner.round() keeps a target whose host is missing for less than 10 minutes", async () => {
  assert.equal(await targetsAfterCleaning("bc", 9), "t-a t-b t-c");
});

test("RegistrationCleaner.round() removes a target whose host is missing for 10 minutes", async () => {
  assert.equal(await targetsAfterCleaning("bc", 11), "t-b t-c");
});

// Fails when `isTrusted` is not checked.
test("RegistrationCleaner.round() removes nothing when most hosts are missing from the list", async () => {
  assert.equal(await targetsAfterCleaning("c", 30), "t-a t-b t-c");
});
