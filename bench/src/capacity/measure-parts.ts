/** Measures the slopes of the core parts in this process. */
import {Buffer} from 'node:buffer';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {
	ControlState,
	createSeededRandom,
	EnginePool,
	ForecastPolicy,
	LeasedLimiter,
	QuotaAllocators,
	Membership,
	parseCatalogue,
	StaticShareMap,
	toHold,
	toId,
} from '@baobabpier/core';
import type {
	AttemptNumber,
	ClaimKey,
	ControlCommand,
	DataCentreId,
	EngineId,
	EngineReport,
	HeldPlacement,
	EngineIncarnation,
	Instant,
	InstanceId,
	LogIndex,
	LogTime,
	MemberRow,
	ServiceQuotaRequest,
	ServiceQuotaGrant,
	RequestId,
	Revision,
	ServiceName,
} from '@baobabpier/core';
import {stringify} from 'smol-toml';
import {measureCost} from '../policy/cost.js';
import {replay} from '../policy/run.js';
import {createScenario} from '../policy/scenarios.js';
import {generateTrace} from '../workload/generate.js';
import type {Slopes} from './slopes.js';
import {target} from './target.js';

const microsecondsPerMillisecond = 1000;
const places = 500;
const rowCounts = [100, 1000] as const;
const entryCounts = [100, 1000] as const;
const recordCounts = [1000, 21_000] as const;
const rounds = 50;

const collect = (): number => {
	(globalThis as {gc?: () => void}).gc?.();
	return process.memoryUsage().heapUsed;
};

const bytesOf = (value: unknown): number => Buffer.byteLength(JSON.stringify(value));

/** Mean microseconds of one run. */
const timeOf = (run: () => void): number => {
	run();
	const startedAt = performance.now();
	for (let round = 0; round < rounds; round++) {
		run();
	}

	return ((performance.now() - startedAt) * microsecondsPerMillisecond) / rounds;
};

const holdOf = (index: number) => toHold(toId<RequestId>(`b7f0c1d2-0000-4000-8000-${String(index).padStart(12, '0')}`), toId<AttemptNumber>(1));

const instanceOf = (index: number): InstanceId => toId<InstanceId>(`sel-tengah-a-${index}`);

const createPool = (): EnginePool => new EnginePool(instanceOf(1), new ForecastPolicy({betweenOutputsMs: 30}), {queue: 1000}, {leaseMs: 5000, orphanTimeoutMs: 6000});

const measurePlaces = (): Pick<Slopes, 'renewedPlaceBytes' | 'renewedPlaceMicroseconds' | 'reportBytes' | 'reportedHoldBytes' | 'reportedHoldMicroseconds' | 'checkedGrantMicroseconds'> => {
	const engine = toId<EngineId>('lm-drafting-d11');
	const held: HeldPlacement[] = Array.from({length: places}, (_, index) => ({...holdOf(index), decode: {id: engine, address: '10.20.30.40:8000'}, pieces: 8}));
	const pool = createPool();
	pool.step({
		kind: 'engines',
		engines: [{
			id: engine, address: '10.20.30.40:8000', dataCentre: toId<DataCentreId>('sel-tengah-a'), role: 'decode', pieces: 1e6, fencesOrders: false,
		}],
		leaving: new Set(),
	}, 0 as Instant);
	const report: EngineReport = {
		engine,
		incarnation: toId<EngineIncarnation>('b7f0c1d2-0000-4000-8000-000000000000'),
		role: 'decode',
		pieces: 1e6,
		freePieces: 0,
		queuedTokens: 0,
		running: places,
		held: held.map(({requestId, attempt}) => ({
			requestId, attempt, pieces: 8, holder: instanceOf(1),
		})),
	};
	const renewal = JSON.stringify(held);
	const reportText = JSON.stringify(report);
	const renewMicroseconds = timeOf(() => {
		pool.step({kind: 'renew', holder: instanceOf(1), places: JSON.parse(renewal) as HeldPlacement[]}, 0 as Instant);
	});
	const reportMicroseconds = timeOf(() => {
		pool.step({kind: 'report', report: JSON.parse(reportText) as EngineReport}, 0 as Instant);
	});
	const tickMicroseconds = timeOf(() => {
		pool.step({kind: 'tick'}, 1 as Instant);
	});
	return {
		renewedPlaceBytes: bytesOf(held) / places,
		renewedPlaceMicroseconds: renewMicroseconds / places,
		reportBytes: bytesOf({...report, held: []}),
		reportedHoldBytes: bytesOf(report.held) / places,
		reportedHoldMicroseconds: reportMicroseconds / places,
		checkedGrantMicroseconds: tickMicroseconds / places,
	};
};

