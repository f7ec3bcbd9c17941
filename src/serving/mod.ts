/**
 * Decisions of an entry that calls its targets itself: what a request may use,
 * which targets are in use, how pieces of stages are batched, and which share
 * of a fleet-wide limit each process may use. All are pure but the splitter of
 * event streams, which buffers, and the record of the prompts sent.
 *
 * @module
 */

export * from "./batch_queue.ts";
export * from "./builds.ts";
export * from "./call_hold.ts";
export * from "./catalog.ts";
export * from "./chain_admission.ts";
export * from "./choice.ts";
export * from "./closure.ts";
export * from "./default_origins.ts";
export * from "./fleet_state.ts";
export * from "./origin_keepers.ts";
export * from "./pressure.ts";
export * from "./priority_class.ts";
export * from "./priority_slack.ts";
export * from "./queue_forecast.ts";
export * from "./queue_retry.ts";
export * from "./request_bucket.ts";
export * from "./result_memory.ts";
export * from "./rollout_records.ts";
export * from "./route_history.ts";
export * from "./route_versions.ts";
export * from "./served_shares.ts";
export * from "./shares.ts";
export * from "./state_change.ts";
export * from "./store_version.ts";
export * from "./stage_plan.ts";
export * from "./stage_shards.ts";
export * from "./stage_targets.ts";
export * from "./stream_origins.ts";
export * from "./event_splitter.ts";
export * from "./expected_time.ts";
export * from "./pool_profile.ts";
export * from "./request_work.ts";
export * from "./sent_prompts.ts";
export * from "./target_pace.ts";
export * from "./urgency.ts";
export * from "./urgency_reserve.ts";
export * from "./wait_errors.ts";
export {
  LAPSE_GRACE_MS,
  TargetObstacle,
  type TargetRecord,
} from "./target_record.ts";
