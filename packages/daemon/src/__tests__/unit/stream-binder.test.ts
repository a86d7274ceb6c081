import {addMs, ManualClock, toId} from '@baobabpier/core';
import type {
	BackendId, DataCentreId, ListedServer, OriginRecord, RequestId, ServiceName, SoftwareVersion,
} from '@baobabpier/core';
import {expect, test} from 'vitest';
import {StreamBinder} from '../../gateway/stream-binder.js';
import type {Call} from '../../gateway/types.js';

const drawn = toId<ServiceName>('drawn');
const other = toId<ServiceName>('other');
const soleVersion = toId<SoftwareVersion>('sole');
const began = {service: other, softwareVersion: toId<SoftwareVersion>('v1')};
const first = toId<RequestId>('first');
const second = toId<RequestId>('second');
const timeoutMs = 14_000;
const engine: ListedServer = {
	id: toId<BackendId>('e1'), service: drawn, address: '127.0.0.1:1', dataCentre: toId<DataCentreId>('a'), slots: 8, leaving: false, role: 'decode', softwareVersion: toId<SoftwareVersion>('v2'),
};

/** Binds a call, and the stream to an engine where it has no version yet; returns the service, the version and the recorded origins. */
const bind = async (call: Pick<Call, 'lastEventId' | 'requestId' | 'resumes'>, route: Pick<Call['route'], 'resumable' | 'targets'>) => {
	const clock = new ManualClock();
	const records: OriginRecord[] = [];
	const origins = {
		async lookup(requestId: RequestId) {
			return requestId === first ? began : undefined;
		},
		async record(record: OriginRecord) {
			records.push(record);
		},
	};
	const binder = new StreamBinder({origins, fleet: {soleVersion: () => soleVersion}, clock});
	const bound = await binder.bind({...call, route, deadlineAt: addMs(clock.now(), timeoutMs)}, drawn);
	if (bound!.binding.version === undefined) {
		await bound!.binding.bind(engine);
	}

	return {service: bound!.service, version: bound!.binding.version, records};
};

const targets = [{service: drawn, weight: 1}, {service: other, weight: 1}];

// Guards against streams that are refused when their callers come back once more, since their origin had expired
test.each<{name: string; isResumable: boolean; call: Parameters<typeof bind>[0]; recorded: ReadonlyArray<Partial<Record<keyof OriginRecord, string>>>}>([
	{
		name: 'a new stream', isResumable: true, call: {requestId: first, lastEventId: undefined}, recorded: [{requestId: first, service: drawn, softwareVersion: 'v2'}],
	},
	{
		name: 'a stream that no caller can take up', isResumable: false, call: {requestId: first, lastEventId: undefined}, recorded: [],
	},
	{
		name: 'a stream that its caller takes up', isResumable: true, call: {requestId: second, lastEventId: '3', resumes: first}, recorded: [{requestId: first, ...began}],
	},
	{
		name: 'a taken-up stream whose origin is not known', isResumable: true, call: {requestId: toId<RequestId>('third'), lastEventId: '3', resumes: second}, recorded: [],
	},
	{
		name: 'a stream whose caller does not name the request that began it', isResumable: true, call: {requestId: second, lastEventId: '3'}, recorded: [],
	},
])('the origin of $name is recorded as $recorded', async ({isResumable, call, recorded}) => {
	const {records} = await bind(call, {resumable: isResumable, targets});
	expect(records).toEqual(recorded.map(record => ({...record, ttlMs: timeoutMs + 10_000})));
});

// Guards against streams that move to the other service of a split route
test.each([
	{
		name: 'the service that began it', resumes: first, weight: 1, service: other, version: 'v1',
	},
	{
		name: 'the drawn service, where the route has left the one that began it', resumes: first, weight: 0, service: drawn, version: 'v1',
	},
	{
		name: 'the drawn service, where its origin is not known', resumes: second, weight: 1, service: drawn, version: 'sole',
	},
])('a stream that is taken up goes on at $name', async ({resumes, weight, service, version}) => {
	const bound = await bind({requestId: toId<RequestId>('third'), lastEventId: '3', resumes}, {resumable: true, targets: [{service: drawn, weight: 1}, {service: other, weight}]});
	expect(bound).toMatchObject({service, version});
	expect(bound.records.every(record => record.service === began.service)).toBe(true);
});
