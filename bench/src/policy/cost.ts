/** The cost of a decision against the number of engines, and the memory of engines and requests. */
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {
	EnginePool, ForecastPolicy, toHold, toId,
} from '@baobabpier/core';
import type {
	AttemptNumber, DataCentreId, EngineEntry, EngineId, Instant, InstanceId, RequestId, ServiceName,
} from '@baobabpier/core';

/** The cost at one number of engines. */
export type CostFigures = {
	readonly engines: number;
	/** Engines looked at by one placement, on average. */
	readonly examinedPerPlacement: number;
	/** One placement with the end of its prefill, of its transfer and its release, in microseconds. */
	readonly microsecondsPerRequest: number;
	/** Heap of one tracked engine, in bytes. */
	readonly bytesPerEngine: number;
	/** Heap of one request in flight, in bytes. */
	readonly bytesPerRequest: number;
};

const engineCounts = [8, 80, 800, 10_000] as const;
const requestsPerEngine = 8;
const rounds = 20_000;
const millisecondsBetween = 5;
const microsecondsPerMillisecond = 1000;

const collect = (): number => {
	(globalThis as {gc?: () => void}).gc?.();
	return process.memoryUsage().heapUsed;
};

const createEntry = (index: number): EngineEntry => ({
	id: toId<EngineId>(`engine-${index}`), address: `10.0.0.1:${index}`, dataCentre: toId<DataCentreId>('a'), role: index % 4 === 0 ? 'prefill' : 'decode', pieces: 160, fencesOrders: false,
});

const holdOf = (index: number) => toHold(toId<RequestId>(`request-${index}`), toId<AttemptNumber>(1));

const createRequest = (index: number, now: Instant) => ({
	...holdOf(index),
	service: toId<ServiceName>('lm'),
	class: 'patient' as const,
	holder: toId<InstanceId>('i1'),
	promptTokens: 2000,
	maxTokens: 200,
	pieces: 3,
	prefix: '',
	deadline: (now + 60_000) as Instant,
	excluded: [],
});

class PoolDriver {
	readonly pool = new EnginePool(toId<InstanceId>('i1'), new ForecastPolicy({betweenOutputsMs: 30}), {queue: 1000}, {leaseMs: 5000, orphanTimeoutMs: 6000});
	#now = 0 as Instant;

	constructor(engines: number) {
		this.pool.step({kind: 'engines', engines: Array.from({length: engines}, (_, index) => createEntry(index)), leaving: new Set()}, this.#now);
	}

	place(index: number): void {
		this.#advance();
		this.pool.step({kind: 'place', req: createRequest(index, this.#now)}, this.#now);
		this.pool.step({kind: 'prefillDone', hold: holdOf(index)}, this.#now);
		this.pool.step({kind: 'transferDone', hold: holdOf(index)}, this.#now);
	}

	release(index: number): void {
		this.#advance();
		this.pool.step({kind: 'release', hold: holdOf(index), pace: {betweenMs: 20}}, this.#now);
	}

	#advance(): void {
		this.#now = (this.#now + millisecondsBetween) as Instant;
	}
}

const measureOne = (engines: number): CostFigures => {
	const before = collect();
	const driver = new PoolDriver(engines);
	const withEngines = collect();
	const inFlight = engines * requestsPerEngine;
	for (let index = 0; index < inFlight; index++) {
		driver.place(index);
	}

	const withRequests = collect();
	const examinedBefore = driver.pool.examinedEngines;
	const startedAt = performance.now();
	for (let round = 0; round < rounds; round++) {
		driver.release(round);
		driver.place(inFlight + round);
	}

	const elapsedMs = performance.now() - startedAt;
	return {
		engines,
		examinedPerPlacement: (driver.pool.examinedEngines - examinedBefore) / rounds,
		microsecondsPerRequest: (elapsedMs * microsecondsPerMillisecond) / rounds,
		bytesPerEngine: Math.max(0, (withEngines - before) / engines),
		bytesPerRequest: Math.max(0, (withRequests - withEngines) / inFlight),
	};
};

/** Measures the cost at 8, 80, 800 and 10,000 engines. Memory figures need `node --expose-gc`. */
export const measureCost = (): CostFigures[] => {
	measureOne(engineCounts[0]);
	return engineCounts.map(engines => measureOne(engines));
};

/** The figures as lines of text, with the slope per tenfold engines. */
export const formatCost = (figures: readonly CostFigures[]): string[] => {
	const [first] = figures;
	const last = figures.at(-1);
	const tenfolds = Math.log10(last!.engines / first!.engines);
	return [
		'engines  examined/placement  µs/request  bytes/engine  bytes/request',
		...figures.map(({engines, examinedPerPlacement, microsecondsPerRequest, bytesPerEngine, bytesPerRequest}) => [
			String(engines).padStart(7),
			examinedPerPlacement.toFixed(1).padStart(18),
			microsecondsPerRequest.toFixed(1).padStart(10),
			bytesPerEngine.toFixed(0).padStart(12),
			bytesPerRequest.toFixed(0).padStart(13),
		].join('  ')),
		`slope: ${((last!.microsecondsPerRequest - first!.microsecondsPerRequest) / tenfolds).toFixed(2)} µs for each tenfold number of engines`,
	];
};
