/**
 * Services that entries and agents configure in the same way.
 *
 * @module
 */

import type { ProcessSettings } from "../config/mod.ts";
import {
  service,
  type ServiceContext,
  serviceKey,
  type ServiceSpec,
} from "../kernel/mod.ts";
import { type ControlOptions, createControlApp } from "./control.ts";
import { KEYS, LOG, METRICS, PLATFORM } from "./keys.ts";
import { Registrar } from "./registrar.ts";
import { listen, type ListeningServer } from "./server.ts";

/** Service key of the control server. */
export const CONTROL = serviceKey<ListeningServer>("control");
/** Service key of the registrar. */
export const REGISTRATION = serviceKey<Registrar>("registration");

/** Returns the service that serves the control address. */
export function controlService(
  cfg: ProcessSettings,
  optionsOf: (ctx: ServiceContext) => Omit<ControlOptions, "metrics">,
): ServiceSpec {
  return service({
    key: CONTROL,
    start: (ctx) => {
      const app = createControlApp({
        ...optionsOf(ctx),
        metrics: ctx.get(METRICS),
      });
      return listen(app, {
        ...cfg.control,
        keys: ctx.get(KEYS),
        log: ctx.get(LOG),
        metrics: ctx.get(METRICS),
      });
    },
    leave: (server) => server.leave(),
    drain: (server) => server.close(),
  });
}

/** Registration of a process: the key of its row and the row's value. */
export interface Registration {
  readonly key: string;
  readonly value: object;
  /** Called with the registrar before it starts. */
  readonly onStart?: (registrar: Registrar) => void;
}

/** Returns the service that maintains the registration of the process. */
export function registrationService(
  registrationOf: (ctx: ServiceContext) => Registration,
): ServiceSpec {
  return service({
    key: REGISTRATION,
    start: (ctx) => {
      const { key, value, onStart } = registrationOf(ctx);
      const registrar = new Registrar({
        table: ctx.get(PLATFORM).table,
        key,
        value,
        log: ctx.get(LOG),
      });
      onStart?.(registrar);
      registrar.run(ctx.signal);
      return registrar;
    },
    leave: (registrar) => registrar.leave(),
    end: (registrar) => registrar.withdraw(),
  });
}
