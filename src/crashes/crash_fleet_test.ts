import assert from "node:assert/strict";
import { test } from "node:test";
import { monotonicMs, seededRandom, sleep } from "../kernel/mod.ts";
import { NoticeBoard } from "../notices/mod.ts";
import { Metrics, SILENT_LOGGER } from "../telemetry/mod.ts";
import { withPausedClock } from "../testing/paused_clock.ts";
import { CrashWatch } from "./crash_watch.ts";
import { Reachability, type WatchedTarget } from "./ports.ts";

const SEEDS = 40;
const ENTRIES = 5;
const TARGETS = 12;
const DAY_MS = 60_000;
/** Time within which what one process learns reaches the others, in ms. */
const CONTACT_MS = 3_000;
/** Requests with a crashing segment that may be sent later than that. */
const MAX_LATER = 3;
const MAX_CRASHES = 5;
const SYNC_MS = 400;
/** Time until a target begins to write, and until its answer is complete. */
const PREFILL_MS = 100;
const ANSWER_MS = 1_500;
/** Time until a target that has crashed is back. */
const RESTART_MS = 4_000;
const BAD = "bad";

interface Target extends WatchedTarget {
  readonly calls: Set<() => void>;
  upAt: number;
}

/** Entries under load whose targets crash, by a prompt and for no reason. */
class Day {
  readonly #random: () => number;
  readonly #watches: CrashWatch[] = [];
  readonly #boards: NoticeBoard[] = [];
  /** Times until which processes are restarted or cut off. */
  readonly #awayUntil: number[] = [];
  #targets: Target[] = [];
  #starts = 0;
  #requests = 0;
  /** Times of crashes by the segment, and of requests that reached a target. */
  readonly badCrashes: number[] = [];
  readonly badSent: { at: number; isInTouch: boolean }[] = [];
  sound = { sent: 0, refused: 0 };

  constructor(seed: number) {
    this.#random = seededRandom(seed);
    for (let i = 0; i < ENTRIES; i++) this.#restart(i);
    for (let i = 0; i < TARGETS; i++) this.#targets.push(this.#target(0));
  }

