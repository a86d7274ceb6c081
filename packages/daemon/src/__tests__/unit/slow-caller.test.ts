import {
	afterEach, beforeEach, expect, test, vi,
} from 'vitest';
import {ok, parseCatalogue, toId} from '@baobabpier/core';
import type {
	InstanceId, Instant, ModelService, RequestId, Revision, ServiceName,
} from '@baobabpier/core';
import {ModelRequestTask} from '../../requests/model-request-task.js';
import type {RequestTaskParts} from '../../requests/model-request-task.js';

beforeEach(() => {
	vi.useFakeTimers();
});

afterEach(() => {
	vi.useRealTimers();
});

const catalogue = parseCatalogue(`[services.llm]
kind = "model"
owner = "o"
class = "urgent"
engines = [{id = "d", address = "127.0.0.1:1", dataCentre = "a", role = "decode", pieces = 4}]`, toId<Revision>(1)).unwrap();

// A stream paused by a slow caller receives no output; the idle timeout must not resume it on another engine
test('does not apply the idle timeout to a stream that waits for a slow caller', async () => {
	let resumes = 0;
	const engine = {
		reserve: async () => ok('i'),
		prefill: async () => ok({kvId: 'kv'}),
		transfer: async () => ok(undefined),
		async * decode() {
			yield {kind: 'tokens', seq: 0, texts: ['a']};
			yield {kind: 'end', seq: 1, finish: 'stop'};
		},
		async * resume() {
			resumes += 1;
			yield {kind: 'end', seq: 1, finish: 'stop'};
		},
	};
	const start = Date.now();
	const parts = {
		self: toId<InstanceId>('one'),
		clock: {now: () => Date.now() - start as Instant},
		clients: {get: () => engine, registerAliveListener: () => () => {/* No listener to remove */}},
		canceller: {async cancel() {/* Completes immediately */}},
		places: {
			place: async () => ({response: {kind: 'placed', placement: {decode: {id: 'd'}, prefill: {id: 'p'}, pieces: 1}}, pool: undefined}),
		},
	} as unknown as RequestTaskParts;
	let resumeReading = (): void => {/* Set by `ready` */};
	const sink = {
		write: vi.fn(),
		end: vi.fn(),
		ready: async () => new Promise<void>(resolve => {
			resumeReading = resolve;
		}),
	};
	const task = new ModelRequestTask({
		id: toId<RequestId>('r'),
		promptTokens: 1,
		maxTokens: 10,
		pieceTokens: 1024,
		queueMs: 1000,
		totalMs: 100_000,
		streamIdleTimeoutMs: 2000,
		maxAttempts: 2,
		service: catalogue.services.get(toId<ServiceName>('llm')) as ModelService,
		prompt: 'p',
		prefix: '',
	}, sink, parts);
	task.dispatch({kind: 'start'});
	for (let step = 0; step < 300; step++) {
		// eslint-disable-next-line no-await-in-loop
		await vi.advanceTimersByTimeAsync(100);
		task.dispatch({kind: 'tick'});
	}

	expect(resumes).toBe(0);
	resumeReading();
	await vi.advanceTimersByTimeAsync(1);
	expect(sink.end).toHaveBeenCalledWith({kind: 'complete', finish: 'stop', outputTokens: 1});
});
