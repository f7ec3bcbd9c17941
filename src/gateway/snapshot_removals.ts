/**
 * What a snapshot of the store shows to be gone.
 *
 * @module
 */

import type { FleetState, StateChange } from "../serving/mod.ts";
import { StatePart, type StateRead } from "./ports.ts";

/**
 * Returns changes for what is known and not listed in a snapshot of a part:
 * targets are removed, orders withdrawn, and failure domains return to service.
 * `hasLapsed` says of the targets whether their rows may come back.
 */
export function removalsBy(
  { changes, version }: StateRead,
  { part, known, hasLapsed }: {
    readonly part: StatePart;
    readonly known: FleetState;
    readonly hasLapsed?: boolean;
  },
): readonly StateChange[] {
  const listed = new Set(changes.map(keyOf));
  return known.changes()
    .filter((change) => isOfSnapshot(part, change))
    .filter((change) => !listed.has(keyOf(change)))
    .map((change): StateChange => {
      if (change.kind === "target") {
        return { kind: "target", version, id: change.id, hasLapsed };
      }
      return change.kind === "rollout-order"
        ? { kind: "rollout-order", version, pool: change.pool }
        : { ...change, version, isOut: false } as StateChange;
    });
}

/** True for what a snapshot of a part lists while it is in force. */
function isOfSnapshot(part: StatePart, change: StateChange): boolean {
  return part === StatePart.Targets
    ? change.kind === "target"
    : (change.kind === "domain" && change.isOut) ||
      change.kind === "rollout-order";
}

function keyOf(change: StateChange): string {
  switch (change.kind) {
    case "catalog":
      return "catalog";
    case "target":
      return `target/${change.id}`;
    case "domain":
      return `domain/${change.failureDomain}`;
    case "peer":
      return `peer/${change.name}`;
    case "quarantine":
      return `quarantine/${change.segment}`;
    case "build":
      return `build/${change.pool}/${change.build}`;
    case "rollout-order":
    case "rollout-verdict":
      return `${change.kind}/${change.pool}`;
  }
}
