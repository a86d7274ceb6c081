import {expect, test} from 'vitest';
import {
	ConsensusReplica, createSeededRandom, emptySnapshot, SafetyRules, toId, toReplicaId,
} from '@baobabpier/core';
import type {
	ConsensusEvent, ConsensusMessage, Instant, InstanceId, LogIndex, LogTime, ReplicaId, Term,
} from '@baobabpier/core';

const ids = ['a', 'b', 'c'].map(name => toReplicaId(toId<InstanceId>(name), '0')) as [ReplicaId, ReplicaId, ReplicaId];
const [a, b, c] = ids;
const timings = {
	heartbeatIntervalMs: 50, minElectionTimeoutMs: 200, maxElectionTimeoutMs: 400, leaseDurationMs: 150, pauseThresholdMs: 100, maxEntriesPerMessage: 1,
};

class CommitsEarlierTerms extends SafetyRules {
	override mayCommit(): boolean {
		return true;
	}
}

type Envelope = {
	readonly from: ReplicaId;
	readonly to: ReplicaId;
	readonly message: ConsensusMessage;
};

/** Three replicas with immediate disk syncs and explicit message delivery. */
class ThreeReplicaCluster {
	readonly applied = new Map<ReplicaId, number[]>(ids.map(id => [id, []]));
	readonly #replicas: ReadonlyMap<ReplicaId, ConsensusReplica>;
	#messages: Envelope[] = [];
	#now = 0;

	constructor(rules: SafetyRules) {
		const hard = {
			cluster: 'c', term: toId<Term>(0), vote: undefined, commit: toId<LogIndex>(0),
		};
		this.#replicas = new Map(ids.map(self => [self, new ConsensusReplica({
			self, timings, random: createSeededRandom(1), requiresDurableCommit: () => false, rules,
		}, {hard, snapshot: {...emptySnapshot, membership: {voters: ids, learners: []}}, entries: []}, 0 as Instant)]));
	}

	/** Runs elections of a replica until it leads; only vote messages within the group are delivered. */
	elect(id: ReplicaId, group: readonly ReplicaId[]): void {
		let attempts = 0;
		do {
			attempts += 1;
			this.#now += 1000;
			this.#messages = [];
			this.step(id, {kind: 'tick'});
			this.deliver(group, 20, message => message.kind.toLowerCase().includes('vote'));
		} while (attempts < 4 && this.#replicas.get(id)!.status(this.#now as Instant).role !== 'leader');
	}

	/** Delivers up to `count` matching messages within a group, oldest first; the others stay queued. */
	deliver(group: readonly ReplicaId[], count: number, isDelivered: (message: ConsensusMessage) => boolean = () => true): void {
		for (let delivered = 0; delivered < count; delivered++) {
			const index = this.#messages.findIndex(({from, to, message}) => group.includes(from) && group.includes(to) && isDelivered(message));
			if (index === -1) {
				return;
			}

			const {from, to, message} = this.#messages.splice(index, 1)[0]!;
			this.step(to, {
				kind: 'message', from, cluster: 'c', message,
			});
		}
	}

	propose(id: ReplicaId): void {
		const command = {kind: 'claim.abandon', claimant: toId<InstanceId>('x')} as const;
		this.step(id, {kind: 'propose', at: toId<LogTime>(0), proposals: [{id: 1, command}]});
	}

	step(id: ReplicaId, event: ConsensusEvent): void {
		for (const effect of this.#replicas.get(id)!.step(event, this.#now as Instant)) {
			switch (effect.kind) {
				case 'send': {
					this.#messages.push({from: id, to: effect.to, message: effect.message});

					break;
				}

				case 'persist': {
					this.step(id, {kind: 'persisted', sequence: effect.sequence});

					break;
				}

				case 'apply': {
					this.applied.get(id)!.push(...effect.entries.map(({term}) => term));

					break;
				}
			// No default
			}
		}
	}
}

/** Figure 8 of Ongaro & Ousterhout 2014. */
const runFigure8 = (cluster: ThreeReplicaCluster): void => {
	cluster.elect(a, ids);
	cluster.deliver(ids, 100);
	cluster.propose(a);
	cluster.elect(c, [b, c]);
	cluster.elect(a, [a, b]);
	cluster.deliver([a, b], 4);
	cluster.elect(c, [b, c]);
	cluster.deliver([b, c], 100);
};

test('does not commit an entry of an earlier term by counting replicas', () => {
	const cluster = new ThreeReplicaCluster(new SafetyRules());
	runFigure8(cluster);
	const [longest, ...others] = [...cluster.applied.values()].sort((x, y) => y.length - x.length);
	for (const other of others) {
		expect(other).toEqual(longest!.slice(0, other.length));
	}
});

test('replaces a committed entry when that rule is disabled', () => {
	const cluster = new ThreeReplicaCluster(new CommitsEarlierTerms());
	let problem = '';
	try {
		runFigure8(cluster);
		const [first, second] = [cluster.applied.get(a)!, cluster.applied.get(c)!];
		problem = first.some((term, index) => second[index] !== undefined && second[index] !== term) ? 'replaced' : 'none';
	} catch (error) {
		problem = (error as {code: string}).code;
	}

	expect(['replaced', 'ACCEPTED_ENTRY_CHANGED']).toContain(problem);
});

test('replicas that start in the same moment do not become candidates in the same tick of their timers', () => {
	const tickMs = 100;
	const startTimings = {...timings, minElectionTimeoutMs: 700, maxElectionTimeoutMs: 1100};
	/** Number of replicas whose timeout ends in the first tick in which one does. */
	const countFirstCandidates = (term: number): number => {
		const hard = {
			cluster: 'c', term: toId<Term>(term), vote: undefined, commit: toId<LogIndex>(0),
		};
		const replicas = ids.map((self, index) => new ConsensusReplica({
			self, timings: startTimings, random: createSeededRandom((term * ids.length) + index), requiresDurableCommit: () => false,
		}, {hard, snapshot: {...emptySnapshot, membership: {voters: ids, learners: []}}, entries: []}, 0 as Instant));
		for (let now = tickMs; now <= startTimings.maxElectionTimeoutMs + tickMs; now += tickMs) {
			const candidates = replicas.filter(replica => replica.step({kind: 'tick'}, now as Instant).length > 0);
			if (candidates.length > 0) {
				return candidates.length;
			}
		}

		return 0;
	};

	expect(Array.from({length: 100}, (_, term) => countFirstCandidates(term)).filter(count => count !== 1)).toEqual([]);
});
