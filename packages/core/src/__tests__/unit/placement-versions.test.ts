/** Placement on engines of several software versions: one stream is read and decoded at one of them. */
import {describe, expect, test} from 'vitest';
import {
	at, createEntry, createPool, createRequest, enginePieces,
} from './forecast-pool.js';
import {softwareVersionOf, toId} from '@baobabpier/core';
import type {
	EngineEntry, EnginePool, EngineId, PlacementRequest, PoolEffect, SoftwareVersion,
} from '@baobabpier/core';

const version = (text: string): SoftwareVersion => toId<SoftwareVersion>(text);
const entry = (id: string, role: EngineEntry['role'], softwareVersion: string): EngineEntry => ({...createEntry(id, role), softwareVersion: version(softwareVersion)});
const both = [entry('p1', 'prefill', 'v1'), entry('d1', 'decode', 'v1'), entry('p2', 'prefill', 'v2'), entry('d2', 'decode', 'v2')];

const place = (pool: EnginePool, id: string, change: Partial<PlacementRequest> = {}): readonly PoolEffect[] => pool.step({kind: 'place', req: createRequest(id, change)}, at(0));

const versionsOf = (effects: readonly PoolEffect[], engines: readonly EngineEntry[]): ReadonlyArray<readonly [string, string]> => effects.flatMap(effect => {
	const find = (id: EngineId): string => softwareVersionOf(engines.find(engine => engine.id === id)!);
	return effect.kind === 'placed' ? [[find(effect.placement.prefill.id), find(effect.placement.decode.id)] as const] : [];
});

describe('a pool of two software versions', () => {
	test.each([
		{
			name: 'a new stream is read and decoded at one version', engines: both, change: {}, placed: [['v1', 'v1']],
		},
		{
			name: 'a stream that has begun goes on at its version', engines: both, change: {softwareVersion: version('v2')}, placed: [['v2', 'v2']],
		},
		{
			name: 'a broken one too', engines: both, change: {softwareVersion: version('v2'), readsDirectly: true}, placed: [['v2', 'v2']],
		},
		{
			name: 'a version without a prefill engine reads at its decode engine', engines: both.filter(({id}) => id !== 'p2'), change: {softwareVersion: version('v2')}, placed: [['v2', 'v2']],
		},
		{
			name: 'a new stream prefers the version that has both', engines: both.filter(({id}) => id !== 'p1'), change: {}, placed: [['v2', 'v2']],
		},
		{
			name: 'a prefill engine of another version reads for no stream', engines: both.filter(({id}) => id !== 'd1' && id !== 'p2'), change: {}, placed: [['v2', 'v2']],
		},
		{
			name: 'engines without a stated version count as one', engines: [createEntry('p', 'prefill'), createEntry('d', 'decode')], change: {}, placed: [['', '']],
		},
	])('$name', ({engines, change, placed}) => {
		expect(versionsOf(place(createPool(engines), 'r', change), engines)).toEqual(placed);
	});

	test('a stream whose version no engine runs is refused at once', () => {
		const effects = place(createPool(both), 'r', {softwareVersion: version('v0')});
		expect(effects.map(effect => effect.kind === 'refused' && effect.error.kind)).toEqual(['noBackend']);
	});

	test('new streams spread over both versions', () => {
		const pool = createPool(both);
		const placed = versionsOf(Array.from({length: 6}, (_, index) => place(pool, `r${index}`, {promptTokens: 500})).flat(), both);
		expect(new Set(placed.map(([, decode]) => decode))).toEqual(new Set(['v1', 'v2']));
		expect(placed.filter(([prefill, decode]) => prefill !== decode)).toEqual([]);
	});

	test('a stream that waits for its full version holds up no other', () => {
		const pool = createPool(both, false);
		place(pool, 'large', {softwareVersion: version('v1'), pieces: enginePieces});
		expect(place(pool, 'waits', {softwareVersion: version('v1')})).toEqual([]);
		expect(versionsOf(place(pool, 'next'), both)).toEqual([['v2', 'v2']]);
		const freed = pool.step({kind: 'release', hold: createRequest('large')}, at(10));
		expect(freed.map(effect => [effect.kind, effect.hold.requestId])).toEqual([['placed', 'waits']]);
	});

	test('an engine that starts again at another version under its id is placed on as such', () => {
		const pool = createPool(both);
		const engines = both.map(engine => ({...engine, softwareVersion: version('v2')}));
		pool.step({kind: 'engines', engines, leaving: new Set()}, at(0));
		expect(place(pool, 'r', {softwareVersion: version('v1')}).map(({kind}) => kind)).toEqual(['refused']);
	});
});
