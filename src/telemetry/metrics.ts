/**
 * Counters, gauges and histograms of one process, exposed in the Prometheus
 * text format. Histograms are HDR histograms and are exposed as summaries.
 *
 * @module
 */

import { build, type Histogram } from "hdr-histogram-js";

/** Labels of one series by name. */
export type Labels = Readonly<Record<string, string>>;

const QUANTILES = [0.5, 0.9, 0.95, 0.99] as const;
/** Histograms record microseconds, to resolve sub-millisecond durations. */
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
export class DurationHistogram {
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

  /** Returns the duration in milliseconds at quantile `q` between 0 and 1. */
  quantile(q: number): number {
    return this.#hist.getValueAtPercentile(q * 100) / US_PER_MS;
  }

  /** Returns count, mean and common quantiles. */
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
  readonly #durations = new Map<string, Series<DurationHistogram>>();

  /** Adds `by` to a counter. */
  count(name: string, labels: Labels = {}, by = 1): void {
    const series = getOrAddSeries(this.#counters, { name, labels, value: 0 });
    series.value += by;
  }

  /** Returns the sum of a counter over all its label values. */
  total(name: string): number {
    return [...this.#counters.values()]
      .filter((series) => series.name === name)
      .reduce((sum, series) => sum + series.value, 0);
  }

  /** Registers a gauge whose value is read when metrics are collected. */
  gauge(name: string, read: () => number, labels: Labels = {}): void {
    getOrAddSeries(this.#gauges, { name, labels, value: read }).value = read;
  }

  /** Returns the histogram with this name and labels, created on first use. */
  durations(name: string, labels: Labels = {}): DurationHistogram {
    const found = this.#durations.get(seriesId(name, labels));
    if (found) return found.value;
    const value = new DurationHistogram();
    return getOrAddSeries(this.#durations, { name, labels, value }).value;
  }

  /** Returns all metrics in the Prometheus text format. */
  text(): string {
    const lines = [
      ...[...this.#counters.values()].map((s) => formatSample(s, s.value)),
      ...[...this.#gauges.values()].map((s) => formatSample(s, s.value())),
      ...[...this.#durations.values()].flatMap(formatSummary),
    ];
    return lines.sort().join("\n") + "\n";
  }
}

function seriesId(name: string, labels: Labels): string {
  return name + formatLabels(labels);
}

function getOrAddSeries<T>(
  all: Map<string, Series<T>>,
  initial: Series<T>,
): Series<T> {
  const id = seriesId(initial.name, initial.labels);
  const found = all.get(id);
  if (found) return found;
  all.set(id, initial);
  return initial;
}

function formatLabels(labels: Labels): string {
  const pairs = Object.entries(labels)
    .map(([name, value]) => `${name}=${JSON.stringify(value)}`);
  return pairs.length === 0 ? "" : `{${pairs.join(",")}}`;
}

function formatSample(
  series: { name: string; labels: Labels },
  value: number,
): string {
  return `cassiapost_${series.name}${formatLabels(series.labels)} ${value}`;
}

function formatSummary(series: Series<DurationHistogram>): string[] {
  const { name, labels, value } = series;
  const quantiles = QUANTILES.map((q) =>
    formatSample(
      { name: `${name}_ms`, labels: { ...labels, quantile: String(q) } },
      value.quantile(q),
    )
  );
  return [
    ...quantiles,
    formatSample({ name: `${name}_ms_count`, labels }, value.count),
  ];
}
