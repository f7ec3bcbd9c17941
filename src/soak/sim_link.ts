/**
 * Simulated connection from an entry to an agent, with seeded faults: it is
 * refused, reset or silent, delays calls, and truncates response streams or
 * mixes duplicates and events of other calls into them.
 *
 * @module
 */

import type { Agent } from "../agent/mod.ts";
import { sleep } from "../kernel/mod.ts";
import type { CallEvent, StageCall } from "../model/mod.ts";
import type { AgentClient } from "../wire/mod.ts";
import type { SimProcess } from "./sim_process.ts";

/** Faults of the connections. Shares are in [0, 1]. */
export interface LinkFaults {
  /**
   * Share of calls whose connection is reset, or whose response stream ends
   * before the result.
   */
  cut: number;
  /** Share of calls that never arrive, or whose response becomes silent. */
  silent: number;
  /**
   * Share of calls whose responses also carry duplicates and events of other
   * calls.
   */
  mixed: number;
  /** Share of calls that arrive after a delay. */
  delayed: number;
}

/** Maximum delay of a call, in milliseconds. */
const MAX_DELAY_MS = 6_000;

/** Fault of one call. */
type CallFault = "none" | "cut" | "silent" | "lost" | "truncated" | "mixed";

/** Connection of one entry to one agent. */
export class SimLink implements Pick<AgentClient, "call"> {
  readonly #agent: () => Agent | undefined;
  readonly #faults: LinkFaults;
  readonly #random: () => number;
  readonly #entryProcess: SimProcess;
  readonly #agentProcess: () => SimProcess;
  /** Latest event of each kind on this connection, of any call. */
  readonly #latest = new Map<string, CallEvent>();

  constructor(
    opts: {
      /** Returns the agent, or undefined while there is none. */
      agent: () => Agent | undefined;
      faults: LinkFaults;
      random: () => number;
      entry: SimProcess;
      host: () => SimProcess;
    },
  ) {
    this.#agent = opts.agent;
    this.#faults = opts.faults;
    this.#random = opts.random;
    this.#entryProcess = opts.entry;
    this.#agentProcess = opts.host;
  }

  /** Starts a call. Rejects with ECONNREFUSED while there is no agent. */
  async call(
    call: StageCall,
    signal: AbortSignal,
  ): Promise<AsyncIterable<CallEvent>> {
    await this.#entryProcess.ioReady();
    const fault = this.#drawFault();
    if (fault === "lost") return await new Promise<never>(() => {});
    const isDelayed = this.#random() < this.#faults.delayed;
    if (isDelayed) await sleep(this.#random() * MAX_DELAY_MS);
    const agentProcess = this.#agentProcess();
    await agentProcess.ioReady();
    const agent = this.#agent();
    if (!agent || !agentProcess.isAlive) throw connectionRefused();
    // Through such a connection the agent cannot detect that the entry has
    // cancelled the call or died.
    const closed = fault === "silent" || isDelayed
      ? agentProcess.exitSignal
      : AbortSignal.any([
        signal,
        this.#entryProcess.exitSignal,
        agentProcess.exitSignal,
      ]);
    return this.#deliver(agent.call(call, closed), {
      callFault: fault,
      host: agentProcess,
    });
  }

  async *#deliver(
    events: AsyncIterable<CallEvent>,
    { callFault: fault, host: agentProcess }: {
      callFault: CallFault;
      host: SimProcess;
    },
  ): AsyncGenerator<CallEvent> {
    let left = Math.floor(this.#random() * 4);
    for await (const event of untilExit(events, agentProcess)) {
      await agentProcess.ioReady();
      await this.#entryProcess.ioReady();
      if (fault === "silent" && left <= 0) await new Promise<never>(() => {});
      if (fault === "cut" && left <= 0) throw new Error("connection reset");
      if (fault === "truncated" && event.kind === "result") return;
      if (fault === "mixed") yield* [...this.#latest.values()];
      this.#latest.set(event.kind, event);
      yield event;
      if (fault === "mixed" && event.kind === "chunk") yield event;
      left -= 1;
    }
  }

  #drawFault(): CallFault {
    const { cut, silent, mixed } = this.#faults;
    const draw = this.#random();
    if (draw < cut) return this.#random() < 0.5 ? "cut" : "truncated";
    if (draw < cut + silent) return this.#random() < 0.5 ? "silent" : "lost";
    return draw < cut + silent + mixed ? "mixed" : "none";
  }
}

/** Yields events; fails with a reset when the agent's process dies. */
async function* untilExit(
  events: AsyncIterable<CallEvent>,
  agentProcess: SimProcess,
): AsyncGenerator<CallEvent> {
  const exited = new Promise<never>((_resolve, reject) => {
    const fail = () => reject(new Error("connection reset"));
    if (agentProcess.exitSignal.aborted) return fail();
    agentProcess.exitSignal.addEventListener("abort", fail, { once: true });
  });
  exited.catch(() => {});
  const reader = events[Symbol.asyncIterator]();
  while (true) {
    const next = await Promise.race([reader.next(), exited]);
    if (next.done) return;
    yield next.value;
  }
}

function connectionRefused(): Error {
  return Object.assign(new Error("connection refused"), {
    code: "ECONNREFUSED",
  });
}
