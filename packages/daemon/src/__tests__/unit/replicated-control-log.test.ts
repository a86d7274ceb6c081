import {expect, test} from 'vitest';
import {
	CONTROL_BARRIER, CONTROL_FETCH, CONTROL_POSITION, ControlState, createSeededRandom, ManualClock, toId,
} from '@baobabpier/core';
import type {
	ControlPosition, DataCentreId, InstanceId, LogIndex, LogTime, OrderId, Revision, RpcMethod,
} from '@baobabpier/core';
import {ReplicatedControlLog, RpcCallError, RpcServer} from '@baobabpier/daemon';
import type {InstanceEntry, Peers} from '@baobabpier/daemon';

const entryOf = (id: string, dataCentre: string, replica: boolean): InstanceEntry => ({
	id: toId<InstanceId>(id), dataCentre: toId<DataCentreId>(dataCentre), peers: '127.0.0.1:1', replica,
});
const self = entryOf('self', 'a', false);
const near = entryOf('near', 'a', true);
const far = entryOf('far', 'b', true);

const stateAt = (revision: number): ControlState => {
	const state = new ControlState({retentionMs: 1, maxRecords: 1});
	for (let index = 1; index <= revision; index++) {
		const proposal = {
			orderId: toId<OrderId>(`o${index}`), expected: toId<Revision>(index - 1), author: 'operator', text: '[services]',
		};
		state.apply({index: toId<LogIndex>(index), at: toId<LogTime>(index), command: {kind: 'catalogue.propose', proposal}});
	}

	return state;
};

/** Answers like an instance at a revision; `leads` is whether a majority confirms it. */
const answer = (revision: number, leads: boolean, method: string): unknown => {
	const position: ControlPosition = {
		index: toId<LogIndex>(revision), replica: undefined, isFresh: false, hearsQuorum: leads, leader: undefined,
	};
	const answers: Record<string, unknown> = {
		[CONTROL_POSITION.method]: position,
		[CONTROL_FETCH.method]: {update: {kind: 'capture', capture: stateAt(revision).takeSnapshot()}, position},
		[CONTROL_BARRIER.method]: {index: leads ? revision : undefined, leader: undefined},
	};
	return answers[method];
};

type Case = {
	readonly name: string;
	readonly revisions: Readonly<Record<string, number>>;
	readonly leader: string | undefined;
	readonly first: number;
};

const cases: readonly Case[] = [
	{
		name: 'the near source lags behind the leader', revisions: {near: 3, far: 7}, leader: 'far', first: 7,
	},
	{
		name: 'no quorum is heard and the near source is older', revisions: {near: 3, far: 7}, leader: undefined, first: 7,
	},
	{
		name: 'no quorum is heard and only the near source answers', revisions: {near: 3}, leader: undefined, first: 3,
	},
	{
		name: 'nobody answers', revisions: {}, leader: undefined, first: 0,
	},
];

test.concurrent.each(cases)('after a restart without a disk, when $name, the first revision in force is $first', async ({revisions, leader, first}) => {
	const peers = {
		get: (id: InstanceId) => ({
			async call<Params, Result>({method}: RpcMethod<Params, Result>): Promise<Result> {
				if (revisions[id] === undefined) {
					throw new RpcCallError('silent', false);
				}

				return answer(revisions[id], id === leader, method) as Result;
			},
		}),
	} as unknown as Peers;
	const control = new ReplicatedControlLog({
		self, instances: [self, near, far], folder: undefined, peers, clock: new ManualClock(), random: createSeededRandom(1),
	});
	const seen: number[] = [];
	control.registerListener(() => {
		seen.push(control.state.catalogue.current.revision);
	});
	await control.start(new RpcServer('secret'));
	expect(seen[0]).toBe(first);
	expect(seen).toEqual(seen.toSorted((a, b) => a - b));
	await control.stop();
});
