/**
 * Errors of the platform's services.
 *
 * @module
 */

/** Kind of a failed platform call; tells whether it may have taken effect. */
export const PlatformErrorKind = {
  /** The service did not accept the call, which had no effect. */
  Unavailable: "unavailable",
  /** The service's rate limit rejected the call, which had no effect. */
  RateLimited: "rate-limited",
  /** There was no usable response; the call may have taken effect. */
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
