/**
 * Command that sends load to the entries.
 *
 * @module
 */

import type { CAC } from "cac";
import { readChecked } from "../config/mod.ts";
import {
  type LoadReport,
  loadSettingsSchema,
  runLoad,
  summarise,
} from "../load/mod.ts";
import type { DurationSummary } from "../telemetry/mod.ts";
import { unwrapChecked } from "./daemon.ts";

interface LoadFlags {
  settings: string;
  json?: boolean;
}

/** Adds `load`. */
export function loadCommands(cli: CAC): void {
  cli.command(
    "load",
    "Send load to the entries and print a summary of the outcomes",
  )
    .option("--settings <file>", "Path of the settings, a JSON file")
    .option("--json", "Print one JSON object on one line")
    .action(async (flags: LoadFlags) => {
      const checked = readChecked(flags.settings, loadSettingsSchema);
      const cfg = unwrapChecked(flags.settings, checked);
      const report = summarise(await runLoad(cfg));
      const lines = flags.json ? [JSON.stringify(report)] : linesOf(report);
      lines.forEach((line) => console.log(line));
    });
}

/** Formats a report as lines of key=value pairs. */
export function linesOf(report: LoadReport): readonly string[] {
  const { requests, attainment, done, refused, outcomeUnknown, unanswered } =
    report;
  const streams = report.firstText.count > 0
    ? [
      quantiles("first_text", report.firstText),
      quantiles("text_gap", report.textGap),
    ]
    : [];
  const costs = Object.entries(report.costByStage).map(([stage, cost]) =>
    `stage=${stage} requests=${cost.requests} ` +
    `service_ms=${fixed(cost.meanServiceMs)} ` +
    `queued_ms=${fixed(cost.meanQueuedMs)} tokens=${cost.tokens}`
  );
  const reasons = Object.entries(report.reasons)
    .map(([reason, count]) =>
      `reason=${JSON.stringify(reason)} count=${count}`
    );
  return [
    `requests=${requests} attainment=${attainment.toFixed(4)} done=${done} ` +
    `refused=${refused} outcome_unknown=${outcomeUnknown} ` +
    `unanswered=${unanswered} repeated=${report.repeated}`,
    quantiles("latency", report.latency),
    ...streams,
    ...costs,
    ...reasons,
  ];
}

function quantiles(name: string, of: DurationSummary): string {
  return `${name} count=${of.count} mean_ms=${fixed(of.meanMs)} ` +
    `p50_ms=${fixed(of.p50Ms)} p95_ms=${fixed(of.p95Ms)} ` +
    `p99_ms=${fixed(of.p99Ms)}`;
}

function fixed(ms: number): string {
  return ms.toFixed(2);
}
