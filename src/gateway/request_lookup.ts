/**
 * Looks up what the configuration says of a request: its route, organisation
 * and priority.
 *
 * @module
 */

import { err, ok, type Result } from "neverthrow";
import {
  type Catalog,
  type Organisation,
  priorityOf,
  type Route,
} from "../serving/mod.ts";
import { type CallerRequest, type Refusal, RefusalKind } from "./ports.ts";

/** What the configuration says of a request. */
export interface LookedUp {
  readonly route: Route;
  readonly organisation?: Organisation;
  /** Priority of the request; 0 is the most urgent. */
  readonly priority: number;
}

/** Returns route and organisation of a request, or why it has none. */
export function lookUp(
  catalog: Catalog,
  { hostname, path, key }: Pick<CallerRequest, "hostname" | "path" | "key">,
): Result<LookedUp, Refusal> {
  const route = catalog.routeOf(hostname, path.split("?", 1)[0] ?? path);
  if (!route) {
    return err({ kind: RefusalKind.UnknownRoute, reason: "no such route" });
  }
  const needsKey = catalog.needsKeys && !route.isPublic;
  const organisation = key === undefined
    ? undefined
    : catalog.organisationOf(key);
  if (needsKey && !organisation) {
    return err({ kind: RefusalKind.UnknownKey, reason: "unknown key" });
  }
  const priority = priorityOf({
    organisation: organisation?.priority ?? 0,
    route: route.priority,
  });
  return ok({ route, organisation, priority });
}
