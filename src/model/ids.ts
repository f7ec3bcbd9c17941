/**
 * Identifiers used in messages and stored records. They are plain strings on
 * the wire; the type aliases show which identifier a field contains.
 *
 * @module
 */

/** Name of an organisation, unique in the operators' lists. */
export type OrganisationId = string;

/** Name of a failure domain. */
export type DomainName = string;

/** Name of a host in the platform's host list. */
export type HostId = string;

/** Name of a target: one engine or service process on one host. */
export type TargetId = string;

/** Name of a pool of interchangeable targets. */
export type PoolName = string;

/** Name of a pipeline. */
export type PipelineName = string;

/** Name of a stage, unique within its pipeline. */
export type StageName = string;

/** Identifier of one request, assigned by the entry that accepted it. */
export type RequestId = string;

/** Identifier of one attempt of one stage of one request. */
export type CallId = string;

/** Key given by the caller, by which repeated requests are recognised. */
export type IdempotencyKey = string;

/** Returns the identifier of one attempt at a stage. */
export function callId(
  requestId: RequestId,
  stage: StageName,
  attempt: number,
): CallId {
  return `${requestId}/${stage}/${attempt}`;
}
