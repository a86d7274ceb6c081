import {addMs, ManualClock, toId} from '@baobabpier/core';
import type {
	BackendId, DataCentreId, ListedServer, RequestId, Route, ServiceName, SoftwareVersion, StreamOrigin,
} from '@baobabpier/core';
import {expect, test} from 'vitest';
import {StreamBinder} from '../../gateway/stream-binder.js';
import type {Call} from '../../gateway/types.js';

const service = toId<ServiceName>('lm');
const version = toId<SoftwareVersion>('v1');
const first = toId<RequestId>('first');
const timeoutMs = 14_000;
const engine: ListedServer = {
	id: toId<BackendId>('e1'), service, address: '127.0.0.1:1', dataCentre: toId<DataCentreId>('a'), slots: 8, leaving: false, role: 'decode', softwareVersion: version,
};

// Guards against streams that are refused when their callers come back once more, since their origin had expired
test.each<{name: string; isResumable: boolean; call: Pick<Call, 'lastEventId' | 'requestId' | 'resumes'>; recorded: readonly string[]}>([
	{
		name: 'a new stream', isResumable: true, call: {requestId: first, lastEventId: undefined}, recorded: ['first'],
	},
	{
		name: 'a stream that no caller can take up', isResumable: false, call: {requestId: first, lastEventId: undefined}, recorded: [],
	},
	{
		name: 'a stream that its caller takes up', isResumable: true, call: {requestId: toId<RequestId>('second'), lastEventId: '3', resumes: first}, recorded: ['first'],
	},
	{
		name: 'a stream whose caller does not name the request that began it', isResumable: true, call: {requestId: toId<RequestId>('second'), lastEventId: '3'}, recorded: [],
	},
])('the origin of $name is recorded for: $recorded', async ({isResumable, call, recorded}) => {
	const clock = new ManualClock();
	const records: StreamOrigin[] = [];
	const origins = {
		async lookup(requestId: RequestId) {
			return requestId === first ? version : undefined;
		},
		async record(origin: StreamOrigin) {
			records.push(origin);
		},
	};
	const binder = new StreamBinder({origins, fleet: {soleVersion: () => version}, clock});
	const route: Pick<Route, 'resumable'> = {resumable: isResumable};
	const binding = await binder.bind({...call, route, deadlineAt: addMs(clock.now(), timeoutMs)}, service);
	if (binding!.version === undefined) {
		await binding!.bind(engine);
	}

	expect(records).toEqual(recorded.map(requestId => ({requestId, softwareVersion: version, ttlMs: timeoutMs + 10_000})));
});
