/**
 * Registration of this process in the store, by which its peers find it.
 *
 * @module
 */

import { sleep, timeoutSignal } from "../kernel/mod.ts";
import type { ListedPeer } from "../serving/mod.ts";
import type { Logger } from "../telemetry/mod.ts";
import type { FleetView } from "./fleet_view.ts";
import type { Peers } from "./peers.ts";
import { StatePart, type StateSource } from "./ports.ts";

/**
 * Time after the start at which a process registers, in milliseconds: by then
 * the store and the peers have responded.
 */
const REGISTER_AFTER_MS = 700;
/** Pause between attempts to register with the store, in milliseconds. */
const RETRY_PAUSE_MS = 1_000;
/** Pause between checks for a restoration of the store, in milliseconds. */
const CHECK_PAUSE_MS = 2_000;
/** Longest wait for the response to a registration, in milliseconds. */
const REGISTER_TIMEOUT_MS = 1_500;

/** Services that the registration uses. */
export interface RegistrationDeps {
  readonly source: Pick<StateSource, "register">;
  readonly self: ListedPeer;
  readonly peers: Pick<Peers, "mayKeepRegistration">;
  readonly view: Pick<FleetView, "isRegistered" | "ownRowsEra" | "versionOf">;
  readonly log: Logger;
}

/** Keeps this process registered. */
export class Registration {
  readonly #deps: RegistrationDeps;
  /** Era of the store as known when this process last registered. */
  #era: number | undefined;

  constructor(deps: RegistrationDeps) {
    this.#deps = deps;
  }

  /** Registers, and again when a restored store has lost the row. */
  async run(signal: AbortSignal): Promise<void> {
    const { peers, self, log } = this.#deps;
    await sleep(REGISTER_AFTER_MS, signal);
    if (peers.mayKeepRegistration) {
      log.info("registered", { name: self.name, kept: true });
      this.#era = this.#knownEra;
    } else {
      await this.#register(signal);
    }
    while (!signal.aborted) {
      await sleep(CHECK_PAUSE_MS, signal);
      if (this.#isLost()) await this.#register(signal);
    }
  }

  /** Era of the store; undefined until its rows were read. */
  get #knownEra(): number | undefined {
    const { view } = this.#deps;
    return view.versionOf(StatePart.Peers) > 0 ? view.ownRowsEra : undefined;
  }

  /** True when the store was restored without the row of this process. */
  #isLost(): boolean {
    const { view, self } = this.#deps;
    const era = this.#knownEra;
    const before = this.#era ?? era;
    this.#era = era;
    if (era === undefined || before === undefined) return false;
    return era > before && !view.isRegistered(self.name);
  }

  /** Writes the row until the store accepts it. */
  async #register(signal: AbortSignal): Promise<void> {
    const { source, self, log } = this.#deps;
    while (!signal.aborted) {
      this.#era = this.#knownEra;
      const timeout = timeoutSignal(REGISTER_TIMEOUT_MS, signal);
      const written = await source.register(self, timeout);
      if (written.isOk()) return log.info("registered", { name: self.name });
      log.warn("register_failed", { reason: written.error.kind });
      await sleep(RETRY_PAUSE_MS, signal);
    }
  }
}
