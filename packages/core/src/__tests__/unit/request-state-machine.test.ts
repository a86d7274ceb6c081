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

const createMachine = (): RequestStateMachine => new RequestStateMachine({
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
		name: 'forwards tokens and finishes once',
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
		name: 'frees memory when the caller disconnects',
		events: [{kind: 'callerGone'}],
		effects: ['finish', 'abort', 'cancel'],
	},
	{
		name: 'releases the placement only after the memory is free',
		events: [{kind: 'callerGone'}, {kind: 'freed', attempt: first, round: 1}, {kind: 'freed', attempt: first, round: 1}],
		effects: ['finish', 'abort', 'cancel', 'release'],
	},
	{
		name: 'continues on another engine when the engine is unreachable',
		events: [{
			kind: 'failed', attempt: first, call: 'decode', fault: {kind: 'unreachable', detail: 'refused'},
		}],
		effects: ['abort', 'cancel', 'place'],
	},
];

const lost = {kind: 'lost', detail: 'reset'} as const;

const earlyCases: readonly Case[] = [
	{
		name: 'cancels again when the response to the reserve arrives after the first cancel',
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
		name: 'cancels when the response to the reserve was lost',
		events: [...eventsUntilDecoding.slice(0, 2), {
			kind: 'failed', attempt: first, call: 'reserve', fault: lost,
		}],
		effects: ['place', 'reserve', 'abort', 'cancel', 'place'],
	},
	{
		name: 'releases the placement immediately when the engine was full',
		events: [...eventsUntilDecoding.slice(0, 2), {
			kind: 'failed', attempt: first, call: 'reserve', fault: {kind: 'full', freePieces: 0},
		}],
		effects: ['place', 'reserve', 'abort', 'release', 'place'],
	},
	{
		name: 'releases a placement granted after the caller disconnected, once',
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

const stepAll = (machine: RequestStateMachine, events: readonly RequestEvent[]) => {
	const clock = new ManualClock();
	return events.flatMap(event => machine.step(event, clock.now()));
};

describe('RequestLife while decoding', () => {
	test.each(cases)('$name', ({events, effects}) => {
		const machine = createMachine();
		stepAll(machine, eventsUntilDecoding);
		expect(machine.state).toBe('decoding');
		expect(stepAll(machine, events).map(effect => effect.kind)).toEqual(effects);
	});
});

describe('RequestLife', () => {
	test.each(earlyCases)('$name', ({events, effects}) => {
		expect(stepAll(createMachine(), events).map(effect => effect.kind)).toEqual(effects);
	});

	test('continues on another engine from prompt and sent tokens, and excludes only the engine at fault', () => {
		const machine = createMachine();
		const effects = stepAll(machine, [
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

	test('a failed prefill excludes only the prefill engine, and is never reported as not run', () => {
		const machine = createMachine();
		const failed: RequestEvent = {
			kind: 'failed', attempt: first, call: 'prefill', fault: lost,
		};
		const effects = stepAll(machine, [...eventsUntilDecoding.slice(0, 3), failed, {kind: 'refused', attempt: second, error: routerError('overloaded')}]);
		expect(effects.find(effect => effect.kind === 'place' && effect.attempt === second)).toMatchObject({excluded: ['p1']});
		expect(effects.find(effect => effect.kind === 'finish')).toMatchObject({outcome: {kind: 'failed', error: {kind: 'answerLost'}}});
	});
});
