/**
 * Keys of the services that entries and agents share.
 *
 * @module
 */

import { serviceKey } from "../kernel/mod.ts";
import type {
  HostList,
  ObjectStore,
  Table,
  WeightStore,
} from "../store/mod.ts";
import type { NoticeBoard } from "../notices/mod.ts";
import type { Logger, Metrics, Tracing } from "../telemetry/mod.ts";
import type { KeyStore } from "../tls/mod.ts";
import type { ListsSync } from "./lists_sync.ts";

/** Clients of the platform's services. */
export interface Platform {
  readonly table: Table;
  readonly objects: ObjectStore;
  readonly hosts: HostList;
  readonly weights: WeightStore;
}

export const LOG = serviceKey<Logger>("log");
export const METRICS = serviceKey<Metrics>("metrics");
export const TRACING = serviceKey<Tracing>("tracing");
export const PLATFORM = serviceKey<Platform>("platform");
/** Service key of the TLS certificate and key; undefined without TLS. */
export const KEYS = serviceKey<KeyStore | undefined>("keys");
export const NOTICES = serviceKey<NoticeBoard>("notices");
export const LISTS = serviceKey<ListsSync>("lists");
