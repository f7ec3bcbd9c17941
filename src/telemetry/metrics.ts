/**
 * Counters, gauges and histograms of one process, with the Prometheus text
 * form. Histograms are HDR histograms and are exposed as summaries.
 *
 * @module
 */

import { build, type Histogram } from "hdr-histogram-js";

/** Label values of one series. */
export type Labels = Readonly<Record<string, string>>;

const QUANTILES = [0.5, 0.9, 0.95, 0.99] as const;
/** Histograms keep microseconds, so that sub-millisecond times are visible. */
const US_PER_MS = 1000;
const HIGHEST_TRACKABLE_US = 3_600_000_000;

/** Summary of a histogram of durations. */
export interface DurationSummary {
  readonly count: number;
  readonly meanMs: number;
  readonly p50Ms: number;
  readonly p95Ms: number;
  readonly p99Ms: number;
}

/** Histogram of durations in milliseconds. */
export class Durations {
  readonly #hist: Histogram = build({
    bitBucketSize: 64,
    autoResize: true,
    highestTrackableValue: HIGHEST_TRACKABLE_US,
    numberOfSignificantValueDigits: 2,
  });

  /** Records one duration. */
  record(ms: number): void {
    const us = Math.max(0, Math.round(ms * US_PER_MS));
    this.#hist.recordValue(Math.min(us, HIGHEST_TRACKABLE_US));
  }

  /** Number of recorded durations. */
  get count(): number {
    return this.#hist.totalCount;
  }

  /** Duration in milliseconds at quantile `q` between 0 and 1. */
  quantile(q: number): number {
    return this.#hist.getValueAtPercentile(q * 100) / US_PER_MS;
  }

  /** Count, mean and the usual quantiles. */
  summary(): DurationSummary {
    return {
      count: this.count,
      meanMs: this.count === 0 ? 0 : this.#hist.mean / US_PER_MS,
      p50Ms: this.quantile(0.5),
      p95Ms: this.quantile(0.95),
      p99Ms: this.quantile(0.99),
    };
  }
}

interface Series<T> {
  readonly name: string;
  readonly labels: Labels;
  value: T;
}

/** Registry of the metrics of one process. */
export class Metrics {
  readonly #counters = new Map<string, Series<number>>();
  readonly #gauges = new Map<string, Series<() => number>>();
  readonly #durations = new Map<string, Series<Durations>>();

  /** Adds `by` to a counter. */
  count(name: string, labels: Labels = {}, by = 1): void {
    const series = seriesOf(this.#counters, { name, labels, value: 0 });
    series.value += by;
  }

  /** Sum of a counter over all its label values. */
  total(name: string): number {
    return [...this.#counters.values()]
      .filter((series) => series.name === name)
      .reduce((sum, series) => sum + series.value, 0);
  }

  /** Exposes a value that is read when metrics are collected. */
  gauge(name: string, read: () => number, labels: Labels = {}): void {
    seriesOf(this.#gauges, { name, labels, value: read }).value = read;
  }

  /** Histogram with this name and these labels, made on first use. */
  durations(name: string, labels: Labels = {}): Durations {
    const found = this.#durations.get(seriesId(name, labels));
    if (found) return found.value;
    const value = new Durations();
    return seriesOf(this.#durations, { name, labels, value }).value;
  }

  /** All metrics in the Prometheus text form. */
  text(): string {
    const lines = [
      ...[...this.#counters.values()].map((s) => line(s, s.value)),
      ...[...this.#gauges.values()].map((s) => line(s, s.value())),
      ...[...this.#durations.values()].flatMap(summaryLines),
    ];
    return lines.sort().join("\n") + "\n";
  }
}

function seriesId(name: string, labels: Labels): string {
  return name + labelText(labels);
}

function seriesOf<T>(all: Map<string, Series<T>>, fresh: Series<T>): Series<T> {
  const id = seriesId(fresh.name, fresh.labels);
  const found = all.get(id);
  if (found) return found;
  all.set(id, fresh);
  return fresh;
}

function labelText(labels: Labels): string {
  const pairs = Object.entries(labels)
    .map(([name, value]) => `${name}=${JSON.stringify(value)}`);
  return pairs.length === 0 ? "" : `{${pairs.join(",")}}`;
}

function line(series: { name: string; labels: Labels }, value: number): string {
  return `cassiapost_${series.name}${labelText(series.labels)} ${value}`;
}

function summaryLines(series: Series<Durations>): string[] {
  const { name, labels, value } = series;
  const quantiles = QUANTILES.map((q) =>
    line(
      { name: `${name}_ms`, labels: { ...labels, quantile: String(q) } },
      value.quantile(q),
    )
  );
  return [
    ...quantiles,
    line({ name: `${name}_ms_count`, labels }, value.count),
  ];
}
