/** A pool with the forecast policy, its engines and its requests, for tests that replay loads. */
import {
	EnginePool, ForecastPolicy, toHold, toId,
} from '@baobabpier/core';
import type {
	AttemptNumber, DataCentreId, EngineEntry, EngineId, Instant, InstanceId, PlacementRequest, RequestId, ServiceName,
} from '@baobabpier/core';

export const at = (ms: number): Instant => ms as Instant;
/** Tokens in one memory piece. */
export const pieceTokens = 16;
/** Memory pieces of each engine. */
export const enginePieces = 6000;

export const createEntry = (id: string, role: EngineEntry['role']): EngineEntry => ({
	id: toId<EngineId>(id), address: id, dataCentre: toId<DataCentreId>('a'), role, pieces: enginePieces, fencesOrders: true,
});

export const createRequest = (id: string, change: Partial<PlacementRequest> = {}): PlacementRequest => ({
	...toHold(toId<RequestId>(id), toId<AttemptNumber>(1)), service: toId<ServiceName>('lm'), class: 'patient', holder: toId<InstanceId>('i1'), promptTokens: 5000, maxTokens: 6500, pieces: 400, prefix: '', deadline: at(60_000), steadyGapMs: 300, excluded: [], ...change,
});

/** Creates a pool whose leases don't expire; without `learnsSizes`, streams count with the memory that they request. */
export const createPool = (engines: readonly EngineEntry[], learnsSizes = true): EnginePool => {
	const pool = new EnginePool(toId<InstanceId>('i1'), new ForecastPolicy({betweenOutputsMs: 150}, {
		links: 'ample', prefill: {tokensPerMs: 50, latencyMs: 10}, direct: {tokensPerMs: 25, latencyMs: 10}, memory: learnsSizes ? {pieceTokens, expectedOutputFraction: 0.3} : undefined,
	}), {queue: 500}, {leaseMs: 1e9, orphanTimeoutMs: 1e9});
	pool.step({kind: 'engines', engines, leaving: new Set()}, at(0));
	return pool;
};
