import {describe, expect, test} from 'vitest';
import type {SimulationOptions} from './simulation.js';
import {findViolation} from './run-histories.js';
import type {
	EngineIndex, PlacementPolicy, PlacementRequest, RequestEffect, RequestEvent, RequestStateMachine,
} from '@baobabpier/core';
import {routerError} from '@baobabpier/core';

const runs = 12_000;
const noReclaim = {leaseMs: Number.POSITIVE_INFINITY, orphanTimeoutMs: Number.POSITIVE_INFINITY};

const acceptOutOfOrder = (event: RequestEvent, stateMachine: RequestStateMachine): RequestEvent => {
	if (event.kind !== 'chunk' || event.chunk.kind !== 'tokens') {
		return event;
	}

	const sentBefore = Number(event.chunk.texts[0]?.split(':')[0]) - event.chunk.seq;
	return {...event, chunk: {...event.chunk, seq: stateMachine.outputTokens - sentBefore}};
};

const acceptEarlyEnd = (event: RequestEvent, stateMachine: RequestStateMachine): RequestEvent =>
	event.kind === 'chunk' && event.chunk.kind === 'end' && event.attempt === 1 ? {...event, chunk: {...event.chunk, seq: stateMachine.outputTokens}} : event;

const finishOnAttemptFailure = (effects: readonly RequestEffect[]): readonly RequestEffect[] => effects.some(({kind}) => kind === 'place') && effects.some(({kind}) => kind === 'abort')
	? [{kind: 'finish', outcome: {kind: 'failed', error: routerError('answerLost'), outputTokens: 0}}, ...effects]
	: effects;

const reportAsNotRun = (effects: readonly RequestEffect[]): readonly RequestEffect[] => effects.map(effect => effect.kind === 'finish' && effect.outcome.kind === 'failed'
	? {...effect, outcome: {...effect.outcome, error: routerError('noBackend')}}
	: effect);

const overcommittingPolicy: PlacementPolicy = {
	name: 'blind',
	decide(req: PlacementRequest, engines: EngineIndex) {
		const [decode] = engines.byLoad('decode');
		const [prefill] = engines.byLoad('prefill');
		return {kind: 'reserve', decode: decode!, prefill: prefill!};
	},
};

const cases: ReadonlyArray<{readonly name: string; readonly options: SimulationOptions; readonly code: string}> = [
	{name: 'chunks are forwarded in order of arrival', options: {mutateEvent: acceptOutOfOrder}, code: 'GAP_OR_REPEAT'},
	{name: 'an end chunk is accepted before all tokens arrived', options: {mutateEvent: acceptEarlyEnd}, code: 'INCOMPLETE'},
	{name: 'the failure of an attempt is reported as an outcome', options: {mutateEffects: finishOnAttemptFailure}, code: 'TWO_OUTCOMES'},
	{name: 'a failure after the prefill is reported as not run', options: {mutateEffects: reportAsNotRun}, code: 'RAN'},
	{name: 'no cancel is sent and nothing is reclaimed', options: {isCancelSkipped: () => true, timings: noReclaim}, code: 'HELD'},
	{name: 'leases do not expire', options: {timings: {leaseMs: Number.POSITIVE_INFINITY}}, code: 'GRANTS'},
	{name: 'memory without a grant in the pool is not reclaimed', options: {timings: {orphanTimeoutMs: Number.POSITIVE_INFINITY}}, code: 'HELD'},
	{name: 'the policy ignores free pieces', options: {policy: overcommittingPolicy}, code: 'OVERCOMMITTED'},
	{name: 'a new owner does not wait for the existing holders', options: {timings: {adoptionGraceMs: undefined}}, code: 'TAKEN'},
];

describe('checks of the generated histories fail when', () => {
	test.each(cases)('$name', ({options, code}) => {
		expect(findViolation(11, runs, {...options, endsOnFailure: true})).toBe(code);
	});
});