const measureMembership = (): Pick<Slopes, 'memberRowBytes' | 'memberRowMicroseconds'> => {
	const [few, many] = rowCounts.map(count => {
		const rows: MemberRow[] = Array.from({length: count}, (_, index) => ({
			id: instanceOf(index), dataCentre: toId<DataCentreId>('sel-tengah-a'), incarnation: 3, beat: 1, listFresh: true, marks: [],
		}));
		const membership = new Membership({id: instanceOf(0), dataCentre: toId<DataCentreId>('sel-tengah-a'), incarnation: 3}, {suspectTimeoutMs: 5000, deadTimeoutMs: 10_000, staleGraceMs: 30_000}, 0 as Instant);
		let beat = 1;
		return {
			bytes: bytesOf(rows),
			microseconds: timeOf(() => {
				beat += 1;
				const text = JSON.stringify(rows.map(row => ({...row, beat})));
				membership.step({kind: 'rows', rows: JSON.parse(text) as MemberRow[]}, 0 as Instant);
			}),
		};
	}) as [{bytes: number; microseconds: number}, {bytes: number; microseconds: number}];
	const rows = rowCounts[1] - rowCounts[0];
	return {memberRowBytes: (many.bytes - few.bytes) / rows, memberRowMicroseconds: (many.microseconds - few.microseconds) / rows};
};

const catalogueText = (entries: number): string => stringify({
	services: Object.fromEntries(Array.from({length: entries}, (_, index) => [`team-${index}`, {
		kind: 'plain',
		owner: `owner-${index}`,
		class: 'urgent',
		idempotent: ['POST /availability'],
		limits: {inFlight: 50, requestsPerSecond: 100},
		backends: [1, 2].map(number => ({id: `backend-${index}-${number}`, address: `10.0.${number}.1:${8000 + index}`, dataCentre: 'sel-tengah-a'})),
	}])),
});

const measureCatalogue = (): Pick<Slopes, 'catalogueEntryBytes' | 'catalogueEntryParseMicroseconds' | 'catalogueEntryHeapBytes'> => {
	const [few, many] = entryCounts.map(count => {
		const text = catalogueText(count);
		const before = collect();
		const kept = parseCatalogue(text, toId<Revision>(1));
		const after = collect();
		if (!kept.ok) {
			throw new Error(`the measured catalogue has faults: ${JSON.stringify(kept.val[0])}`);
		}

		return {
			bytes: Buffer.byteLength(text), heap: after - before, microseconds: timeOf(() => {
				parseCatalogue(text, toId<Revision>(1));
			}),
		};
	}) as [Record<'bytes' | 'heap' | 'microseconds', number>, Record<'bytes' | 'heap' | 'microseconds', number>];
	const entries = entryCounts[1] - entryCounts[0];
	return {
		catalogueEntryBytes: (many.bytes - few.bytes) / entries,
		catalogueEntryParseMicroseconds: (many.microseconds - few.microseconds) / entries,
		catalogueEntryHeapBytes: (many.heap - few.heap) / entries,
	};
};

const measureLimits = (): Pick<Slopes, 'limitAskBytes' | 'limitAskMicroseconds' | 'shareChoiceMicrosecondsPerInstance'> => {
	const [few, many] = rowCounts.map(count => {
		const dataCentre = toId<DataCentreId>('sel-tengah-a');
		const catalogue = parseCatalogue(catalogueText(count), toId<Revision>(1)).unwrap();
		const instances = [{id: instanceOf(0), dataCentre}];
		const owners = new QuotaAllocators(new StaticShareMap(instanceOf(0), instances), instances, 5000);
		const limiter = new LeasedLimiter({holder: instanceOf(1), incarnation: 3, leaseMs: 4000}, createSeededRandom(1));
		const askAll = (): {asks: readonly ServiceQuotaRequest[]; grants: readonly ServiceQuotaGrant[]} => {
			const asks = [...catalogue.services.keys()].flatMap(service => limiter.createRequests(service, dataCentre, 0 as Instant));
			return {asks, grants: owners.handleRequests(dataCentre, structuredClone(asks), catalogue, 0 as Instant)};
		};

		return {bytes: bytesOf(askAll()), microseconds: timeOf(askAll)};
	}) as [Record<'bytes' | 'microseconds', number>, Record<'bytes' | 'microseconds', number>];
	const [small, large] = rowCounts.map(count => {
		const instances = Array.from({length: count}, (_, index) => ({id: instanceOf(index), dataCentre: toId<DataCentreId>(`data-centre-${index % target.dataCentres}`)}));
		const shares = new StaticShareMap(instanceOf(0), instances);
		return timeOf(() => {
			shares.find({kind: 'engines', service: toId<ServiceName>('lm-drafting'), dataCentre: toId<DataCentreId>('data-centre-3')});
		});
	}) as [number, number];
	const rows = rowCounts[1] - rowCounts[0];
	return {
		limitAskBytes: (many.bytes - few.bytes) / rows, limitAskMicroseconds: (many.microseconds - few.microseconds) / rows, shareChoiceMicrosecondsPerInstance: (large - small) / rows,
	};
};

