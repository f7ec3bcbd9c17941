/**
 * Simulated targets for tests of placement: engines that read prompts and write
 * tokens in steps, and plain servers with slots. Hosts slow down from time to
 * time. Time is simulated; everything follows from the seed.
 *
 * @module
 */

import type { LoadReport, PromptPart } from "../serving/mod.ts";

/** Request at a simulated target. */
export interface SimulatedJob {
  readonly parts: readonly PromptPart[];
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Time at a plain server without slowdown, in milliseconds. */
  readonly serviceMs: number;
  onBegun(now: number): void;
  onEnded(now: number): void;
}

/** Queue of simulated events in the order of their time. */
export class SimulatedClock {
  now = 0;
  readonly #heap: { at: number; run: () => void }[] = [];

  after(ms: number, run: () => void): void {
    const heap = this.#heap;
    let i = heap.push({ at: this.now + ms, run }) - 1;
    while (i > 0) {
      const parent = (i - 1) >> 1;
      if (this.#at(parent) <= this.#at(i)) break;
      this.#swap(i, parent);
      i = parent;
    }
  }

  /** Runs all events up to a time. */
  runUntil(end: number): void {
    while (this.#heap.length > 0 && this.#at(0) <= end) {
      const first = this.#heap[0];
      const last = this.#heap.pop();
      if (this.#heap.length > 0 && last) {
        this.#heap[0] = last;
        this.#sink();
      }
      if (!first) return;
      this.now = first.at;
      first.run();
    }
  }

  #sink(): void {
    for (let i = 0;;) {
      const [left, right] = [2 * i + 1, 2 * i + 2];
      const child = this.#at(right) < this.#at(left) ? right : left;
      if (this.#at(child) >= this.#at(i)) return;
      this.#swap(i, child);
      i = child;
    }
  }

  #at(i: number): number {
    return this.#heap[i]?.at ?? Number.POSITIVE_INFINITY;
  }

  #swap(i: number, j: number): void {
    const [a, b] = [this.#heap[i], this.#heap[j]];
    if (!a || !b) return;
    this.#heap[i] = b;
    this.#heap[j] = a;
  }
}

/** Traits of a simulated target. */
export interface TargetTraits {
  /** 1 is the usual speed, 0.55 a slow target. */
  readonly speed: number;
  readonly slots: number;
  /** Share of the time in which its host is slow. */
  readonly slowShare: number;
}

const SLOW_RATIO = 2.5;
const MEAN_SLOW_MS = 600;

/** Host whose work takes 2.5 times as long from time to time. */
abstract class SimulatedTarget {
  readonly slots: number;
  protected readonly clock: SimulatedClock;
  readonly #speed: number;
  #isSlow = false;

  constructor(
    clock: SimulatedClock,
    { speed, slots, slowShare }: TargetTraits,
    random: () => number,
  ) {
    this.clock = clock;
    this.slots = slots;
    this.#speed = speed;
    if (slowShare === 0) return;
    const usualMs = MEAN_SLOW_MS * (1 - slowShare) / slowShare;
    const toggle = () => {
      const meanMs = this.#isSlow ? MEAN_SLOW_MS : usualMs;
      clock.after(-Math.log(1 - random()) * meanMs, () => {
        this.#isSlow = !this.#isSlow;
        toggle();
      });
    };
    toggle();
  }

  /** Present duration of work, as a multiple of the usual one of the host. */
  get slowdown(): number {
    return this.#isSlow ? SLOW_RATIO : 1;
  }

  /** Time that work takes now, as a multiple of the nominal one. */
  protected get timeRatio(): number {
    return this.slowdown / this.#speed;
  }

  abstract submit(job: SimulatedJob): void;
  abstract get report(): LoadReport;
}

/** Plain server: each request occupies a slot for its time. */
export class SimulatedServer extends SimulatedTarget {
  #running = 0;
  readonly #queue: SimulatedJob[] = [];

  submit(job: SimulatedJob): void {
    this.#queue.push(job);
    this.#startNext();
  }

  get report(): LoadReport {
    return {
      running: this.#running,
      waiting: this.#queue.length,
      slots: this.slots,
      slowdown: this.slowdown,
    };
  }

