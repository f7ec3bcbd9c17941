/**
 * Text of the explanation of a route, for people.
 *
 * @module
 */

import type {
  PoolExplanation,
  RouteExplanation,
  TargetExplanation,
} from "../wire/mod.ts";

type Field = string | number | boolean | undefined;

/** Returns what limits the validity of an explanation. */
export function notesOf(explanation: RouteExplanation): readonly string[] {
  const { pools, quarantine, refusal, stages, stream } = explanation;
  const conditional = [
    [
      pools.length > 1,
      "The identifier of a request determines its pool; --request-id names one.",
    ],
    [
      stream?.isKnown === false,
      "This gateway does not know which build began the stream. It would ask " +
      "other gateways and the store, use targets of that build only, and " +
      "refuse the request if the build is not found.",
    ],
    [
      quarantine !== undefined && refusal === undefined,
      "The gateway would send this request as a probe of the segment in " +
      "quarantine.",
    ],
    [
      pools.some(({ targets }) =>
        targets.some(({ isHeldByRollout }) => isHeldByRollout)
      ),
      "A rollout is in force: which build a request may go to changes from " +
      "one request to the next.",
    ],
    [
      (stages?.shares.length ?? 0) > 1,
      "The stages run in the share with the shorter wait of two random ones.",
    ],
    [
      stages !== undefined,
      "The owner of the stages may refuse the request, by the work that it " +
      "has at that moment.",
    ],
  ] as const;
  return [
    "The choice is as of now, and among equal targets it is random: a request " +
    "may get another target than the one shown.",
    "Quarantines of whole requests depend on the body and are not considered.",
    ...conditional.flatMap(([applies, note]) => applies ? [note] : []),
  ];
}

/** Returns the lines of an explanation. */
export function linesOf(explanation: RouteExplanation): readonly string[] {
  const { route, stages, stream, quarantine, refusal } = explanation;
  return [
    fields({
      gateway: explanation.gateway,
      ready: explanation.isReady,
      catalog: explanation.catalogVersion,
      store_age_ms: explanation.storeAgeMs ?? "never",
      targets_age_ms: explanation.targetsAgeMs ?? "never",
    }),
    fields({
      route: route.name,
      host: route.hostname,
      path_prefix: route.pathPrefix,
      kind: route.kind,
      public: route.isPublic,
      goal_ms: route.latencyGoalMs,
      timeout_ms: route.timeoutMs,
      max_attempts: route.maxAttempts,
    }),
    fields({
      organisation: explanation.organisation ?? "none",
      priority: explanation.priority,
      size_rank: explanation.sizeRank?.toFixed(2),
    }),
    ...(stream
      ? [
        fields({
          stream_origin: stream.isKnown ? "known" : "unknown",
          pool: stream.pool,
          build: stream.build,
        }),
      ]
      : []),
    ...(quarantine
      ? [
        fields({
          quarantined_segment: quarantine.segment,
          crashes: quarantine.crashes,
          probe_in_ms: quarantine.probeInMs,
        }),
      ]
      : []),
    ...(stages ? stageLines(stages) : []),
    ...(refusal === undefined
      ? []
      : [`This gateway would refuse the request: ${refusal}.`]),
    ...explanation.pools.flatMap(poolLines),
    ...notesOf(explanation).map((note) => `Note: ${note}`),
  ];
}

function stageLines(
  { group, pools, shares }: NonNullable<RouteExplanation["stages"]>,
): readonly string[] {
  return [
    fields({ stages: group, pools: pools.join(",") }),
    ...shares.map(({ index, owner, isSelf, waitMs }) =>
      fields({
        share: `${index}/${shares.length}`,
        owner,
        self: isSelf,
        expected_wait_ms: waitMs,
      })
    ),
  ];
}

function poolLines(pool: PoolExplanation): readonly string[] {
  return [
    fields({
      pool: pool.pool,
      share: pool.share.toFixed(2),
      retries_left: pool.retriesLeft,
      targets: pool.targets.length + pool.omitted,
    }),
    choiceLine(pool),
    ...pool.targets.map(targetLine),
    ...(pool.omitted > 0 ? [`${pool.omitted} more targets are left out.`] : []),
  ];
}

function choiceLine(
  { pool, chosen, alternatives, isEjectedFallback, reopensInMs }:
    PoolExplanation,
): string {
  if (chosen === undefined) {
    const when = reopensInMs === undefined
      ? ""
      : `; one is expected to be in ${reopensInMs} ms`;
    return `No target of ${pool} is open${when}.`;
  }
  const fallback = isEjectedFallback ? ", as all open ones are ejected" : "";
  const others = alternatives.length === 0
    ? ""
    : `; by chance it may be one of ${alternatives.join(", ")}`;
  return `The next request goes to ${chosen}${fallback}${others}.`;
}

function targetLine(target: TargetExplanation): string {
  const { load } = target;
  return fields({
    target: target.id,
    rank: target.rank,
    state: stateOf(target),
    domain: target.failureDomain,
    build: target.build,
    own: load?.own,
    reported: load?.reported,
    slots: load?.slots,
    expected_ms: load?.expectedMs,
    cost_ms: load?.costMs,
    weight: load?.weight.toFixed(2),
    failures: load?.failureShare.toFixed(2),
    cold: target.isCold || undefined,
    limited: target.isLimited || undefined,
    wait_ms: target.waitMs,
    row_age_ms: target.rowAgeMs,
    report_age_ms: load && (load.reportAgeMs ?? "never"),
  });
}

function stateOf(
  { obstacle, isOtherBuild, isHeldByRollout, closures }: TargetExplanation,
): string {
  if (obstacle) return obstacle;
  if (isOtherBuild) return "other-build";
  if (isHeldByRollout) return "held-by-rollout";
  return closures.join(",") || "open";
}

function fields(all: Readonly<Record<string, Field>>): string {
  return Object.entries(all)
    .filter(([, value]) => value !== undefined)
    .map(([name, value]) => `${name}=${value}`)
    .join(" ");
}
