import assert from "node:assert/strict";
import fc from "fast-check";
import { test } from "node:test";
import { monotonicMs, sleep } from "../kernel/mod.ts";
import type { ListedPeer } from "../serving/mod.ts";
import { withPausedClock } from "../testing/mod.ts";
import { SimGateway, SimLink, SimStore } from "./configuration_simulation.ts";

const GATEWAYS = 5;
/** Time after a disturbance within which a gateway is up to date, in ms. */
const CONTACT_MS = 3_000;
/** Time within which a change is in force, in milliseconds. */
const APPLY_MS = 2_000;
/** Time by which a store that refuses some gateways delays that, in ms. */
const OUTER_MS = 5_000;
const LENGTH_MS = 25_000;
const CHECK_MS = 100;
/** Age of a copy from which the store returns, in milliseconds. */
const COPY_AGE_MS = 4_000;
/** Time after which the operator has written again what is lost, in ms. */
const REWRITE_MS = 1_500;

type Disturbance = "store-link" | "peer-link" | "both-links" | "restart";

/** What happens at a time after the start, in milliseconds. */
type Event =
  | { readonly kind: "change" | "compact" | "restore"; readonly at: number }
  | {
    readonly kind: Disturbance;
    readonly at: number;
    readonly gateway: number;
    readonly link: SimLink;
    readonly ms: number;
  };

const at = fc.integer({ min: 1_000, max: LENGTH_MS });
const disturbances: readonly Disturbance[] = [
  "store-link",
  "peer-link",
  "both-links",
  "restart",
];
const eventArbitrary = fc.oneof(
  fc.record({ kind: fc.constant("change" as const), at }),
  fc.record({ kind: fc.constantFrom("compact" as const, "restore"), at }),
  fc.record({
    kind: fc.constantFrom(...disturbances),
    at,
    gateway: fc.nat(GATEWAYS - 1),
    link: fc.constantFrom(SimLink.Silent, SimLink.Refusing),
    ms: fc.integer({ min: 200, max: 9_000 }),
  }),
);

/** Plays events and checks all the while what is in force. */
class Play {
  readonly #fleet: SimGateway[] = [];
  readonly #store: SimStore;
  /** Operator's versions with the times of their acknowledgements. */
  readonly #acknowledged: { config: number; at: number }[] = [];
  /** Times at which the last disturbance of a gateway ends. */
  readonly #disturbedUntil: number[];
  /** The same of disturbances other than of its link to the store. */
  readonly #disturbedElseUntil: number[];
  #storeDisturbedUntil = 0;
  readonly #seen: number[];
  readonly #copies: { at: number; copy: ReturnType<SimStore["copy"]> }[] = [];
  #config = 1;
  readonly #startedAt = monotonicMs();

  constructor() {
    const entries = Array.from({ length: GATEWAYS }, (_, i): ListedPeer => ({
      name: `entry-${i}`,
      url: `http://127.0.0.1:${i + 1}`,
      failureDomain: `d${i % 3}`,
    }));
    this.#store = new SimStore(entries);
    entries.forEach((self) =>
      this.#fleet.push(new SimGateway(self, this.#store, () => this.#fleet))
    );
    this.#disturbedUntil = entries.map(() => 0);
    this.#disturbedElseUntil = entries.map(() => 0);
    this.#seen = entries.map(() => 0);
  }

  async run(events: readonly Event[]): Promise<void> {
    events.forEach((event) => {
      sleep(event.at).then(() => this.#begin(event));
    });
    try {
      while (this.#now < LENGTH_MS + 2 * CONTACT_MS) {
        await sleep(CHECK_MS);
        this.#copies.push({ at: this.#now, copy: this.#store.copy() });
        this.#fleet.forEach((_, i) => this.#check(i));
      }
    } finally {
      this.#fleet.forEach((gateway) => gateway.stop());
    }
  }

  get #now(): number {
    return monotonicMs() - this.#startedAt;
  }

  #begin(event: Event): void {
    switch (event.kind) {
      case "change":
        return this.#change();
      case "compact":
        this.#store.writeOther();
        this.#store.compact();
        this.#storeDisturbedUntil = this.#now;
        return;
      case "restore":
        return this.#restore();
      default:
        return this.#disturb(event);
    }
  }

  #change(): void {
    this.#config += 2;
    this.#store.write(this.#config);
    this.#acknowledged.push({ config: this.#config, at: this.#now });
  }

  #restore(): void {
    const copy = this.#copies.findLast(({ at }) =>
      at < this.#now - COPY_AGE_MS
    );
    if (!copy) return;
    this.#store.restore(copy.copy);
    const until = this.#now + REWRITE_MS;
    this.#storeDisturbedUntil = Math.max(this.#storeDisturbedUntil, until);
    sleep(REWRITE_MS).then(() => this.#store.write(this.#config));
  }

  #disturb(event: Extract<Event, { gateway: number }>): void {
    const { kind, gateway: i, link, ms } = event;
    const gateway = this.#fleet[i];
    if (!gateway) return;
    const until = this.#now + (kind === "restart" ? 0 : ms);
    this.#disturbedUntil[i] = Math.max(this.#disturbedUntil[i] ?? 0, until);
    if (kind !== "store-link") {
      const before = this.#disturbedElseUntil[i] ?? 0;
      this.#disturbedElseUntil[i] = Math.max(before, until);
    }
    if (kind === "restart") {
      this.#seen[i] = 0;
      return gateway.restart();
    }
    const set = (to: SimLink) => {
      if (kind !== "peer-link") gateway.storeLink = to;
      if (kind !== "store-link") gateway.peerLink = to;
    };
    set(link);
    sleep(ms).then(() => set(SimLink.Up));
  }

  #check(i: number): void {
    const config = this.#fleet[i]?.config ?? 0;
    const where = `gateway ${i} at ${Math.round(this.#now)} ms`;
    assert.ok(
      config >= (this.#seen[i] ?? 0),
      `${where} went back to ${config}`,
    );
    this.#seen[i] = config;
    const sinceStore = this.#now - this.#storeDisturbedUntil;
    const sinceOwn = this.#now - (this.#disturbedUntil[i] ?? 0);
    const sinceElse = this.#now - (this.#disturbedElseUntil[i] ?? 0);
    if (sinceStore < CONTACT_MS || sinceElse < CONTACT_MS) return;
    const bound = sinceOwn < CONTACT_MS ? APPLY_MS + OUTER_MS : APPLY_MS;
    const due = this.#acknowledged
      .filter(({ at }) => at <= this.#now - bound)
      .reduce((newest, one) => Math.max(newest, one.config), 1);
    assert.ok(config >= due, `${where} has ${config}, not ${due}`);
  }
}

/** Plays events; returns why they fail, if they do. */
function play(events: readonly Event[]): Promise<string | undefined> {
  return withPausedClock(async () => {
    try {
      await new Play().run(events);
      return undefined;
    } catch (cause) {
      return cause instanceof Error ? cause.message : String(cause);
    }
  }, { seed: 1 });
}

/** Number of plays, and the seed of their events, which runs by hand replace. */
const RUNS = Number(process.env.SPREAD_RUNS ?? 25);
const SEED = Number(process.env.SPREAD_SEED ?? 46);

test("gateways neither go back to an older configuration nor serve it longer than allowed", () =>
  fc.assert(
    fc.asyncProperty(
      fc.array(eventArbitrary, { minLength: 4, maxLength: 16 }),
      async (events) => assert.equal(await play(events as Event[]), undefined),
    ),
    { numRuns: RUNS, seed: SEED, endOnFailure: true },
  ));