  #startNext(): void {
    if (this.#running >= this.slots) return;
    const job = this.#queue.shift();
    if (!job) return;
    this.#running += 1;
    this.clock.after(job.serviceMs * this.timeRatio, () => {
      this.#running -= 1;
      job.onBegun(this.clock.now);
      job.onEnded(this.clock.now);
      this.#startNext();
    });
  }
}

const READ_TOKENS_PER_MS = 70;
const STEP_MS = 3.8;
const STEP_MS_PER_REQUEST = 0.085;
/** Prompt tokens that an engine reads in one step. */
const CHUNK_TOKENS = 2_048;
const MEMORY_TOKENS = 500_000;

interface EngineJob extends SimulatedJob {
  unread: number;
  unwritten: number;
  hasBegun: boolean;
}

/** Engine: reads prompts in turn while it writes tokens for all requests. */
export class SimulatedEngine extends SimulatedTarget {
  /** Prompt tokens that the engine had to read. */
  readTokens = 0;
  readonly #queue: EngineJob[] = [];
  #running: EngineJob[] = [];
  /** Tokens of cached segments, the least recently used first. */
  readonly #cache = new Map<string, number>();
  #isStepping = false;

  submit(job: SimulatedJob): void {
    this.#queue.push({
      ...job,
      unread: job.promptTokens,
      unwritten: job.outputTokens,
      hasBegun: false,
    });
    this.#step();
  }

  get report(): LoadReport {
    return {
      running: this.#running.length,
      waiting: this.#queue.length,
      slots: this.slots,
      slowdown: this.slowdown,
    };
  }

  get #usedTokens(): number {
    return this.#running.reduce(
      (sum, { promptTokens, outputTokens }) =>
        sum + promptTokens + outputTokens,
      0,
    );
  }

  #admit(): void {
    for (let next = this.#queue[0]; next; next = this.#queue[0]) {
      const tokens = next.promptTokens + next.outputTokens;
      const fits = this.#usedTokens + tokens <= MEMORY_TOKENS;
      if (this.#running.length >= this.slots || !fits) return;
      this.#queue.shift();
      next.unread = Math.max(1, next.promptTokens - this.#cached(next.parts));
      this.readTokens += next.unread;
      this.#running.push(next);
      this.#remember(next.parts);
    }
  }

  #step(): void {
    if (this.#isStepping) return;
    this.#admit();
    if (this.#running.length === 0) return;
    this.#isStepping = true;
    const reading = this.#running.find(({ unread }) => unread > 0);
    const chunk = Math.min(CHUNK_TOKENS, reading?.unread ?? 0);
    const stepMs = STEP_MS + STEP_MS_PER_REQUEST * this.#running.length +
      chunk / READ_TOKENS_PER_MS;
    this.clock.after(stepMs * this.timeRatio, () => {
      this.#isStepping = false;
      if (reading) reading.unread -= chunk;
      this.#write();
      this.#step();
    });
  }

  /** Each request whose prompt was read writes a token. */
  #write(): void {
    const { now } = this.clock;
    this.#running.filter(({ unread }) => unread === 0).forEach((job) => {
      job.unwritten -= 1;
      if (!job.hasBegun) job.onBegun(now);
      job.hasBegun = true;
      if (job.unwritten <= 0) job.onEnded(now);
    });
    this.#running = this.#running.filter(({ unread, unwritten }) =>
      unread > 0 || unwritten > 0
    );
  }

  #cached(parts: readonly PromptPart[]): number {
    const missing = parts.findIndex(({ name }) => !this.#cache.has(name));
    return parts.slice(0, missing < 0 ? parts.length : missing)
      .reduce((sum, { tokens }) => sum + tokens, 0);
  }

  /** Caches the segments in the memory that running requests leave. */
  #remember(parts: readonly PromptPart[]): void {
    parts.forEach(({ name, tokens }) => {
      this.#cache.delete(name);
      this.#cache.set(name, tokens);
    });
    let surplus = this.#usedTokens - MEMORY_TOKENS +
      [...this.#cache.values()].reduce((sum, tokens) => sum + tokens, 0);
    for (const [name, tokens] of this.#cache) {
      if (surplus <= 0) return;
      this.#cache.delete(name);
      surplus -= tokens;
    }
  }
}
