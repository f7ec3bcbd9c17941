/**
 * Log lines for changes of what an entry knows of the fleet.
 *
 * @module
 */

import { monotonicMs } from "../kernel/mod.ts";
import type {
  CatalogSpec,
  FleetState,
  Route,
  StateChange,
} from "../serving/mod.ts";
import type { Logger } from "../telemetry/mod.ts";

/** Most names of routes in one field of a log line. */
const MAX_LOGGED_ROUTES = 8;

/**
 * Names of the routes that a catalog adds, drops or sends to other pools. A
 * route that stays at its address may have another name.
 */
export function catalogDifference(
  before: CatalogSpec | undefined,
  after: CatalogSpec,
): Record<string, string | undefined> {
  if (!before) return {};
  const [old, current] = [routesByAddress(before), routesByAddress(after)];
  const list = (routes: readonly Route[]) =>
    routes.slice(0, MAX_LOGGED_ROUTES).map(({ name }) => name).join(",") ||
    undefined;
  const pools = (route?: Route) => JSON.stringify(route?.pools);
  return {
    added: list([...current].flatMap(([at, one]) => old.has(at) ? [] : one)),
    dropped: list([...old].flatMap(([at, one]) => current.has(at) ? [] : one)),
    moved: list(
      [...current].flatMap(([at, one]) =>
        old.has(at) && pools(old.get(at)) !== pools(one) ? one : []
      ),
    ),
  };
}

function routesByAddress({ routes }: CatalogSpec): ReadonlyMap<string, Route> {
  return new Map(
    routes.map((one) => [`${one.hostname} ${one.pathPrefix}`, one]),
  );
}

/**
 * Logs the changes that made a state what it is; heartbeats and the catalog are
 * left out.
 */
export function logChanges(
  log: Logger,
  before: FleetState,
  { changes, from }: {
    readonly changes: readonly StateChange[];
    /** Who reported the changes. */
    readonly from: string;
  },
): void {
  changes.forEach((change) => {
    const { version } = change;
    if (change.kind === "domain") {
      const { failureDomain, isOut } = change;
      log.info("domain_changed", {
        version,
        failureDomain,
        isOut,
        from,
      });
      return;
    }
    if (change.kind === "build") {
      const { pool, build } = change;
      const known = before.buildsOf(pool, monotonicMs());
      if (known.includes(build)) return;
      log.info("build_learned", { version, pool, build, from });
      return;
    }
    if (change.kind === "rollout-order") {
      const { pool, order } = change;
      log.info("rollout_order", {
        version,
        pool,
        to: order?.to ?? "withdrawn",
        durationMs: order?.durationMs,
        from,
      });
      return;
    }
    if (change.kind === "rollout-verdict") {
      const { pool, verdict } = change;
      log.info("rollout_verdict", {
        version,
        pool,
        to: verdict?.to,
        phase: verdict?.phase ?? "removed",
        from,
      });
      return;
    }
    if (change.kind === "quarantine") {
      const { segment, crashes } = change;
      log.info("quarantine_learned", {
        version,
        segment,
        crashes,
        from,
      });
      return;
    }
    if (change.kind !== "target") return;
    const old = before.targets.get(change.id)?.target;
    const isSame = old?.state === change.target?.state &&
      old?.build === change.target?.build;
    if (isSame) return;
    log.info("target_changed", {
      version,
      target: change.id,
      pool: change.target?.pool ?? old?.pool,
      build: change.target?.build ?? old?.build,
      state: change.target?.state ?? "gone",
      lapsed: change.hasLapsed,
      coldMs: change.target?.coldMs,
      from,
    });
  });
}
