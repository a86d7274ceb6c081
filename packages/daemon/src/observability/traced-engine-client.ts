/** Gives each call to an engine a span. */
import {EngineFaultError} from '@baobabpier/core';
import type {
	DecodeChunk,
	DecodeRequest,
	EngineChange,
	EngineClient,
	EngineFault,
	EngineHold,
	EngineId,
	EngineReport,
	FencingToken,
	EngineIncarnation,
	InstanceId,
	KvHandle,
	PrefillRequest,
	Result,
} from '@baobabpier/core';
import {
	markFailed, runIn, startSpan, withSpan,
} from './tracing.js';
import type {SpanPlan} from './tracing.js';

/** An engine client that passes every call on; reports and changes get no span. */
export class TracedEngineClient implements EngineClient {
	constructor(private readonly id: EngineId, private readonly client: EngineClient) {}

	async reserve(hold: EngineHold, pieces: number, holder: InstanceId): Promise<Result<EngineIncarnation, EngineFault>> {
		return withSpan('reserve', this.#plan(hold, {pieces}), async () => this.client.reserve(hold, pieces, holder));
	}

	async prefill(order: PrefillRequest, signal: AbortSignal): Promise<Result<KvHandle, EngineFault>> {
		return withSpan('prefill', this.#plan(order, {tokens: order.tokens}), async () => this.client.prefill(order, signal));
	}

	async transfer(hold: EngineHold, handle: KvHandle, from: string, signal: AbortSignal): Promise<Result<void, EngineFault>> {
		return withSpan('transfer', this.#plan(hold, {from: handle.engine}), async () => this.client.transfer(hold, handle, from, signal));
	}

	async * decode(order: DecodeRequest, signal: AbortSignal): AsyncGenerator<DecodeChunk> {
		yield * this.#traced('decode', order, () => this.client.decode(order, signal));
	}

	async * resume(hold: EngineHold, fromSeq: number, signal: AbortSignal): AsyncGenerator<DecodeChunk> {
		yield * this.#traced('resume', hold, () => this.client.resume(hold, fromSeq, signal));
	}

	async cancel(hold: EngineHold): Promise<Result<void, EngineFault>> {
		return withSpan('cancel', this.#plan(hold), async () => this.client.cancel(hold));
	}

	async report(): Promise<Result<EngineReport, EngineFault>> {
		return this.client.report();
	}

	async change(fencing: FencingToken, change: EngineChange): Promise<Result<void, EngineFault>> {
		return this.client.change(fencing, change);
	}

	/** Covers a stream from its request to its end, or until its reader leaves. */
	async * #traced(name: 'decode' | 'resume', hold: EngineHold, open: () => AsyncGenerator<DecodeChunk>): AsyncGenerator<DecodeChunk> {
		const span = startSpan(name, this.#plan(hold));
		if (span === undefined) {
			yield * open();
			return;
		}

		const stream = open();
		try {
			let next = await runIn(span, async () => stream.next());
			while (next.done !== true) {
				yield next.value;
				// eslint-disable-next-line no-await-in-loop
				next = await stream.next();
			}
		} catch (error) {
			markFailed(span, error instanceof EngineFaultError ? error.fault.kind : 'failed');
			throw error;
		} finally {
			span.end();
			await stream.return(undefined);
		}
	}

	#plan(hold: EngineHold, more: Record<string, string | number> = {}): SpanPlan {
		return {attributes: {engine: this.id, attempt: hold.attempt, ...more}};
	}
}