const claimCommands = (index: number): [ControlCommand, ControlCommand] => {
	const key = toId<ClaimKey>(`hire-desk/key-${index}`);
	const {requestId} = holdOf(index);
	return [
		{
			kind: 'claim.open', req: {
				key, requestId, claimant: instanceOf(1), fingerprint: '0f'.repeat(32),
			},
		},
		{
			kind: 'claim.settle', key, requestId, outcome: {
				kind: 'answered',
				answer: {status: 200, headers: [['content-type', 'application/json']], body: Buffer.from('{"booked":true}').toString('base64')},
			},
		},
	];
};

const measureClaims = (): Pick<Slopes, 'claimLogBytes' | 'claimRecordHeapBytes' | 'applyMicroseconds' | 'applyMicrosecondsPerRecord'> => {
	const state = new ControlState({retentionMs: 86_400_000, maxRecords: 1e6});
	let index = 0;
	const addClaim = (): void => {
		for (const command of claimCommands(index)) {
			state.apply({index: toId<LogIndex>((index * 2) + 1), at: toId<LogTime>(1), command});
		}

		index += 1;
	};

	const before = collect();
	const samples = recordCounts.map(count => {
		for (let added = index; added < count; added++) {
			addClaim();
		}

		return timeOf(addClaim) / 2;
	});
	const heap = collect() - before;
	return {
		claimLogBytes: claimCommands(0).map(command => bytesOf({index: 1_000_000, at: 1_700_000_000_000, command})).reduce((left, right) => left + right, 0),
		claimRecordHeapBytes: heap / index,
		applyMicroseconds: samples[0]!,
		applyMicrosecondsPerRecord: Math.max(0, (samples[1]! - samples[0]!) / (recordCounts[1] - recordCounts[0])),
	};
};

const measurePlacement = (): Pick<Slopes, 'placementMicroseconds' | 'placementMicrosecondsPerTenfold' | 'trackedEngineBytes' | 'grantedRequestBytes'> => {
	const cost = measureCost();
	const [first] = cost;
	const last = cost.at(-1)!;
	return {
		placementMicroseconds: first!.microsecondsPerRequest,
		placementMicrosecondsPerTenfold: Math.max(0, (last.microsecondsPerRequest - first!.microsecondsPerRequest) / Math.log10(last.engines / first!.engines)),
		trackedEngineBytes: last.bytesPerEngine,
		grantedRequestBytes: last.bytesPerRequest,
	};
};

const measureLatency = (): Pick<Slopes, 'seriKenangaFirstOutputP95Ms' | 'seriKenangaBetweenOutputsP95Ms' | 'himaliFirstOutputP95Ms' | 'himaliBetweenOutputsP95Ms'> => {
	const [seriKenanga, himali] = (['seri-kenanga', 'himali'] as const).map(name => replay(generateTrace(createScenario(name, 'load 90').plan), 'forecast').all);
	return {
		seriKenangaFirstOutputP95Ms: seriKenanga!.firstOutputMs.p95,
		seriKenangaBetweenOutputsP95Ms: seriKenanga!.betweenOutputsMs.p95,
		himaliFirstOutputP95Ms: himali!.firstOutputMs.p95,
		himaliBetweenOutputsP95Ms: himali!.betweenOutputsMs.p95,
	};
};

/** Measures everything that needs no socket. Run with `node --expose-gc`. */
export const measureParts = (): Omit<Slopes, 'outputTokenMicroseconds' | 'requestMicroseconds' | 'rpcCallBytes' | 'rpcCallMicroseconds'> => ({
	...measurePlacement(), ...measurePlaces(), ...measureMembership(), ...measureLimits(), ...measureCatalogue(), ...measureClaims(), ...measureLatency(),
});
