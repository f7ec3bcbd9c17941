/**
 * Builds of the targets of a pool. What two builds write of one stream does not
 * fit together, so a stream stays at the build that began it.
 *
 * @module
 */

import type { ListedTarget } from "./fleet_state.ts";

/** Whatever has a build; undefined stands for targets that report none. */
export type BuildHolder = Pick<ListedTarget, "build">;

/** Returns the targets of the same build as `holder`; all without one. */
export function ofBuild(
  targets: readonly ListedTarget[],
  holder: BuildHolder | undefined,
): readonly ListedTarget[] {
  return holder
    ? targets.filter(({ build }) => build === holder.build)
    : targets;
}
