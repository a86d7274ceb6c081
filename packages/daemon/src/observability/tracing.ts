/** Spans for each hop of a request, and W3C trace context in and out. */
import {
	context, propagation, ROOT_CONTEXT, SpanKind, SpanStatusCode, trace,
} from '@opentelemetry/api';
import type {
	Attributes, Context, Span, Tracer,
} from '@opentelemetry/api';
import {BatchSpanProcessor, NodeTracerProvider} from '@opentelemetry/sdk-trace-node';
import type {InstanceId} from '@baobabpier/core';
import {OtlpExporter} from './otlp-exporter.js';

/** Names of the spans; docs/tracing.md says what each covers. */
export type SpanName =
	| 'entry'
	| 'place'
	| 'reserve'
	| 'prefill'
	| 'transfer'
	| 'decode'
	| 'resume'
	| 'cancel'
	| 'backend.call'
	| 'ledger.claim'
	| 'ledger.settle'
	| `rpc ${string}`;

type Headers = Readonly<Record<string, string | readonly string[] | undefined>>;

let tracer: Tracer | undefined;

/**
 * Switches tracing on for this process; returns the teardown, which sends what is left.
 *
 * @example
 * const stopTracing = startTracing('http://10.0.0.9:4318/v1/traces', settings.id);
 */
export const startTracing = (endpoint: string, self: InstanceId): () => Promise<void> => {
	// eslint-disable-next-line @typescript-eslint/naming-convention
	const exporter = new OtlpExporter(endpoint, {'service.name': 'baobabpier', 'service.instance.id': self});
	const provider = new NodeTracerProvider({spanProcessors: [new BatchSpanProcessor(exporter)]});
	provider.register();
	tracer = provider.getTracer('baobabpier');
	return async () => {
		tracer = undefined;
		await provider.shutdown();
	};
};

/** Whether spans are made. */
export const isTracing = (): boolean => tracer !== undefined;

/** The trace context that a request's headers carry. */
export const readTrace = (headers: Headers): Context => tracer === undefined ? ROOT_CONTEXT : propagation.extract(ROOT_CONTEXT, headers);

/** Headers that pass the current trace context on; none while tracing is off. */
export const traceHeaders = (): Record<string, string> => {
	const headers: Record<string, string> = {};
	if (tracer !== undefined) {
		propagation.inject(context.active(), headers);
	}

	return headers;
};

/**
 * Keeps the current trace context for work that timers or other connections start.
 *
 * @example
 * const inTrace = captureTrace();
 * setTimeout(() => inTrace(() => retry()), 100);
 */
export const captureTrace = (): (<T>(work: () => T) => T) => {
	const captured = context.active();
	return work => context.with(captured, work);
};

/** Notes on a span why its hop failed. */
export const markFailed = (span: Span, reason: string): void => {
	span.setStatus({code: SpanStatusCode.ERROR, message: reason});
};

const reasonOf = (value: unknown): string | undefined => {
	const {err, val} = value as {err?: boolean; val?: {kind?: string; error?: {kind?: string}}};
	return err === true ? val?.kind ?? val?.error?.kind ?? 'failed' : undefined;
};

/** What a span is besides its name. */
export type SpanPlan = {
	readonly attributes?: Attributes;
	readonly kind?: SpanKind;
	/** The context to hang it on; the current one by default. */
	readonly parent?: Context;
};

/** Starts a span; undefined while tracing is off. The caller ends it. */
export const startSpan = (name: SpanName, {attributes, kind = SpanKind.CLIENT, parent = context.active()}: SpanPlan = {}): Span | undefined => tracer?.startSpan(name, {attributes, kind}, parent);

/** Runs work with a span as the current one. */
export const runIn = <T>(span: Span | undefined, work: () => T): T => span === undefined ? work() : context.with(trace.setSpan(context.active(), span), work);

/**
 * Runs one hop in a span of its own. A rejection or a failed `Result` marks the span.
 *
 * @example
 * const answer = await withSpan('prefill', {attributes: {engine: id}}, async () => client.prefill(order, signal));
 */
export const withSpan = async <T>(name: SpanName, plan: SpanPlan, work: () => Promise<T>): Promise<T> => {
	const span = startSpan(name, plan);
	if (span === undefined) {
		return work();
	}

	try {
		const value = await runIn(span, work);
		const reason = typeof value === 'object' && value !== null ? reasonOf(value) : undefined;
		if (reason !== undefined) {
			markFailed(span, reason);
		}

		return value;
	} catch (error) {
		markFailed(span, (error as Error).name);
		throw error;
	} finally {
		span.end();
	}
};
