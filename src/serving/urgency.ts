/**
 * Priorities of requests: by their organisation first, then by their route.
 *
 * @module
 */

/** Priorities of routes within one priority of an organisation. */
const ROUTE_PRIORITIES = 10;

/** Returns the priority of a request; 0 is the most urgent. */
export function priorityOf(levels: {
  readonly organisation: number;
  readonly route: number;
}): number {
  return levels.organisation * ROUTE_PRIORITIES +
    Math.min(ROUTE_PRIORITIES - 1, levels.route);
}

/**
 * Number of levels of organisation and route by which a priority is less urgent
 * than 0.
 */
export function levelOf(priority: number): number {
  return organisationOf(priority) + routeOf(priority);
}

/**
 * True when a request of the first priority may take the place of one of the
 * second: one of its levels is more urgent and none is less urgent. The
 * organisation orders requests, but an unimportant request of one takes no place
 * from an important one of another.
 */
export function outranks(first: number, second: number): boolean {
  return first !== second &&
    organisationOf(first) <= organisationOf(second) &&
    routeOf(first) <= routeOf(second);
}

function organisationOf(priority: number): number {
  return Math.floor(priority / ROUTE_PRIORITIES);
}

function routeOf(priority: number): number {
  return priority % ROUTE_PRIORITIES;
}
