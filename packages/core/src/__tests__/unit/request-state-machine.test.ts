import {describe, expect, test} from 'vitest';
import {
	ManualClock, RequestStateMachine, routerError, toId,
} from '@baobabpier/core';
import type {
	AttemptNumber, EngineId, InstanceId, KvHandle, Placement, RequestEvent, RequestId,
} from '@baobabpier/core';

const placement: Placement = {
	decode: {id: toId<EngineId>('d1'), address: '127.0.0.1:1'},
	prefill: {id: toId<EngineId>('p1'), address: '127.0.0.1:2'},
	pieces: 1,
	grantedBy: toId<InstanceId>('i1'),
};

const first = toId<AttemptNumber>(1);

const createRequest = (): RequestStateMachine => new RequestStateMachine({
	id: toId<RequestId>('r1'), promptTokens: 10, maxTokens: 20, pieceTokens: 1024, queueMs: 1000, totalMs: 10_000, streamIdleTimeoutMs: 500, maxAttempts: 2,
});

const second = toId<AttemptNumber>(2);

const handleOf = (kvId: string): KvHandle => ({
	engine: placement.prefill.id, kvId, tokens: 10, expiresInMs: 800,
});

const eventsUntilDecoding: readonly RequestEvent[] = [
	{kind: 'start'},
	{kind: 'placed', attempt: first, placement},
	{kind: 'reserved', attempt: first},
	{kind: 'prefilled', attempt: first, handle: handleOf('kv')},
	{kind: 'transferred', attempt: first},
];

type Case = {
	readonly name: string;
	readonly events: readonly RequestEvent[];
	readonly effects: readonly string[];
};

const cases: readonly Case[] = [
	{
		name: 'passes tokens on and ends once',
		events: [
			{kind: 'chunk', attempt: first, chunk: {kind: 'tokens', seq: 0, texts: ['a', 'b']}},
			{kind: 'chunk', attempt: first, chunk: {kind: 'end', seq: 2, finish: 'stop'}},
			{kind: 'chunk', attempt: first, chunk: {kind: 'end', seq: 2, finish: 'stop'}},
		],
		effects: ['output', 'finish', 'abort', 'cancel'],
	},
	{
		name: 'drops repeated tokens',
		events: [
			{kind: 'chunk', attempt: first, chunk: {kind: 'tokens', seq: 0, texts: ['a', 'b']}},
			{kind: 'chunk', attempt: first, chunk: {kind: 'tokens', seq: 0, texts: ['a', 'b']}},
		],
		effects: ['output'],
	},
	{
		name: 'resumes at a gap',
		events: [{kind: 'chunk', attempt: first, chunk: {kind: 'tokens', seq: 3, texts: ['d']}}],
		effects: ['resume'],
	},
	{
		name: 'frees memory when the caller goes',
		events: [{kind: 'callerGone'}],
		effects: ['finish', 'abort', 'cancel'],
	},
	{
		name: 'gives the place back only once the memory is free',
		events: [{kind: 'callerGone'}, {kind: 'freed', attempt: first, round: 1}, {kind: 'freed', attempt: first, round: 1}],
		effects: ['finish', 'abort', 'cancel', 'release'],
	},
	{
		name: 'goes on elsewhere when the engine is gone',
		events: [{
			kind: 'failed', attempt: first, call: 'decode', fault: {kind: 'unreachable', detail: 'refused'},
		}],
		effects: ['abort', 'cancel', 'place'],
	},
];

const lost = {kind: 'lost', detail: 'reset'} as const;

