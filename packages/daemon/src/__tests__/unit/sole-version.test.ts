import {ManualClock, toId} from '@baobabpier/core';
import type {
	BackendId, DataCentreId, ListedServer, ServiceName, SoftwareVersion,
} from '@baobabpier/core';
import {expect, test} from 'vitest';
import {FleetView} from '../../gateway/fleet-view.js';

const service = toId<ServiceName>('lm');
const engine = (id: string, version: string): ListedServer => ({
	id: toId<BackendId>(id), service, address: '127.0.0.1:1', dataCentre: toId<DataCentreId>('a'), slots: 8, leaving: false, role: 'decode', softwareVersion: toId<SoftwareVersion>(version),
});

// Guards against streams that go on at a guessed version
test.each([
	{
		name: 'one version since the first start', lists: [['v1']], agesMs: [0], version: 'v1',
	},
	{
		name: 'a restarted instance does not know what was listed before', isFirstStart: false, lists: [['v1']], agesMs: [10_000], version: undefined,
	},
	{
		name: 'nor later than a stream lives', isFirstStart: false, lists: [['v1']], agesMs: [60_000], version: 'v1',
	},
	{
		name: 'two versions', lists: [['v1', 'v2']], agesMs: [0], version: undefined,
	},
	{
		name: 'a version that has just gone', lists: [['v1', 'v2'], ['v2']], agesMs: [5000, 59_000], version: undefined,
	},
	{
		name: 'a version that has long gone', lists: [['v1', 'v2'], ['v2']], agesMs: [5000, 60_000], version: 'v2',
	},
	{
		name: 'a list that is too old', isStale: true, lists: [['v1']], agesMs: [0], version: undefined,
	},
	{
		name: 'no engine at all', lists: [[]], agesMs: [0], version: undefined,
	},
])('the version of all streams: $name', ({isFirstStart = true, isStale = false, lists, agesMs, version}) => {
	const clock = new ManualClock();
	const fleet = new FleetView(clock, undefined, {isFirstStart, isListFresh: () => !isStale});
	for (const [index, versions] of lists.entries()) {
		fleet.replace(versions.map((listed, number) => engine(`e${number}`, listed)));
		clock.advance(agesMs[index]!);
	}

	expect(fleet.soleVersion(service)).toBe(version);
});
