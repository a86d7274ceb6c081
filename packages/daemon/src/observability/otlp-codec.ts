/** Encodes spans as an OTLP/HTTP JSON export request. */
import type {Attributes, AttributeValue, HrTime} from '@opentelemetry/api';
import type {ReadableSpan} from '@opentelemetry/sdk-trace-node';

type OtlpValue =
	| {readonly stringValue: string}
	| {readonly boolValue: boolean}
	| {readonly intValue: string}
	| {readonly doubleValue: number}
	| {readonly arrayValue: {readonly values: readonly OtlpValue[]}};

type OtlpAttribute = {readonly key: string; readonly value: OtlpValue};

type OtlpSpan = {
	readonly traceId: string;
	readonly spanId: string;
	readonly parentSpanId: string | undefined;
	readonly name: string;
	readonly kind: number;
	readonly startTimeUnixNano: string;
	readonly endTimeUnixNano: string;
	readonly attributes: readonly OtlpAttribute[];
	readonly status: {readonly code: number; readonly message: string | undefined};
};

/** The body of `POST /v1/traces`. */
export type OtlpTraceRequest = {
	readonly resourceSpans: ReadonlyArray<{
		readonly resource: {readonly attributes: readonly OtlpAttribute[]};
		readonly scopeSpans: ReadonlyArray<{readonly scope: {readonly name: string}; readonly spans: readonly OtlpSpan[]}>;
	}>;
};

const nanosPerSecond = 1_000_000_000n;

const toNanos = ([seconds, nanos]: HrTime): string => String((BigInt(seconds) * nanosPerSecond) + BigInt(nanos));

const toValue = (value: AttributeValue): OtlpValue => {
	if (Array.isArray(value)) {
		return {arrayValue: {values: value.filter(element => element !== null && element !== undefined).map(element => toValue(element))}};
	}

	switch (typeof value) {
		case 'boolean': {
			return {boolValue: value};
		}

		case 'number': {
			return Number.isSafeInteger(value) ? {intValue: String(value)} : {doubleValue: value};
		}

		default: {
			return {stringValue: String(value)};
		}
	}
};

const toAttributes = (attributes: Attributes): OtlpAttribute[] => Object.entries(attributes)
	.filter((entry): entry is [string, AttributeValue] => entry[1] !== undefined)
	.map(([key, value]) => ({key, value: toValue(value)}));

const toSpan = (span: ReadableSpan): OtlpSpan => ({
	traceId: span.spanContext().traceId,
	spanId: span.spanContext().spanId,
	parentSpanId: span.parentSpanContext?.spanId,
	name: span.name,
	// OTLP counts kinds from 1, the API from 0
	kind: span.kind + 1,
	startTimeUnixNano: toNanos(span.startTime),
	endTimeUnixNano: toNanos(span.endTime),
	attributes: toAttributes(span.attributes),
	status: {code: span.status.code, message: span.status.message},
});

/**
 * Encodes a batch of spans.
 *
 * @see OpenTelemetry Protocol 1.x, "JSON Protobuf Encoding".
 * @example
 * const body = JSON.stringify(toOtlpRequest(spans, {'service.name': 'baobabpier'}));
 */
export const toOtlpRequest = (spans: readonly ReadableSpan[], resource: Attributes): OtlpTraceRequest => ({
	resourceSpans: [{
		resource: {attributes: toAttributes(resource)},
		scopeSpans: [{scope: {name: 'baobabpier'}, spans: spans.map(span => toSpan(span))}],
	}],
});