  async run(): Promise<void> {
    const endAt = monotonicMs() + DAY_MS;
    await Promise.all([
      this.#every(endAt, () => SYNC_MS, () => this.#sync()),
      this.#every(
        endAt,
        () => 40 + 80 * this.#random(),
        () => this.#send(this.#soundPrompt()),
      ),
      this.#every(
        endAt,
        () => 400 + 1_200 * this.#random(),
        () =>
          this.#send([
            this.#pick(["a", "b", "c"]),
            BAD,
            `own${this.#requests}`,
          ]),
      ),
      this.#every(
        endAt,
        () => 3_000 + 8_000 * this.#random(),
        () => this.#disturb(),
      ),
    ]);
  }

  /** Requests with the segment sent later than allowed. */
  get later(): number {
    const fifth = this.badCrashes[MAX_CRASHES - 1] ?? Infinity;
    return this.badSent
      .filter(({ at, isInTouch }) => isInTouch && at > fifth + CONTACT_MS)
      .length;
  }

  #soundPrompt(): readonly string[] {
    const rare = `r${Math.floor(100 * this.#random())}`;
    return [this.#pick(["a", "b", "c"]), rare, `own${this.#requests}`];
  }

  async #every(
    endAt: number,
    pauseMs: () => number,
    work: () => void,
  ): Promise<void> {
    while (monotonicMs() < endAt) {
      await sleep(pauseMs());
      work();
    }
  }

  #disturb(): void {
    const now = monotonicMs();
    const victim = Math.floor(ENTRIES * this.#random());
    switch (Math.floor(4 * this.#random())) {
      case 0:
        this.#restart(victim);
        this.#awayUntil[victim] = now + CONTACT_MS;
        return;
      case 1:
        // Cut off from the other processes, not from the targets.
        this.#awayUntil[victim] = now + 2_000 + CONTACT_MS;
        return;
      case 2:
        return this.#crash(this.#pick(this.#targets));
      case 3:
        // All targets of a failure domain end together.
        return this.#targets.slice(0, TARGETS / 3)
          .forEach((target) => this.#crash(target));
    }
  }

  #send(prompt: readonly string[]): void {
    const entry = Math.floor(ENTRIES * this.#random());
    const watch = this.#watches[entry];
    if (!watch) return;
    const isBad = prompt.includes(BAD);
    this.#requests += 1;
    if (!isBad) this.sound.sent += 1;
    const id = `r${this.#requests}`;
    if (watch.admit({ id, promptParts: prompt }).isErr()) {
      if (!isBad) this.sound.refused += 1;
      return;
    }
    const now = monotonicMs();
    const up = this.#targets.filter(({ upAt }) => upAt <= now);
    if (up.length === 0) return;
    const target = this.#pick(up);
    const call = watch.watch(target, prompt);
    const broke = () => call.broke();
    target.calls.add(broke);
    if (isBad) {
      this.badSent.push({ at: now, isInTouch: this.#isInTouch(entry, now) });
    }
    this.#answer(target, broke, isBad, call);
  }

  async #answer(
    target: Target,
    broke: () => void,
    isBad: boolean,
    call: ReturnType<CrashWatch["watch"]>,
  ): Promise<void> {
    await sleep(PREFILL_MS);
    if (!target.calls.has(broke)) return;
    call.wrote();
    if (isBad) {
      this.badCrashes.push(monotonicMs());
      return this.#crash(target);
    }
    await sleep(ANSWER_MS);
    if (!target.calls.delete(broke)) return;
    call.completed({ endsWithConnection: false });
  }

  #crash(target: Target): void {
    const calls = [...target.calls];
    target.calls.clear();
    calls.forEach((broke) => broke());
    const index = this.#targets.indexOf(target);
    if (index >= 0) this.#targets[index] = this.#target(RESTART_MS);
  }

  #target(awayMs: number): Target {
    const id = `t${this.#starts++}`;
    const upAt = monotonicMs() + awayMs;
    return { id, address: id, calls: new Set(), upAt };
  }

  #isInTouch(entry: number, now: number): boolean {
    return now >= (this.#awayUntil[entry] ?? 0);
  }

  #sync(): void {
    const now = monotonicMs();
    this.#boards.forEach((board, i) =>
      [1, 2].forEach((step) => {
        const peer = (i + step) % ENTRIES;
        const other = this.#boards[peer];
        const isCut = [i, peer].some((one) =>
          now < (this.#awayUntil[one] ?? 0) - CONTACT_MS
        );
        if (!other || isCut) return;
        const response = other.respond(`p${i}`, board.messageTo(`p${peer}`));
        board.handleResponse(`p${peer}`, response);
      })
    );
  }

  #restart(i: number): void {
    const board = new NoticeBoard({ metrics: new Metrics() });
    this.#boards[i] = board;
    this.#watches[i] = new CrashWatch({
      self: `p${i}`,
      fleet: {
        isListed: () => true,
        processes: () => this.#watches.map((_, k) => `p${k}`),
      },
      check: () => Promise.resolve(Reachability.Refuses),
      notices: board,
      log: SILENT_LOGGER,
      metrics: new Metrics(),
    });
  }

  #pick<T>(from: readonly T[]): T {
    const one = from[Math.floor(from.length * this.#random())];
    if (one === undefined) throw new Error("nothing to pick from");
    return one;
  }
}

test(`few requests with a crashing segment are sent, and sound ones are (${SEEDS} days)`, async () => {
  for (let seed = 1; seed <= SEEDS; seed++) {
    const day = await withPausedClock(async () => {
      const played = new Day(seed);
      await played.run();
      return played;
    }, { seed });
    const { later, sound, badCrashes } = day;
    assert.ok(badCrashes.length >= 3, `seed ${seed}: too few crashes`);
    assert.ok(later <= MAX_LATER, `seed ${seed}: ${later} sent later`);
    const share = sound.refused / sound.sent;
    assert.ok(share < 0.02, `seed ${seed}: ${sound.refused} sound refused`);
  }
});
