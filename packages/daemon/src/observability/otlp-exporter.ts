/** Sends spans to an OTLP/HTTP endpoint. */
import type {Attributes} from '@opentelemetry/api';
import type {ReadableSpan, SpanExporter} from '@opentelemetry/sdk-trace-node';
import {request} from 'undici';
import {createLog} from '../log.js';
import {toOtlpRequest} from './otlp-codec.js';

const log = createLog('tracing');
const exportMs = 5000;
const success = 0;
const failure = 1;

/** An exporter that posts JSON; a batch that can't be delivered is dropped. */
export class OtlpExporter implements SpanExporter {
	readonly #pending = new Set<Promise<void>>();

	constructor(private readonly endpoint: string, private readonly resource: Attributes) {}

	export(spans: ReadableSpan[], onResult: Parameters<SpanExporter['export']>[1]): void {
		const sending = this.#send(spans).then(delivered => {
			this.#pending.delete(sending);
			onResult({code: delivered ? success : failure});
		});
		this.#pending.add(sending);
	}

	async forceFlush(): Promise<void> {
		await Promise.all(this.#pending);
	}

	async shutdown(): Promise<void> {
		await this.forceFlush();
	}

	async #send(spans: readonly ReadableSpan[]): Promise<boolean> {
		try {
			const answer = await request(this.endpoint, {
				method: 'POST',
				headers: {'content-type': 'application/json'},
				body: JSON.stringify(toOtlpRequest(spans, this.resource)),
				signal: AbortSignal.timeout(exportMs),
				// Closes the connection: nothing ties an answer to its batch
				reset: true,
			});
			await answer.body.dump();
			return answer.statusCode < 300;
		} catch (error) {
			log('Spans could not be delivered.', {spans: spans.length, reason: (error as Error).message});
			return false;
		}
	}
}
