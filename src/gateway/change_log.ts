/**
 * Log lines for changes of what an entry knows of the fleet.
 *
 * @module
 */

import { monotonicMs } from "../kernel/mod.ts";
import type { CatalogSpec, FleetState, StateChange } from "../serving/mod.ts";
import type { Logger } from "../telemetry/mod.ts";

/** Most names of routes in one field of a log line. */
const MAX_LOGGED_ROUTES = 8;

/** Names of the routes that a catalog adds, drops or sends to other pools. */
export function catalogDifference(
  before: CatalogSpec | undefined,
  after: CatalogSpec,
): Record<string, string | undefined> {
  if (!before) return {};
  const poolsOf = ({ routes }: CatalogSpec) =>
    new Map(routes.map(({ name, pools }) => [name, JSON.stringify(pools)]));
  const [old, current] = [poolsOf(before), poolsOf(after)];
  const list = (names: Iterable<string>) =>
    [...names].slice(0, MAX_LOGGED_ROUTES).join(",") || undefined;
  return {
    added: list([...current.keys()].filter((name) => !old.has(name))),
    dropped: list([...old.keys()].filter((name) => !current.has(name))),
    moved: list(
      [...current].flatMap(([name, pools]) =>
        old.has(name) && old.get(name) !== pools ? [name] : []
      ),
    ),
  };
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
