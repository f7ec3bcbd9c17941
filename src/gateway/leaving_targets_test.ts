import assert from "node:assert/strict";
import { test } from "node:test";
import { NoticeBoard } from "../notices/mod.ts";
import { FleetState, type TargetStart } from "../serving/mod.ts";
import { Metrics, SILENT_LOGGER } from "../telemetry/mod.ts";
import { LeavingTargets } from "./leaving_targets.ts";

const FIRST: TargetStart = { id: "a", bornMs: 1 };
const SECOND: TargetStart = { id: "a", bornMs: 2 };

/** Entry with its own view of the targets that leave. */
class Entry {
  readonly board = new NoticeBoard({ metrics: new Metrics() });
  state = new FleetState();
  readonly targets = new LeavingTargets({
    notices: this.board,
    view: {
      markLeaving: (start) => {
        const before = this.state;
        this.state = before.withLeaving(start);
        return this.state !== before;
      },
    },
    log: SILENT_LOGGER,
    metrics: new Metrics(),
  });

  constructor(readonly name: string) {}

  /** Asks another entry for its notices, which also gets those of this one. */
  exchange(other: Entry): void {
    const message = this.board.messageTo(other.name);
    this.board.handleResponse(
      other.name,
      other.board.respond(this.name, message),
    );
  }
}

test("a notice of an earlier start that arrives late does not bring a leaving target back", () => {
  const [a, b, behind, late] = ["a", "b", "behind", "late"]
    .map((name) => new Entry(name)) as [Entry, Entry, Entry, Entry];
  a.targets.observe(FIRST);
  a.exchange(behind);
  a.targets.observe(SECOND);
  a.exchange(b);
  behind.exchange(b);
  late.exchange(b);
  [b, behind, late].forEach(({ name, state }) =>
    assert.equal(state.isLeaving(SECOND), true, name)
  );
});
