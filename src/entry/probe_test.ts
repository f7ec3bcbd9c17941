import assert from "node:assert/strict";
import { test } from "node:test";
import { monotonicMs, sleep } from "../kernel/mod.ts";
import type { Target } from "../model/mod.ts";
import { withPausedClock } from "../testing/mod.ts";
import type { AgentClient } from "../wire/mod.ts";
import { KnownTargets } from "./known_targets.ts";
import { PROBE_AFTER_MS, probeStaleTargets } from "./probe.ts";

const TARGET = { id: "t1", agentUrl: "http://t1" } as Target;

test("a failed probe does not make an old load report look fresh", () =>
  withPausedClock(async () => {
    const known = new KnownTargets(() =>
      ({
        targetState: () => Promise.reject(new Error("no response")),
      }) as unknown as AgentClient
    );
    const reportedAt = monotonicMs();
    known.of(TARGET);
    const abort = new AbortController();
    let failures = 0;
    probeStaleTargets({
      targets: () => [TARGET],
      known,
      onFailure: () => failures += 1,
      signal: abort.signal,
    });
    await sleep(3 * PROBE_AFTER_MS);
    abort.abort();
    assert.equal(known.of(TARGET).lastReportAt, reportedAt);
    assert.equal(failures, 2);
  }, { seed: 1 }));
