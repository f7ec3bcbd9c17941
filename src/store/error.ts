/**
 * Errors of the platform's services.
 *
 * @module
 */

/** What a failed platform call says about its effect. */
export const PlatformErrorKind = {
  /** The service did not take the call; it had no effect. */
  Unavailable: "unavailable",
  /** The service turned the call away by its rate limit; it had no effect. */
  RateLimited: "rate-limited",
  /** No answer came; the call may have taken effect. */
  Unanswered: "unanswered",
  /** The service rejected the call as malformed; it had no effect. */
  Rejected: "rejected",
} as const;
export type PlatformErrorKind =
  typeof PlatformErrorKind[keyof typeof PlatformErrorKind];

/** Failed call to a service of the platform. */
export class PlatformError extends Error {
  override readonly name = "PlatformError";
  readonly kind: PlatformErrorKind;

  constructor(kind: PlatformErrorKind, message: string) {
    super(message);
    this.kind = kind;
  }

  /** True when the call may have taken effect. */
  get mayHaveApplied(): boolean {
    return this.kind === PlatformErrorKind.Unanswered;
  }
}
