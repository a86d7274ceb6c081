/** Hedged attempts of plain calls, against servers that a fake transport plays. */
import {setTimeout as sleep} from 'node:timers/promises';
import {expect, test} from 'vitest';
import {HedgingPolicy, toId} from '@baobabpier/core';
import type {
	BackendId, DataCentreId, Instant, ListedServer, ServiceName,
} from '@baobabpier/core';
import {CallScope} from '../../gateway/call-scope.js';
import {FleetView} from '../../gateway/fleet-view.js';
import {PlainRoute} from '../../gateway/plain-route.js';
import type {PlainRouteParts} from '../../gateway/plain-route.js';
import type {Call} from '../../gateway/types.js';

type Behaviour = 'answer' | 'error' | 'full' | 'silent' | 'slow';

const service = toId<ServiceName>('desk');
const dataCentre = toId<DataCentreId>('a');
/** The list's first server is chosen among equals. */
const first = {next: () => 0};
const slowMs = 120;
const deadlineMs = 1500;

const createRoute = (behaviours: readonly Behaviour[], {acquires = () => true, maxFraction = 1}: {acquires?: () => boolean; maxFraction?: number} = {}) => {
	let offsetMs = 0;
	const clock = {now: () => (performance.now() + offsetMs) as Instant};
	const fleet = new FleetView(clock);
	fleet.replace(behaviours.map((_, index) => ({
		id: toId<BackendId>(`b${index}`), address: `b${index}`, service, dataCentre, slots: 8, leaving: false,
	}) as unknown as ListedServer));
	const sent: string[] = [];
	const transport = {
		async sendRequest({server, signal}: {server: string; signal: AbortSignal}) {
			sent.push(server);
			const behaviour = behaviours[Number(server.slice(1))]!;
			try {
				await sleep(behaviour === 'silent' ? 60_000 : (behaviour === 'slow' ? slowMs : 2), undefined, {signal});
			} catch {
				return {kind: 'broken', detail: 'ended'};
			}

			return {kind: 'head', status: behaviour === 'error' ? 500 : (behaviour === 'full' ? 503 : 200), rawHeaders: []};
		},
		readBody: async () => new Uint8Array(),
	};
	const dialect = {
		sendHeaders: () => [],
		readHead: (status: number) => ({
			status, isAuthentic: true, isNotExecuted: status === 503, isMisdirected: false, isEncoded: false, load: undefined,
		}),
	};
	const guard = {
		register: () => () => undefined, admit: async () => ({kind: 'clear'}), endTrial() {/* None */}, recordComplete() {/* None */}, recordBroken() {/* None */},
	};
	const hedging = new HedgingPolicy({maxFraction, deviations: 3}, {next: () => 0});
	for (let count = 0; count < 20; count++) {
		hedging.recordResponse(service, 30);
	}

	const route = new PlainRoute({
		dataCentre, fleet, transport, dialect, guard, clock, hedging, random: first, path: {recordFailure() {/* None */}}, retryBudgets: {recordCall() {/* None */}, tryAcquire: acquires},
	} as unknown as PlainRouteParts);
	const serve = async (kind = 'safe', maxAttempts = 4): Promise<number | string> => {
		const call = {
			requestId: 'r1', sharedSegments: [], method: 'GET', target: '/', arrivedAt: clock.now(), route: {
				kind, maxAttempts, targetLatencyMs: 100, priority: 0,
			},
		} as unknown as Call;
		const scope = new CallScope(clock, (clock.now() + deadlineMs) as Instant);
		const reply = await route.serve(call, service, scope);
		scope.end('callerGone');
		return reply.kind === 'relay' ? reply.head.status : reply.kind;
	};

	return {
		fleet, hedging, sent, serve, advance(ms: number) {
			offsetMs += ms;
		},
	};
};

// Guards against calls that are sent twice without leave, and hedged attempts beyond the route's attempts
test.each<{name: string; kind?: string; maxAttempts?: number; maxFraction?: number; acquires?: () => boolean; sent: number}>([
	{name: 'a safe call is sent to one more server', sent: 2},
	{name: 'a call that may not be repeated is sent once', kind: 'unsafe', sent: 1},
	{name: 'a route with one attempt sends once', maxAttempts: 1, sent: 1},
	{name: 'without credit a call is sent once', maxFraction: 0, sent: 1},
	{name: 'without a retry budget a call is sent once', acquires: () => false, sent: 1},
])('$name', async ({kind, maxAttempts, maxFraction, acquires, sent}) => {
	const router = createRoute(['slow', 'answer', 'answer'], {acquires, maxFraction});
	expect(await router.serve(kind, maxAttempts)).toBe(200);
	expect(router.sent).toHaveLength(sent);
	expect(router.hedging.begun).toBe(sent - 1);
});

// Guards against a refused hedged attempt that also cancels the later attempt of a silent server
test('a call whose hedged attempt the retry budget refuses still gets another server after a silence', async () => {
	let asked = 0;
	const router = createRoute(['silent', 'answer'], {acquires: () => ++asked > 1});
	expect(await router.serve()).toBe(200);
});

// Guards against extra work beyond the operator's limit: the credit is for one attempt
test.each<{behaviour: Behaviour}>([{behaviour: 'full'}, {behaviour: 'error'}])('a hedged attempt that gets $behaviour is not followed by others while the first goes on', async ({behaviour}) => {
	const router = createRoute(['slow', behaviour, behaviour, behaviour]);
	expect(await router.serve()).toBe(200);
	expect(router.sent.length - 1).toBe(router.hedging.begun);
});

// Guards against a server that never answers and keeps its share of calls
test('a server whose calls all need a hedged attempt gets fewer calls', async () => {
	const router = createRoute(['silent', 'answer', 'answer']);
	for (let count = 0; count < 8; count++) {
		// Calls come one after another
		// eslint-disable-next-line no-await-in-loop
		await router.serve();
		// The superseded attempt ends after the reply
		// eslint-disable-next-line no-await-in-loop
		await sleep(5);
	}

	expect(router.sent.filter(server => server === 'b0').length).toBeLessThan(8);
});

// Guards against a load report that is counted although it is outdated
test('an outdated report of a full server does not prevent a hedged attempt', async () => {
	const router = createRoute(['slow', 'answer']);
	router.fleet.begin(toId<BackendId>('b1'))('none', {load: 12});
	router.advance(10_000);
	await router.serve();
	expect(router.sent).toEqual(['b0', 'b1']);
});
