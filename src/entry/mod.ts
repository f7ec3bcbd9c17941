/**
 * The entry process, which accepts the requests of callers.
 *
 * @module
 */

export { startEntry } from "./start.ts";
export * from "./attempt.ts";
export * from "./checkpoints.ts";
export * from "./dispatcher.ts";
export * from "./key_record.ts";
export * from "./problem.ts";
export * from "./runner.ts";
export { AdmissionService } from "./admission_service.ts";
export { Directory } from "./directory.ts";
export { Dispatcher } from "./dispatcher.ts";
export { type PipelineRequest, Runner } from "./runner.ts";
export * from "./stage_dispatch.ts";
