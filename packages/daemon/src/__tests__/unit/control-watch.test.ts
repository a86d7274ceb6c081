import {setTimeout as sleep} from 'node:timers/promises';
import {expect, test} from 'vitest';
import {toId} from '@baobabpier/core';
import type {
	DataCentreId, InstanceId, RoutingDocument, RoutingVersion, WatchResponse,
} from '@baobabpier/core';
import {ControlWatch} from '../../gateway/control-watch.js';
import {monotonicClock} from '../../monotonic-clock.js';
import {RpcCallError} from '../../rpc/rpc-client.js';
import type {Peers} from '../../rpc/peers.js';

const [a, b, c, d, e, f] = ['a', 'b', 'c', 'd', 'e', 'f'].map(name => toId<InstanceId>(name)) as [InstanceId, InstanceId, InstanceId, InstanceId, InstanceId, InstanceId];
const dataCentre = toId<DataCentreId>('x');
const pollMs = 20;
/** Time within which every control instance has been tried several times, in milliseconds. */
const observationMs = 3500;

const documentOf = (version: number): RoutingDocument => ({version: toId<RoutingVersion>(version), text: ''});

/** What a control instance answers; undefined where it doesn't. */
type Answer = {readonly version: number; readonly hearsQuorum: boolean; readonly controls: readonly InstanceId[]};

const responseOf = ({version, hearsQuorum, controls}: Answer): WatchResponse => ({
	dataCentre,
	routingVersion: toId<RoutingVersion>(version),
	routing: documentOf(version),
	hearsQuorum,
	confirmed: hearsQuorum,
	listDigest: undefined,
	list: undefined,
	listAgeMs: undefined,
	leader: hearsQuorum ? d : undefined,
	quarantine: undefined,
	suspects: undefined,
	limits: undefined,
	controls,
	entries: 1,
});

type Case = {
	readonly name: string;
	readonly answers: ReadonlyMap<InstanceId, Answer>;
	readonly inForce: readonly number[];
};

const former = (controls: readonly InstanceId[]): Answer => ({version: 1, hearsQuorum: false, controls});
const member: Answer = {version: 2, hearsQuorum: true, controls: [d, e, f]};

const cases: readonly Case[] = [
	{
		name: 'all seeds are outside of the log and name its members', answers: new Map([[a, former([a, b, c, d])], [b, former([a, b, c])], [c, former([a, b, c, e])], [d, member], [e, member], [f, member]]), inForce: [2],
	},
	{
		name: 'one seed answers, is outside of the log and names a member', answers: new Map([[a, former([a, b, c, f])], [f, member]]), inForce: [2],
	},
	{
		name: 'nobody hears a majority', answers: new Map([[a, former([a, b, c, d])], [b, former([a, b, c])], [c, former([a, b, c])], [d, former([d, e, f])]]), inForce: [],
	},
];

// Guards against an entry instance that knows only seeds outside of the log and never finds its members, or acts on what those seeds hold
test.concurrent.each(cases)('when $name, the versions in force are $inForce', async ({answers, inForce}) => {
	const peers = {
		get: (id: InstanceId) => ({
			async call(): Promise<WatchResponse> {
				await sleep(pollMs);
				const answer = answers.get(id);
				if (answer === undefined) {
					throw new RpcCallError('silent', false);
				}

				return responseOf(answer);
			},
		}),
	} as unknown as Peers;
	const seen: number[] = [];
	const watch = new ControlWatch({
		self: toId<InstanceId>('entry'),
		dataCentre,
		seeds: () => [a, b, c],
		peers,
		clock: monotonicClock,
		onRouting({version}) {
			seen.push(version);
			return true;
		},
		onList: () => undefined,
		versions: () => ({limitsVersion: undefined, quarantineRevision: undefined, suspectsVersion: undefined}),
		onQuarantine: () => undefined,
		onLimits: () => undefined,
		onLeader: () => undefined,
	});
	watch.start();
	const deadline = Date.now() + observationMs;
	while (Date.now() < deadline && (inForce.length === 0 || seen.length === 0)) {
		await sleep(pollMs); // eslint-disable-line no-await-in-loop
	}

	watch.stop();
	expect(seen).toEqual(inForce);
});
