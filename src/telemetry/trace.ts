/**
 * Traces: one span per hop, propagated by the W3C `traceparent` header.
 *
 * @module
 */

import {
  type Context,
  context,
  type Span,
  SpanStatusCode,
  trace,
  type Tracer,
} from "@opentelemetry/api";
import { W3CTraceContextPropagator } from "@opentelemetry/core";
import { OTLPTraceExporter } from "@opentelemetry/exporter-trace-otlp-http";
import {
  BatchSpanProcessor,
  NodeTracerProvider,
  type ReadableSpan,
  SimpleSpanProcessor,
  type SpanExporter,
} from "@opentelemetry/sdk-trace-node";
import type { Logger } from "./log.ts";

/** Destination of spans. */
export const TraceExport = {
  None: "none",
  /** One log line per span; needs no collector. */
  Log: "log",
  /** An OTLP collector over HTTP. */
  Otlp: "otlp",
} as const;
export type TraceExport = typeof TraceExport[keyof typeof TraceExport];

/** Result code of a successful export in OpenTelemetry. */
const EXPORT_SUCCESS = 0;
const MS_PER_S = 1000;
const NS_PER_MS = 1_000_000;

const propagator = new W3CTraceContextPropagator();

/** Creates spans and propagates their context between processes. */
export class Tracing {
  readonly #tracer: Tracer;
  readonly #provider: NodeTracerProvider;

  constructor(
    opts: { to: TraceExport; url?: string; log: Logger; process: string },
  ) {
    const spanProcessors = processorsFor(opts);
    this.#provider = new NodeTracerProvider({ spanProcessors });
    this.#tracer = this.#provider.getTracer(opts.process);
  }

  /**
   * Starts a span as a child of `parent`, a `traceparent` value. Starts a new
   * trace when it is absent or malformed.
   */
  start(
    name: string,
    opts: { parent?: string; attributes?: Record<string, string | number> } =
      {},
  ): HopSpan {
    const parent = parentContext(opts.parent);
    const span = this.#tracer.startSpan(
      name,
      { attributes: opts.attributes ?? {} },
      parent,
    );
    return new HopSpan(span, trace.setSpan(parent, span));
  }

  /** Exports the buffered spans. */
  async flush(): Promise<void> {
    await this.#provider.forceFlush();
  }
}

/** Span of one hop. */
export class HopSpan {
  readonly #span: Span;
  readonly #context: Context;

  constructor(span: Span, ctx: Context) {
    this.#span = span;
    this.#context = ctx;
  }

  /** Value of the `traceparent` header of calls within the span. */
  get traceparent(): string {
    const carrier: Record<string, string> = {};
    propagator.inject(this.#context, carrier, {
      set: (into, key, value) => {
        (into as Record<string, string>)[key] = value;
      },
    });
    return carrier.traceparent ?? "";
  }

  /** Sets an attribute. */
  set(name: string, value: string | number): void {
    this.#span.setAttribute(name, value);
  }

  /** Ends the span; `failure` marks it as failed and gives the reason. */
  end(failure?: string): void {
    if (failure) {
      this.#span.setStatus({ code: SpanStatusCode.ERROR, message: failure });
    }
    this.#span.end();
  }
}

function processorsFor(opts: { to: TraceExport; url?: string; log: Logger }) {
  if (opts.to === TraceExport.Log) {
    return [new SimpleSpanProcessor(new LogSpanExporter(opts.log))];
  }
  if (opts.to === TraceExport.Otlp) {
    return [
      new BatchSpanProcessor(
        new OTLPTraceExporter(opts.url ? { url: opts.url } : {}),
      ),
    ];
  }
  return [];
}

function parentContext(traceparent: string | undefined): Context {
  if (!traceparent) return context.active();
  return propagator.extract(context.active(), { traceparent }, {
    get: (carrier, key) => (carrier as Record<string, string>)[key],
    keys: (carrier) => Object.keys(carrier as Record<string, string>),
  });
}

/** Exports each span as a log event. */
class LogSpanExporter implements SpanExporter {
  readonly #log: Logger;

  constructor(log: Logger) {
    this.#log = log;
  }

  export(
    spans: ReadableSpan[],
    done: (result: { code: number }) => void,
  ): void {
    spans.forEach((span) => this.#write(span));
    done({ code: EXPORT_SUCCESS });
  }

  shutdown(): Promise<void> {
    return Promise.resolve();
  }

  #write(span: ReadableSpan): void {
    const { traceId, spanId } = span.spanContext();
    const [seconds, nanoseconds] = span.duration;
    this.#log.info("span", {
      span: span.name,
      trace: traceId,
      id: spanId,
      parent: span.parentSpanContext?.spanId,
      duration_ms: seconds * MS_PER_S + nanoseconds / NS_PER_MS,
      failure: span.status.message,
      ...scalarAttributes(span),
    });
  }
}

function scalarAttributes(span: ReadableSpan): Record<string, string> {
  return Object.fromEntries(
    Object.entries(span.attributes).map(([name, value]) => [
      name,
      String(value),
    ]),
  );
}