const earlyCases: readonly Case[] = [
	{
		name: 'cancels again when the reserve is answered after the first cancel',
		events: [
			...eventsUntilDecoding.slice(0, 2),
			{kind: 'callerGone'},
			{kind: 'freed', attempt: first, round: 1},
			{kind: 'reserved', attempt: first},
			{kind: 'freed', attempt: first, round: 1},
			{kind: 'freed', attempt: first, round: 2},
		],
		effects: ['place', 'reserve', 'finish', 'abort', 'cancel', 'cancel', 'release'],
	},
	{
		name: 'cancels when the answer to the reserve was lost',
		events: [...eventsUntilDecoding.slice(0, 2), {
			kind: 'failed', attempt: first, call: 'reserve', fault: lost,
		}],
		effects: ['place', 'reserve', 'abort', 'cancel', 'place'],
	},
	{
		name: 'gives the place back at once when the engine was full',
		events: [...eventsUntilDecoding.slice(0, 2), {
			kind: 'failed', attempt: first, call: 'reserve', fault: {kind: 'full', freePieces: 0},
		}],
		effects: ['place', 'reserve', 'abort', 'release', 'place'],
	},
	{
		name: 'gives a place back that comes after the caller left, once',
		events: [{kind: 'start'}, {kind: 'callerGone'}, eventsUntilDecoding[1]!, eventsUntilDecoding[1]!],
		effects: ['place', 'finish', 'abort', 'release'],
	},
	{
		name: 'drops the chunks of an earlier attempt',
		events: [
			...eventsUntilDecoding,
			{kind: 'chunk', attempt: first, chunk: {kind: 'tokens', seq: 0, texts: ['a']}},
			{
				kind: 'failed', attempt: first, call: 'decode', fault: {kind: 'expired'},
			},
			{kind: 'placed', attempt: second, placement},
			{kind: 'reserved', attempt: second},
			{kind: 'prefilled', attempt: second, handle: handleOf('kv2')},
			{kind: 'transferred', attempt: second},
			{kind: 'chunk', attempt: first, chunk: {kind: 'tokens', seq: 0, texts: ['a', 'b']}},
			{kind: 'chunk', attempt: first, chunk: {kind: 'end', seq: 0, finish: 'stop'}},
		],
		effects: ['place', 'reserve', 'prefill', 'prefillDone', 'transfer', 'decode', 'output', 'abort', 'cancel', 'place', 'reserve', 'prefill', 'prefillDone', 'transfer', 'decode'],
	},
];

const stepAll = (life: RequestStateMachine, events: readonly RequestEvent[]) => {
	const clock = new ManualClock();
	return events.flatMap(event => life.step(event, clock.now()));
};

describe('RequestLife while decoding', () => {
	test.each(cases)('$name', ({events, effects}) => {
		const life = createRequest();
		stepAll(life, eventsUntilDecoding);
		expect(life.state).toBe('decoding');
		expect(stepAll(life, events).map(effect => effect.kind)).toEqual(effects);
	});
});

describe('RequestLife', () => {
	test.each(earlyCases)('$name', ({events, effects}) => {
		expect(stepAll(createRequest(), events).map(effect => effect.kind)).toEqual(effects);
	});

	test('continues on another engine from prompt and sent tokens, and excludes only the engine at fault', () => {
		const life = createRequest();
		const effects = stepAll(life, [
			...eventsUntilDecoding,
			{kind: 'chunk', attempt: first, chunk: {kind: 'tokens', seq: 0, texts: ['a', 'b']}},
			{
				kind: 'failed', attempt: first, call: 'decode', fault: {kind: 'unreachable', detail: 'refused'},
			},
		]);
		expect(effects.at(-1)).toMatchObject({
			kind: 'place', attempt: second, tokens: 12, maxTokens: 18, excluded: ['d1'],
		});
	});

	test('a failed prefill speaks against the prefill engine only, and is never answered as not run', () => {
		const life = createRequest();
		const failed: RequestEvent = {
			kind: 'failed', attempt: first, call: 'prefill', fault: lost,
		};
		const effects = stepAll(life, [...eventsUntilDecoding.slice(0, 3), failed, {kind: 'refused', attempt: second, error: routerError('overloaded')}]);
		expect(effects.find(effect => effect.kind === 'place' && effect.attempt === second)).toMatchObject({excluded: ['p1']});
		expect(effects.find(effect => effect.kind === 'finish')).toMatchObject({outcome: {kind: 'failed', error: {kind: 'answerLost'}}});
	});
});
