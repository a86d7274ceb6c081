import {
	ForecastPolicy, StaticShareMap, toId,
} from '@baobabpier/core';
import type {
	AttemptNumber, CatalogueSnapshot, DataCentreId, EngineEntry, EngineId, EngineIncarnation, InstanceId, ModelService, OwnerName, PlaceResponse, RequestId, Revision, ServiceName,
} from '@baobabpier/core';
import {afterEach, expect, test} from 'vitest';
import {monotonicClock} from '../../monotonic-clock.js';
import {PoolHost} from '../../pools/pool-host.js';

const self = toId<InstanceId>('owner');
const dataCentre = toId<DataCentreId>('all');
const service = toId<ServiceName>('lm');
/** Longer than two rounds of reports. */
const roundsMs = 1200;

const engine = (id: string, role: EngineEntry['role']): EngineEntry => ({
	id: toId<EngineId>(id), address: id, dataCentre, role, pieces: 1000, fencesOrders: true,
});

const catalogueOf = (engines: readonly EngineEntry[]): CatalogueSnapshot => {
	const model: ModelService = {
		kind: 'model',
		name: service,
		owner: toId<OwnerName>('o'),
		class: 'patient',
		limits: {
			inFlight: 100, requestsPerSecond: 100, tokensPerSecond: 1_000_000, queue: 100, queueMs: 1000, bodyBytes: 1000, totalMs: 10_000,
		},
		targets: {firstOutputMs: 150, betweenOutputsMs: 150},
		pieceTokens: 16,
		engines,
	};
	return {revision: toId<Revision>(1), services: new Map([[service, model]]), text: ''};
};

let hosts: PoolHost[] = [];

type Fleet = {
	readonly engines: readonly EngineEntry[];
	readonly silent: ReadonlySet<string>;
	readonly mayGrant?: () => boolean;
};

const startHost = ({engines, silent, mayGrant}: Fleet): PoolHost => {
	const host = new PoolHost({
		self,
		clock: monotonicClock,
		shares: new StaticShareMap(self, [{id: self, dataCentre}]),
		createPolicy: targets => new ForecastPolicy(targets, {links: 'ample', prefill: {tokensPerMs: 45, latencyMs: 120}}),
		engines: {
			fetchReport: async ({id, role, pieces}) => silent.has(id)
				? 'unreachable'
				: {
					engine: id, incarnation: toId<EngineIncarnation>('1'), role, pieces, freePieces: pieces, queuedTokens: 0, running: 0, held: [],
				},
			cancel: async () => undefined,
		},
		...(mayGrant === undefined ? {} : {mayGrant}),
		timings: {leaseMs: 4000, orphanTimeoutMs: 6000},
	});
	host.applyCatalogue(catalogueOf(engines));
	host.start();
	hosts.push(host);
	return host;
};

let asked = 0;

const place = async (host: PoolHost): Promise<PlaceResponse> => {
	asked += 1;
	return host.place({
		requestId: toId<RequestId>(`r${asked}`), attempt: toId<AttemptNumber>(1), service, dataCentre, class: 'patient', holder: self, promptTokens: 100, maxTokens: 10, pieces: 7, prefix: '', waitMs: 1000, firstOutputMs: 900, excluded: [],
	}, new AbortController().signal);
};

const decodeOf = (answer: PlaceResponse): string => answer.kind === 'placed' ? answer.placement.decode.id : answer.error.kind;

const sleep = async (ms: number): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, ms);
});

afterEach(() => {
	for (const host of hosts) {
		host.stop();
	}

	hosts = [];
});

const engines = [engine('p1', 'prefill'), engine('p2', 'prefill'), engine('d1', 'decode'), engine('d2', 'decode')];

test('an engine that does not answer gets no work, and gets some again soon after it answers', async () => {
	const silent = new Set(['d1']);
	const host = startHost({engines, silent});
	await sleep(roundsMs);
	expect(new Set(await Promise.all(Array.from({length: 6}, async () => decodeOf(await place(host)))))).toEqual(new Set(['d2']));
	silent.clear();
	await sleep(roundsMs);
	expect(await Promise.all(Array.from({length: 6}, async () => decodeOf(await place(host))))).toContain('d1');
});

test('an owner to which most engines are silent goes by its lists', async () => {
	const host = startHost({engines, silent: new Set(engines.map(({id}) => id))});
	await sleep(roundsMs);
	expect(['d1', 'd2']).toContain(decodeOf(await place(host)));
});

test.each([
	{name: 'gets a place once a new owner may give some', settlesAfterMs: 200, outcome: /^d[12]$/v},
	{name: 'is sent away when that takes too long', settlesAfterMs: 2000, outcome: /^noBackend$/v},
])('an asker $name', async ({settlesAfterMs, outcome}) => {
	const settlesAt = performance.now() + settlesAfterMs;
	const host = startHost({engines, silent: new Set(), mayGrant: () => performance.now() >= settlesAt});
	expect(decodeOf(await place(host))).toMatch(outcome);
});
