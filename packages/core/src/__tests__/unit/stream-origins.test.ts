import {describe, expect, test} from 'vitest';
import {
	rankRendezvous, StreamOrigins, toId,
} from '@baobabpier/core';
import type {
	Instant, RequestId, ServiceName, SoftwareVersion,
} from '@baobabpier/core';

const at = (ms: number): Instant => ms as Instant;
const id = (text: string): RequestId => toId<RequestId>(text);
const service = toId<ServiceName>('lm');
const origin = (text: string, ttlMs = 1000) => ({
	requestId: id(text), service, softwareVersion: toId<SoftwareVersion>(`v of ${text}`), ttlMs,
});

describe('origins of streams', () => {
	test.each([
		{
			name: 'a recorded stream', recorded: ['a', 'b'], asked: 'a', atMs: 999, version: 'v of a',
		},
		{
			name: 'a stream that nobody recorded', recorded: ['a'], asked: 'b', atMs: 0, version: undefined,
		},
		{
			name: 'a stream that can\'t be taken up any more', recorded: ['a'], asked: 'a', atMs: 1000, version: undefined,
		},
		{
			name: 'the oldest stream beyond the maximum size', recorded: ['a', 'b', 'c', 'd'], asked: 'a', atMs: 0, version: undefined,
		},
		{
			name: 'the next one', recorded: ['a', 'b', 'c', 'd'], asked: 'b', atMs: 0, version: 'v of b',
		},
	])('$name', ({recorded, asked, atMs, version}) => {
		const origins = new StreamOrigins(3);
		for (const text of recorded) {
			origins.record(origin(text), at(0));
		}

		expect(origins.lookup(id(asked), at(atMs))).toEqual(version === undefined ? undefined : {service, softwareVersion: version});
	});

	test('expired origins give their memory back', () => {
		const origins = new StreamOrigins(10_000);
		for (let index = 0; index < 1000; index++) {
			origins.record(origin(`early ${index}`), at(0));
		}

		for (let index = 0; index < 1000; index++) {
			origins.record(origin(`late ${index}`), at(2000));
		}

		expect(origins.size).toBe(1000);
		expect(origins.list(at(2500)).length).toBe(1000);
		expect(origins.list(at(2500))[0]!.ttlMs).toBe(500);
	});
});

describe('the hosts of an origin', () => {
	const hosts = Array.from({length: 9}, (_, index) => `c${index}`);

	test('are the same in any order of the instances, and shared evenly', () => {
		const counts = new Map<string, number>();
		for (let index = 0; index < 3000; index++) {
			const chosen = rankRendezvous(`r${index}`, hosts, 3);
			expect(rankRendezvous(`r${index}`, hosts.toReversed(), 3)).toEqual(chosen);
			for (const host of chosen) {
				counts.set(host, (counts.get(host) ?? 0) + 1);
			}
		}

		expect(Math.min(...hosts.map(host => counts.get(host) ?? 0))).toBeGreaterThan(800);
	});

	test('a replaced instance leaves two of three to whoever asks', () => {
		const replaced = [...hosts.slice(1), 'c9'];
		const common = Array.from({length: 3000}, (_, index) => rankRendezvous(`r${index}`, hosts, 3).filter(host => rankRendezvous(`r${index}`, replaced, 3).includes(host)).length);
		expect(Math.min(...common)).toBeGreaterThanOrEqual(2);
	});
});
