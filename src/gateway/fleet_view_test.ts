import assert from "node:assert/strict";
import { err, ok, type Result } from "neverthrow";
import { test } from "node:test";
import { sleep } from "../kernel/mod.ts";
import { targetChange } from "../serving/testing.ts";
import { Metrics, SILENT_LOGGER } from "../telemetry/mod.ts";
import { underPausedClock } from "../testing/mod.ts";
import { FleetView } from "./fleet_view.ts";
import {
  type SourceError,
  StatePart,
  type StateRead,
  type StateSource,
} from "./ports.ts";

/** Version below which the fake store has lost its history. */
const OLDEST = 10;

/** A store whose rows can only be read whole by those that are behind. */
class ForgetfulSource implements StateSource {
  rows: StateRead = { changes: [targetChange("a", 3)], version: 5 };
  hasForgotten = false;

  snapshot(): Promise<Result<StateRead, SourceError>> {
    return Promise.resolve(ok(this.rows));
  }

  async follow(
    _part: StatePart,
    from: { after: number; waitMs: number },
    signal: AbortSignal,
  ): Promise<Result<StateRead, SourceError>> {
    if (this.hasForgotten && from.after < OLDEST) {
      return err({ kind: "history-lost" });
    }
    await sleep(from.waitMs, signal);
    return ok({ changes: [], version: from.after });
  }

  register(): Promise<Result<void, SourceError>> {
    return Promise.resolve(ok());
  }
}

test("FleetView reads rows whole though peers tell older versions", () =>
  underPausedClock(async () => {
    const source = new ForgetfulSource();
    const view = new FleetView({
      source,
      log: SILENT_LOGGER,
      metrics: new Metrics(),
    });
    const abort = new AbortController();
    view.run(abort.signal);
    await sleep(1_000);
    source.hasForgotten = true;
    source.rows = { changes: [targetChange("b", 12)], version: 12 };
    for (let i = 0; i < 20; i++) {
      await sleep(200);
      view.learn([], { [StatePart.Targets]: 5 });
    }
    assert.deepEqual(
      [...view.state.targets].filter(([, { target }]) => target)
        .map(([id]) => id),
      ["b"],
    );
    abort.abort();
  }, { seed: 1 }));
