/**
 * Keeps prompts away from targets that would crash on them: observes crashes,
 * shares what it learns with other entries and refuses prompts in quarantine.
 *
 * @module
 */

export * from "./call_watch.ts";
export * from "./crash_watch.ts";
export * from "./ports.ts";
export * from "./quarantine_recorder.ts";
