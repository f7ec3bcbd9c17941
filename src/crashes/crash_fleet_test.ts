import assert from "node:assert/strict";
import { test } from "node:test";
import { monotonicMs, seededRandom, sleep } from "../kernel/mod.ts";
import { NoticeBoard } from "../notices/mod.ts";
import { Metrics, SILENT_LOGGER } from "../telemetry/mod.ts";
import { withPausedClock } from "../testing/paused_clock.ts";
import type { RequestContent } from "../quarantine/mod.ts";
import { CrashWatch, type PromptPermit } from "./crash_watch.ts";
import { Reachability, type WatchedTarget } from "./ports.ts";

const SEEDS = 40;
const ENTRIES = 5;
const DAY_MS = 60_000;
/** Time within which what one process learns reaches the others, in ms. */
const CONTACT_MS = 3_000;
/** Requests with a crashing segment that may be sent later than that. */
const MAX_LATER = 3;
const SYNC_MS = 400;
/** Time until a target that has crashed is back. */
const RESTART_MS = 4_000;
const BAD = "bad";

/** Requests of a day; `number` differs between them. */
interface Load {
  readonly targets: number;
  /** Time until a target begins to write, and until its answer is complete. */
  readonly prefillMs: number;
  readonly answerMs: number;
  /** Crashes after which it has to be known what causes them. */
  readonly knownCrashes: number;
  /** Most targets to which one request is sent. */
  readonly attempts: number;
  /** Share of the sound requests that may be refused. */
  readonly maxRefusedShare: number;
  bad(random: () => number, number: number): RequestContent;
  sound(random: () => number, number: number): RequestContent;
  /** Pause before the next bad request, in milliseconds. */
  badPauseMs(random: () => number): number;
}

interface Target extends WatchedTarget {
  readonly calls: Set<() => void>;
  upAt: number;
}

/** Request that is sent to a target. */
interface Sent {
  readonly entry: number;
  readonly watch: CrashWatch;
  readonly permit: PromptPermit;
  readonly content: RequestContent;
  readonly isBad: boolean;
  readonly attempt: number;
}

/** Entries under load whose targets crash, by what they run and for no reason. */
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

  readonly #load: Load;

  constructor(seed: number, load: Load) {
    this.#random = seededRandom(seed);
    this.#load = load;
    for (let i = 0; i < ENTRIES; i++) this.#restart(i);
    for (let i = 0; i < load.targets; i++) this.#targets.push(this.#target(0));
  }

  async run(): Promise<void> {
    const endAt = monotonicMs() + DAY_MS;
    await Promise.all([
      this.#every(endAt, () => SYNC_MS, () => this.#sync()),
      this.#every(
        endAt,
        () => 40 + 80 * this.#random(),
        () => this.#request({ isBad: false }),
      ),
      this.#every(
        endAt,
        () => this.#load.badPauseMs(this.#random),
        () => this.#request({ isBad: true }),
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
    const knownAt = this.badCrashes[this.#load.knownCrashes - 1] ?? Infinity;
    return this.badSent
      .filter(({ at, isInTouch }) => isInTouch && at > knownAt + CONTACT_MS)
      .length;
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
        return this.#targets.slice(0, this.#load.targets / 3)
          .forEach((target) => this.#crash(target));
    }
  }

  #request({ isBad }: { isBad: boolean }): void {
    const { bad, sound } = this.#load;
    this.#requests += 1;
    const content = (isBad ? bad : sound)(this.#random, this.#requests);
    if (!isBad) this.sound.sent += 1;
    const entry = Math.floor(ENTRIES * this.#random());
    const watch = this.#watches[entry];
    if (!watch) return;
    const admitted = watch.admit({ id: `r${this.#requests}`, ...content });
    if (admitted.isErr()) {
      if (!isBad) this.sound.refused += 1;
      return;
    }
    const permit = admitted.value;
    this.#send({ entry, watch, permit, content, isBad, attempt: 1 });
  }

  #send(one: Sent): void {
    const { entry, watch, permit, content, isBad } = one;
    if (permit.refusal()) return;
    const now = monotonicMs();
    const up = this.#targets.filter(({ upAt }) => upAt <= now);
    if (up.length === 0) return;
    const target = this.#pick(up);
    const call = watch.watch(target, content);
    const broke = () => {
      call.broke();
      if (one.attempt >= this.#load.attempts) return;
      this.#send({ ...one, attempt: one.attempt + 1 });
    };
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
    await sleep(this.#load.prefillMs);
    if (!target.calls.has(broke)) return;
    call.wrote();
    if (isBad) {
      this.badCrashes.push(monotonicMs());
      return this.#crash(target);
    }
    await sleep(this.#load.answerMs);
    if (!target.calls.delete(broke)) return;
    call.completed({ endsWithConnection: false });
  }

  #crash(target: Target): void {
    const calls = [...target.calls];
    target.calls.clear();
    const index = this.#targets.indexOf(target);
    if (index >= 0) this.#targets[index] = this.#target(RESTART_MS);
    calls.forEach((broke) => broke());
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
    return pick(this.#random, from);
  }
}

function pick<T>(random: () => number, from: readonly T[]): T {
  const one = from[Math.floor(from.length * random())];
  if (one === undefined) throw new Error("nothing to pick from");
  return one;
}

const BAD_SEGMENT: Load = {
  targets: 12,
  prefillMs: 100,
  answerMs: 1_500,
  knownCrashes: 5,
  attempts: 1,
  maxRefusedShare: 0.02,
  bad: (random, number) => ({
    promptParts: [pick(random, ["a", "b", "c"]), BAD, `own${number}`],
  }),
  sound: (random, number) => ({
    promptParts: [
      pick(random, ["a", "b", "c"]),
      `r${Math.floor(100 * random())}`,
      `own${number}`,
    ],
  }),
  badPauseMs: (random) => 400 + 1_200 * random(),
};

/** One request in four is one of a few that are repeated often. */
const BAD_REQUEST: Load = {
  targets: 3,
  prefillMs: 50,
  answerMs: 40,
  knownCrashes: 3,
  attempts: 2,
  maxRefusedShare: 0.02,
  bad: () => ({ promptParts: [], fingerprint: BAD }),
  sound: (random, number) => ({
    promptParts: [],
    fingerprint: random() < 0.25
      ? `often${Math.floor(5 * random())}`
      : `once${number}`,
  }),
  badPauseMs: (random) => 50 + 500 * random(),
};

[
  { title: "a crashing segment", load: BAD_SEGMENT },
  { title: "that crash all", load: BAD_REQUEST },
  { title: "that crash many", load: { ...BAD_REQUEST, targets: 12 } },
].forEach(({ title, load }) =>
  test(`few requests with ${title} are sent, and sound ones are (${SEEDS} days)`, async () => {
    for (let seed = 1; seed <= SEEDS; seed++) {
      const day = await withPausedClock(async () => {
        const played = new Day(seed, load);
        await played.run();
        return played;
      }, { seed });
      const { later, sound, badCrashes } = day;
      assert.ok(badCrashes.length >= 3, `seed ${seed}: too few crashes`);
      assert.ok(later <= MAX_LATER, `seed ${seed}: ${later} sent later`);
      const share = sound.refused / sound.sent;
      assert.ok(
        share < load.maxRefusedShare,
        `seed ${seed}: ${sound.refused} sound refused`,
      );
    }
  })
);
