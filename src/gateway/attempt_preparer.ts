/**
 * Prepares the attempts of a request: the results of its stages and a reserved
 * target.
 *
 * @module
 */

import { err, ok, type Result } from "neverthrow";
import { monotonicMs } from "../kernel/mod.ts";
import type {
  ChainClient,
  StagedInputs,
  StageHandler,
} from "./chain_client.ts";
import type { FirstByteTimes } from "./first_byte_times.ts";
import type { RateLimits } from "../rates/mod.ts";
import {
  type BuildHolder,
  queueRetryAfterMs,
  type RequestWork,
  workOf,
} from "../serving/mod.ts";
import type { CallerRequest } from "./ports.ts";
import type { Admitted } from "./relay.ts";
import type {
  Reservation,
  TargetChoice,
  TargetTracker,
} from "./target_tracker.ts";

/**
 * Time after which callers may retry when no target is open, in milliseconds.
 */
export const NO_TARGET_RETRY_AFTER_MS = 300;
/** Shortest remaining time in which a request is worth sending, in ms. */
const MIN_SEND_MS = 20;

/** Everything that one attempt at a target needs. */
export interface PreparedAttempt {
  readonly inputs: StagedInputs;
  readonly reservation: Reservation;
}

/** Returns the target and the results of an attempt that is not made. */
export function discardAttempt(attempt: PreparedAttempt): void {
  attempt.reservation.discarded();
  attempt.inputs.release();
}

/** Why no attempt can be made now. */
export interface Unprepared {
  readonly reason: string;
  readonly retryAfterMs: number;
  /** Other process that refused the stages. */
  readonly stageHandler?: StageHandler;
}

const NO_LONGER_NEEDED: Unprepared = {
  reason: "no longer needed",
  retryAfterMs: 0,
};

const TOO_LATE: Unprepared = { reason: "its time has passed", retryAfterMs: 0 };

/** Services that prepare attempts. */
export interface PreparerDeps {
  readonly tracker: Pick<
    TargetTracker,
    "reserve" | "preferredDomain" | "reopensInMs"
  >;
  readonly chains: Pick<ChainClient, "run">;
  readonly firstByteTimes: FirstByteTimes;
  readonly rates: Pick<RateLimits, "acquire">;
}

/** Prepares the attempts of one request. */
export class AttemptPreparer {
  readonly #admitted: Admitted;
  /** Monotonic time of the request's deadline. */
  readonly #deadlineAt: number;
  readonly #deps: PreparerDeps;
  readonly #work: RequestWork;

  constructor(admitted: Admitted, deadlineAt: number, deps: PreparerDeps) {
    this.#admitted = admitted;
    this.#deadlineAt = deadlineAt;
    this.#deps = deps;
    this.#work = workOf(admitted.route.name, admitted.req);
  }

  /**
   * Runs the stages, then reserves a target. The caller has to use or discard
   * what it returns.
   */
  async prepare(
    choice: TargetChoice,
    signal: AbortSignal,
  ): Promise<Result<PreparedAttempt, Unprepared>> {
    const refused = this.#refusedPrompt();
    if (refused) return err(refused);
    const inputs = await this.#runStages(choice, signal);
    if (inputs.isErr()) return err(inputs.error);
    if (signal.aborted) {
      inputs.value.release();
      return err(NO_LONGER_NEEDED);
    }
    const reservation = await this.#reservePermitted(choice);
    if (reservation.isErr()) {
      inputs.value.release();
      return err(reservation.error);
    }
    const attempt = { inputs: inputs.value, reservation: reservation.value };
    if (!signal.aborted) return ok(attempt);
    discardAttempt(attempt);
    return err(NO_LONGER_NEEDED);
  }

