/**
 * Priority classes in which the requests of a pool compete at its targets: by
 * organisation first, then by route.
 *
 * @module
 */

import type { CatalogSpec, Organisation, Route } from "./catalog.ts";

/** Number of classes that targets distinguish. */
const CLASSES = 10;

/**
 * Classes of the requests of one pool, 0 for the most urgent. A request of a
 * more urgent organisation is in a more urgent class than any of a less urgent
 * one, as long as the organisations have no more priorities than there are
 * classes. Routes share a class within an organisation if they have too many
 * priorities. Without priorities of organisations, the class is the priority of
 * the route.
 */
export class PriorityClasses {
  readonly #hasOrganisations: boolean;
  /** Distinct priorities, the most urgent first. */
  readonly #organisations: readonly number[];
  readonly #routes: readonly number[];

  constructor(
    { routes, organisations = [] }: Pick<
      CatalogSpec,
      "routes" | "organisations"
    >,
    pool: string,
  ) {
    const ofPool = routes.filter(({ pools }) =>
      pools.some((one) => one.pool === pool)
    );
    const hasAnonymous = ofPool.some(({ isPublic }) => isPublic);
    this.#hasOrganisations = organisations.some(({ priority }) =>
      priority !== undefined
    );
    this.#organisations = distinct([
      ...organisations.map(priorityOf),
      ...(hasAnonymous ? [priorityOf(undefined)] : []),
    ]);
    this.#routes = distinct(ofPool.map(({ priority }) => priority));
  }

  /** Returns the class of a request. */
  of(
    route: Pick<Route, "priority">,
    organisation: Pick<Organisation, "priority"> | undefined,
  ): number {
    if (!this.#hasOrganisations) return Math.min(CLASSES - 1, route.priority);
    const levels = this.#organisations.length;
    const level = rankIn(this.#organisations, priorityOf(organisation));
    if (levels > CLASSES) return Math.floor(level * CLASSES / levels);
    const each = Math.floor(CLASSES / levels);
    const rank = rankIn(this.#routes, route.priority);
    const within = this.#routes.length <= each
      ? rank
      : Math.floor(rank * each / this.#routes.length);
    return Math.min(CLASSES - 1, level * each + within);
  }
}

function priorityOf(
  organisation: Pick<Organisation, "priority"> | undefined,
): number {
  return organisation?.priority ?? 0;
}

function distinct(values: readonly number[]): readonly number[] {
  return [...new Set(values)].sort((a, b) => a - b);
}

/** Number of values that are more urgent. */
function rankIn(values: readonly number[], value: number): number {
  return values.filter((one) => one < value).length;
}
