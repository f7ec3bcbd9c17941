/**
 * Simulated connection from an entry to an agent, with seeded faults: refused,
 * cut, silent, crossed, repeated and truncated.
 *
 * @module
 */

import type { Agent } from "../agent/mod.ts";
import { sleep } from "../kernel/mod.ts";
import type { CallEvent, StageCall } from "../model/mod.ts";
import type { AgentClient } from "../wire/mod.ts";
import type { ProcessShell } from "./process_shell.ts";

/** Faults of the connections. Shares are in [0, 1]. */
export interface LinkFaults {
  /** Share of calls whose connection breaks at some event. */
  cut: number;
  /** Share of calls that never arrive, or whose answer goes silent. */
  silent: number;
  /** Share of calls whose answers carry events of other calls or repeats. */
  crossed: number;
  /** Share of calls that arrive late. */
  delayed: number;
}

const LONGEST_DELAY_MS = 6_000;

/** What happens to one call. */
type Fate = "none" | "cut" | "silent" | "lost" | "truncated" | "crossed";

/** Connection of one entry to one agent. */
export class SimLink implements Pick<AgentClient, "call"> {
  readonly #agent: () => Agent | undefined;
  readonly #faults: LinkFaults;
  readonly #random: () => number;
  readonly #entry: ProcessShell;
  readonly #host: () => ProcessShell;
  /** Latest event of each kind on this connection, of whichever call. */
  readonly #latest = new Map<string, CallEvent>();

  constructor(
    opts: {
      /** The agent, or undefined while there is none. */
      agent: () => Agent | undefined;
      faults: LinkFaults;
      random: () => number;
      entry: ProcessShell;
      host: () => ProcessShell;
    },
  ) {
    this.#agent = opts.agent;
    this.#faults = opts.faults;
    this.#random = opts.random;
    this.#entry = opts.entry;
    this.#host = opts.host;
  }

  /** Starts a call. Rejects with ECONNREFUSED while there is no agent. */
  async call(
    call: StageCall,
    signal: AbortSignal,
  ): Promise<AsyncIterable<CallEvent>> {
    await this.#entry.io();
    const fate = this.#fate();
    if (fate === "lost") return await new Promise<never>(() => {});
    const isDelayed = this.#random() < this.#faults.delayed;
    if (isDelayed) await sleep(this.#random() * LONGEST_DELAY_MS);
    const host = this.#host();
    await host.io();
    const agent = this.#agent();
    if (!agent || !host.isAlive) throw connectionRefused();
    // Such a connection does not tell the agent that the entry gave up.
    const closed = fate === "silent" || isDelayed
      ? host.death
      : AbortSignal.any([signal, this.#entry.death, host.death]);
    return this.#deliver(agent.call(call, closed), { fate, host });
  }

  async *#deliver(
    events: AsyncIterable<CallEvent>,
    { fate, host }: { fate: Fate; host: ProcessShell },
  ): AsyncGenerator<CallEvent> {
    let left = Math.floor(this.#random() * 4);
    for await (const event of untilDead(events, host)) {
      await host.io();
      await this.#entry.io();
      if (fate === "silent" && left <= 0) await new Promise<never>(() => {});
      if (fate === "cut" && left <= 0) throw new Error("connection reset");
      if (fate === "truncated" && event.kind === "result") return;
      if (fate === "crossed") yield* [...this.#latest.values()];
      this.#latest.set(event.kind, event);
      yield event;
      if (fate === "crossed" && event.kind === "chunk") yield event;
      left -= 1;
    }
  }

  #fate(): Fate {
    const { cut, silent, crossed } = this.#faults;
    const at = this.#random();
    if (at < cut) return this.#random() < 0.5 ? "cut" : "truncated";
    if (at < cut + silent) return this.#random() < 0.5 ? "silent" : "lost";
    return at < cut + silent + crossed ? "crossed" : "none";
  }
}

/** Events until the host dies, which breaks the connection. */
async function* untilDead(
  events: AsyncIterable<CallEvent>,
  host: ProcessShell,
): AsyncGenerator<CallEvent> {
  const died = new Promise<never>((_resolve, reject) => {
    const fail = () => reject(new Error("connection reset"));
    if (host.death.aborted) return fail();
    host.death.addEventListener("abort", fail, { once: true });
  });
  died.catch(() => {});
  const reader = events[Symbol.asyncIterator]();
  while (true) {
    const next = await Promise.race([reader.next(), died]);
    if (next.done) return;
    yield next.value;
  }
}

function connectionRefused(): Error {
  return Object.assign(new Error("connection refused"), {
    code: "ECONNREFUSED",
  });
}