  async #runStages(
    { sameBuildAs }: TargetChoice,
    signal: AbortSignal,
  ): Promise<Result<StagedInputs, Unprepared>> {
    const { req, route, pool, catalog, priority, ageMs, sizeRank } =
      this.#admitted;
    if (route.stages.length === 0) return ok(NO_INPUTS);
    const affinity = affinityOf(req);
    const firstByteMs = this.#deps.firstByteTimes.of(route.name);
    const unstartable = this.#unstartable(firstByteMs, sameBuildAs);
    if (unstartable) return err(unstartable);
    const dueAt = req.receivedAt - ageMs + route.latencyGoalMs - firstByteMs;
    const outcome = await this.#deps.chains.run({
      req,
      route,
      catalog,
      priority,
      dueAt,
      expiresAt: this.#deadlineAt - firstByteMs,
      sizeRank,
      resultDomain: affinity === undefined
        ? undefined
        : this.#deps.tracker.preferredDomain(
          pool,
          affinity,
          sameBuildAs,
          this.#work,
        ),
      isResumed: req.lastEventId !== undefined || sameBuildAs !== undefined,
      isRetry: ageMs > 0,
      signal,
    });
    const now = monotonicMs();
    return outcome.mapErr(({ reason, waitMs, refusedShare = 0, handler }) => ({
      reason,
      stageHandler: handler,
      retryAfterMs: queueRetryAfterMs({
        remainingMs: this.#deadlineAt - now,
        dueInMs: dueAt - now,
        waitMs,
        refusedShare,
      }),
    }));
  }

  /** Reason against running stages: no target can respond in time. */
  #unstartable(
    firstByteMs: number,
    sameBuildAs?: BuildHolder,
  ): Unprepared | undefined {
    const spareMs = this.#deadlineAt - monotonicMs() - firstByteMs;
    if (spareMs < MIN_SEND_MS) return TOO_LATE;
    const reopensInMs = this.reopensInMs(sameBuildAs) ?? 0;
    if (reopensInMs <= spareMs) return undefined;
    return { reason: closedReason(sameBuildAs), retryAfterMs: reopensInMs };
  }

  /** Reason against sending the prompt; it may change while stages run. */
  #refusedPrompt(): Unprepared | undefined {
    const refusal = this.#admitted.permit.refusal();
    return refusal && {
      reason: `content ${refusal.segment} is in quarantine`,
      retryAfterMs: refusal.retryAfterMs,
    };
  }

  /** Reserves a target that permits a request under its limit. */
  async #reservePermitted(
    choice: TargetChoice,
  ): Promise<Result<Reservation, Unprepared>> {
    while (true) {
      const reservation = this.#reserve(choice);
      if (reservation.isErr()) return reservation;
      const { target } = reservation.value;
      // A target whose permit is denied is closed for a moment.
      const isPermitted = await this.#deps.rates.acquire(target.id);
      if (isPermitted && !this.#isTooLate) return reservation;
      reservation.value.discarded();
    }
  }

  /** True when the request has too little time left to be sent. */
  get #isTooLate(): boolean {
    return this.#deadlineAt - monotonicMs() < MIN_SEND_MS;
  }

  #reserve(choice: TargetChoice): Result<Reservation, Unprepared> {
    const refused = this.#refusedPrompt();
    if (refused) return err(refused);
    if (this.#isTooLate) {
      return err(TOO_LATE);
    }
    const { req, pool, route } = this.#admitted;
    const reservation = this.#deps.tracker.reserve(pool, {
      route: route.name,
      affinity: affinityOf(req),
      work: this.#work,
      ...choice,
    });
    if (reservation) return ok(reservation);
    return err({
      reason: closedReason(choice.sameBuildAs),
      retryAfterMs: this.reopensInMs(choice.sameBuildAs) ??
        NO_TARGET_RETRY_AFTER_MS,
    });
  }

  /**
   * Time until a target takes requests again, in milliseconds; undefined when
   * some do, or when that is not known.
   */
  reopensInMs(sameBuildAs?: BuildHolder): number | undefined {
    return this.#deps.tracker.reopensInMs(this.#admitted.pool, sameBuildAs);
  }
}

function closedReason(sameBuildAs: BuildHolder | undefined): string {
  return sameBuildAs
    ? "no target of the stream's build is open"
    : "no target is open";
}

const NO_INPUTS: StagedInputs = { results: [], release: () => {} };

/**
 * Name of the most specific shared segment of the prompt. The last segment
 * counts as unshared unless it is the only one.
 */
export function affinityOf(
  { promptParts }: Pick<CallerRequest, "promptParts">,
): string | undefined {
  return promptParts.at(-2) ?? promptParts.at(-1);
}
