import {expect, test} from 'vitest';
import {addMs, toId} from '@baobabpier/core';
import type {EngineId, InstanceId, ServiceName} from '@baobabpier/core';
import {CallScope} from '../../gateway/call-scope.js';
import {StreamPlacements} from '../../gateway/stream-placements.js';
import type {StreamPlacementRequest, StreamPlacementsParts} from '../../gateway/stream-placements.js';
import {monotonicClock} from '../../monotonic-clock.js';

const service = toId<ServiceName>('lm');
const remainingMs = 5000;

/** Resolves when the signal aborts, as a request does that waits at the owner. */
const aborted = async (signal: AbortSignal): Promise<void> => new Promise(resolve => {
	signal.addEventListener('abort', () => {
		resolve();
	}, {once: true});
});

const refused = {kind: 'refused', error: {kind: 'noBackend'}} as const;

/** Placements whose owner and own pool let every request wait. */
const setUp = (owner: InstanceId | undefined) => {
	let unavailableForMs = 0;
	const asked: string[] = [];
	const placements = new StreamPlacements({
		clock: monotonicClock, owner: () => owner, outputPart: 0.3, unavailableForMs: () => unavailableForMs, usableEngines: () => new Set<EngineId>(), tokensPerEvent: () => 1,
		modelService: () => ({name: service, engines: []}),
		// The owner answers pings
		peers: {get: () => ({call: async () => ({})})},
		client: {
			async place(_service: unknown, _params: unknown, signal: AbortSignal) {
				asked.push('owner');
				await aborted(signal);
				return {response: refused, pool: undefined};
			},
		},
		localPool: {
			async place(_params: unknown, signal: AbortSignal) {
				asked.push('own pool');
				await aborted(signal);
				return refused;
			},
		},
	} as unknown as StreamPlacementsParts);
	const scope = new CallScope(monotonicClock, addMs(monotonicClock.now(), remainingMs));
	const request = {
		call: {
			requestId: 'r1', promptTokens: 100, maxTokens: 50, arrivedAt: monotonicClock.now(), route: {targetLatencyMs: 900, targetGapMs: 300, priority: 1},
		}, service, round: 1, excluded: new Set(), avoided: [], scope,
	} as unknown as StreamPlacementRequest;
	return {
		placements, request, asked, scope, makeUnavailable() {
			unavailableForMs = 2000;
			placements.handleAvailabilityChange();
		},
	};
};

test.each([
	{name: 'the owner', owner: toId<InstanceId>('c1'), waits: ['owner']},
	{name: 'its own pool', owner: undefined, waits: ['own pool']},
])('a call that waits at $name is refused when every engine leaves or asks for time, and later ones at once', async ({owner, waits}) => {
	const {placements, request, asked, scope, makeUnavailable} = setUp(owner);
	const waiting = placements.place(request);
	await expect.poll(() => asked).toEqual(waits);
	makeUnavailable();
	expect(await waiting).toMatchObject({kind: 'refused', error: {kind: 'noBackend'}});
	expect(await placements.place(request)).toMatchObject({kind: 'refused', error: {kind: 'noBackend', detail: 'every engine leaves, asks for time or has used up its limit'}});
	expect(asked).toEqual(waits);
	expect(scope.remainingMs()).toBeGreaterThan(0);
	placements.stop();
	scope.end('callerGone');
});
