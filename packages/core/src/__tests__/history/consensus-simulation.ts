/** Simulates replicas in virtual time with seeded network and disk faults, and checks invariants after every step. */
import {
	ConsensusReplica, ControlState, createSeededRandom, emptySnapshot, instanceOf, isMember, pickIndex, toId, toReplicaId,
} from '@baobabpier/core';
import type {
	CatalogueProposalResult,
	ClaimKey,
	ClaimResult,
	ConsensusEffect,
	ConsensusEvent,
	ConsensusMessage,
	ControlStateSnapshot,
	ControlCommand,
	Instant,
	InstanceId,
	LogEntry,
	LogIndex,
	LogTime,
	OrderId,
	PersistEffect,
	RandomSource,
	RecoveredLog,
	ReplicaId,
	ReplicaOptions,
	RequestId,
	SafetyRules,
	Term,
} from '@baobabpier/core';

export const timings = {
	heartbeatIntervalMs: 50, minElectionTimeoutMs: 200, maxElectionTimeoutMs: 400, leaseDurationMs: 150, pauseThresholdMs: 100,
};

/** Size of a schedule and the weight of each action. */
export type Profile = {
	readonly replicas: number;
	readonly steps: number;
	readonly maxEntriesPerMessage: number;
	/** Number of voters; all replicas vote when undefined. */
	readonly voters?: number;
	readonly weights: Readonly<Record<Action, number>>;
};

export type Action = 'advance' | 'deliver' | 'sync' | 'command' | 'read' | 'drop' | 'repeat' | 'crash' | 'loseDisk' | 'cut' | 'heal' | 'freeze' | 'compact' | 'transfer' | 'fillDisk';

/** Silence after which a voter is replaced and a learner is removed, in milliseconds; both shorter than the freezes of a schedule. */
const replacementTimings = {voterReplacementTimeoutMs: 500, learnerRemovalTimeoutMs: 800};

/** A safety mechanism that a test disables. */
export type Mutation = {
	readonly rules?: SafetyRules;
	/** A replica with a new disk keeps its old id. */
	readonly reusesReplicaId?: boolean;
	readonly requiresDurableCommit?: (command: ControlCommand) => boolean;
	/** A replica whose write failed does not open its storage again. */
	readonly staysFailed?: boolean;
	/** A write that failed counts as synced. */
	readonly ignoresFailedWrites?: boolean;
};

/** Time between the room on a disk and the next opening of its storage, in milliseconds. */
const reopenDelayMs = 50;
/** Bound of the time in which a command is accepted after all faults ended, in rounds. */
const acceptanceRounds = 80;

type Disk = {recovered: RecoveredLog; pending: PersistEffect[]};
type Envelope = {readonly from: ReplicaId; readonly to: ReplicaId; readonly cluster: string; readonly message: ConsensusMessage};
type ProposedCommand = {readonly id: number; readonly command: ControlCommand};

type SimulatedReplica = {
	readonly instance: InstanceId;
	id: ReplicaId;
	disk: Disk;
	replica: ConsensusReplica;
	state: ControlState;
	frozenUntil: number;
	/** Until when every write fails. */
	fullUntil: number;
	/** Whether a write failed since the storage was opened. */
	isFailed: boolean;
	/** Reads that reached a frozen replica; handled first when it resumes. */
	backlog: ConsensusEvent[];
	revision: number;
	proposed: Map<number, {readonly id: number; readonly term: Term; readonly command: ControlCommand}>;
};

const bounds = {retentionMs: 1e9, maxRecords: 1000};
const requiresDurableCommit = (command: ControlCommand): boolean => command.kind === 'catalogue.propose';

const persist = ({recovered}: Disk, {hard, entries, snapshot}: PersistEffect): RecoveredLog => {
	let kept = recovered.entries;
	let base = recovered.snapshot;
	if (snapshot !== undefined) {
		kept = snapshot.keepsTail ? kept.filter(({index}) => index > snapshot.snapshot.index) : [];
		base = snapshot.snapshot;
	}

	return {hard, snapshot: base, entries: entries.length === 0 ? kept : [...kept.filter(({index}) => index < entries[0]!.index), ...entries]};
};

/** Runs one schedule. */
export class ConsensusSimulation {
	/** Number of commands whose result a client received. */
	acknowledgedCount = 0;
	readonly #random: RandomSource;
	readonly #nodes: SimulatedReplica[];
	readonly #leaders = new Map<Term, ReplicaId>();
	readonly #committed = new Map<number, LogEntry>();
	readonly #verdicts = new Map<OrderId, string>();
	readonly #grants = new Map<ClaimKey, RequestId>();
	readonly #reads = new Map<number, number>();
	readonly #blockedLinks = new Set<string>();
	readonly #proposedCommands: ProposedCommand[] = [];
	#messages: Envelope[] = [];
	#now = 0;
	#acknowledgedIndex = 0;
	#storageCount = 0;
	#nextId = 0;

	constructor(seed: number, private readonly profile: Profile, private readonly mutation: Mutation = {}) {
		this.#random = createSeededRandom(seed);
		const ids = Array.from({length: profile.replicas}, (_, index) => toReplicaId(toId<InstanceId>(`i${index}`), '0'));
		const snapshot = {...emptySnapshot, membership: {voters: ids.slice(0, profile.voters), learners: profile.voters === undefined ? [] : ids.slice(profile.voters)}};
		const hard = {
			cluster: 'c', term: toId<Term>(0), vote: undefined, commit: toId<LogIndex>(0),
		};
		this.#nodes = ids.map(id => {
			const node = {
				instance: instanceOf(id), id, revision: 0, fullUntil: 0, disk: {recovered: {hard, snapshot, entries: []}, pending: []},
			} as unknown as SimulatedReplica;
			this.#startReplica(node);
			return node;
		});
	}

	/** Runs the schedule, then ends all faults and checks that the replicas converge. */
	run(): void {
		const actions = Object.entries(this.profile.weights).flatMap(([action, weight]) => Array.from({length: weight}, () => action as Action));
		for (let step = 0; step < this.profile.steps; step++) {
			this.#runAction(actions[pickIndex(this.#random, actions.length)]!);
		}

		this.#healAndConverge();
	}

	#runAction(action: Action): void {
		const node = this.#nodes[pickIndex(this.#random, this.#nodes.length)]!;
		switch (action) {
			case 'advance': {
				this.#advance(10 + pickIndex(this.#random, 60));
				break;
			}

			case 'deliver': {
				this.#deliver(pickIndex(this.#random, this.#messages.length), true);
				break;
			}

			case 'repeat': {
				this.#deliver(pickIndex(this.#random, this.#messages.length), false);
				break;
			}

			case 'drop': {
				this.#messages.splice(pickIndex(this.#random, this.#messages.length), 1);
				break;
			}

			case 'sync': {
				this.#sync(node, 1 + pickIndex(this.#random, node.disk.pending.length));
				break;
			}

			case 'command': {
				const order = this.#nextCommand(node);
				this.#step(node, {kind: 'propose', proposals: [order], at: toId<LogTime>(this.#now)}, order.command);
				break;
			}

			case 'read': {
				for (const reader of this.#nodes) {
					this.#nextId += 1;
					this.#reads.set(this.#nextId, this.#acknowledgedIndex);
					this.#step(reader, {kind: 'read', id: this.#nextId});
				}

				break;
			}

			case 'crash': {
				this.#crash(node);
				break;
			}

			case 'loseDisk': {
				this.#loseDisk(node);
				break;
			}

			case 'cut': {
				this.#blockedLinks.add(`${node.instance}>${this.#nodes[pickIndex(this.#random, this.#nodes.length)]!.instance}`);
				break;
			}

			case 'heal': {
				this.#blockedLinks.clear();
				break;
			}

			case 'freeze': {
				node.frozenUntil = this.#now + 200 + pickIndex(this.#random, 1200);
				break;
			}

			case 'compact': {
				this.#step(node, {kind: 'compact', index: node.state.index, state: node.state.takeSnapshot()});
				break;
			}

			case 'transfer': {
				this.#step(node, {kind: 'transfer'});
				break;
			}

			case 'fillDisk': {
				this.#fillDisk(node);
				break;
			}
		}
	}

	/** Fills the leader's disk two times in three; never two disks at once. */
	#fillDisk(node: SimulatedReplica): void {
		if (this.#nodes.some(({fullUntil}) => fullUntil > this.#now)) {
			return;
		}

		const leader = this.#nodes.find(({replica, isFailed}) => !isFailed && replica.status(this.#now as Instant).role === 'leader');
		const filled = this.#random.next() < 2 / 3 ? leader ?? node : node;
		filled.fullUntil = this.#now + 100 + pickIndex(this.#random, 1500);
	}

	/** A write fails: the replica hands over and stops until its storage is opened again. */
	#failStorage(node: SimulatedReplica): void {
		this.#step(node, {kind: 'transfer'});
		node.isFailed = true;
	}

	#reopenStorages(): void {
		for (const node of this.#nodes) {
			if (node.isFailed && this.#now >= node.fullUntil + reopenDelayMs && this.mutation.staysFailed !== true) {
				this.#crash(node);
			}
		}
	}

	#nextCommand(node: SimulatedReplica): ProposedCommand {
		const resent = this.#proposedCommands[pickIndex(this.#random, this.#proposedCommands.length * 3)];
		this.#nextId += 1;
		const name = `x${this.#nextId}`;
		const proposal = {
			orderId: toId<OrderId>(name), expected: node.state.catalogue.current.revision, author: 'operator', text: '[services]',
		};
		const req = {
			key: toId<ClaimKey>(`k${pickIndex(this.#random, 3)}`), requestId: toId<RequestId>(name), claimant: node.instance, fingerprint: 'f',
		};
		const fresh: ControlCommand = this.#random.next() < 0.5 ? {kind: 'catalogue.propose', proposal} : {kind: 'claim.open', req};
		const order = {id: this.#nextId, command: resent?.command ?? fresh};
		this.#proposedCommands.push(order);
		return order;
	}

	#advance(ms: number): void {
		this.#now += ms;
		this.#reopenStorages();
		for (const node of this.#nodes) {
			this.#step(node, {kind: 'tick'});
			const {membership, hearsQuorum} = node.replica.status(this.#now as Instant);
			const isOutside = !isMember(membership, node.id) || !hearsQuorum;
			if (isOutside && !this.mutation.reusesReplicaId) {
				for (const other of this.#nodes) {
					this.#step(other, {kind: 'seen', replica: node.id});
				}
			}
		}
	}

	#deliver(index: number, removes: boolean): void {
		const envelope = this.#messages[index];
		if (envelope === undefined) {
			return;
		}

		if (removes) {
			this.#messages.splice(index, 1);
		}

		const node = this.#nodes.find(({id}) => id === envelope.to);
		if (node !== undefined && !this.#blockedLinks.has(`${instanceOf(envelope.from)}>${node.instance}`)) {
			this.#step(node, {
				kind: 'message', from: envelope.from, cluster: envelope.cluster, message: envelope.message,
			});
		}
	}

	#sync(node: SimulatedReplica, count: number): void {
		const isFailing = node.fullUntil > this.#now && node.disk.pending.length > 0;
		if (node.isFailed || (isFailing && this.mutation.ignoresFailedWrites !== true)) {
			if (!node.isFailed && node.frozenUntil <= this.#now) {
				this.#failStorage(node);
			}

			return;
		}

		const done = node.frozenUntil > this.#now ? [] : node.disk.pending.splice(0, count);
		for (const effect of done) {
			node.disk.recovered = isFailing ? node.disk.recovered : persist(node.disk, effect);
			this.#step(node, {kind: 'persisted', sequence: effect.sequence});
		}
	}

	/** Restarts a replica; a prefix of its unsynced writes may have reached the disk. With a full disk it stays failed. */
	#crash(node: SimulatedReplica): void {
		for (const effect of node.disk.pending.slice(0, pickIndex(this.#random, node.disk.pending.length + 1))) {
			node.disk.recovered = persist(node.disk, effect);
		}

		this.#startReplica(node);
		node.isFailed = node.fullUntil > this.#now;
	}

	/** Loses a disk if every replica is a voter of the committed membership: one loss at a time. */
	#loseDisk(node: SimulatedReplica): void {
		const areAllVoters = this.#nodes.some(({replica, disk}) => {
			const {membership, commit} = replica.status(this.#now as Instant);
			const isAccepted = disk.recovered.hard.commit <= commit && membership.learners.length === 0;
			const pendingChange = [...this.#committed.values()].findLast(({payload}) => payload.kind === 'membership');
			const accepted = pendingChange?.payload.kind === 'membership' ? pendingChange.payload.membership.voters : membership.voters;
			return isAccepted && this.#nodes.every(({id}) => membership.voters.includes(id) && accepted.includes(id));
		});
		if (!areAllVoters) {
			return;
		}

		this.#storageCount += 1;
		const hard = {
			cluster: '', term: toId<Term>(0), vote: undefined, commit: toId<LogIndex>(0),
		};
		const membership = this.mutation.reusesReplicaId ? {voters: this.#nodes.map(({id}) => id), learners: []} : emptySnapshot.membership;
		node.id = this.mutation.reusesReplicaId ? node.id : toReplicaId(node.instance, String(this.#storageCount));
		node.disk.recovered = {hard: {...hard, cluster: this.mutation.reusesReplicaId ? 'c' : ''}, snapshot: {...emptySnapshot, membership}, entries: []};
		node.revision = 0;
		node.fullUntil = 0;
		this.#startReplica(node);
	}

	#startReplica(node: SimulatedReplica): void {
		const options: ReplicaOptions = {
			self: node.id,
			timings: {...timings, ...(this.profile.voters === undefined ? {} : replacementTimings), maxEntriesPerMessage: this.profile.maxEntriesPerMessage},
			targetVoterCount: this.profile.voters,
			random: this.#random,
			requiresDurableCommit: this.mutation.requiresDurableCommit ?? requiresDurableCommit,
			rules: this.mutation.rules,
		};
		node.disk.pending = [];
		node.frozenUntil = 0;
		node.isFailed = false;
		node.backlog = [];
		node.proposed = new Map();
		node.state = new ControlState(bounds);
		node.replica = new ConsensusReplica(options, node.disk.recovered, this.#now as Instant);
		const before = node.revision;
		node.revision = 0;
		this.#performEffects(node, node.replica.start());
		this.#check(node.state.catalogue.current.revision >= before, `${node.id} restarted with revision ${node.state.catalogue.current.revision} after ${before}`);
	}

	#step(node: SimulatedReplica, event: ConsensusEvent, command?: ControlCommand): void {
		if (node.isFailed) {
			return;
		}

		if (node.frozenUntil > this.#now) {
			if (event.kind === 'read') {
				node.backlog.push(event);
			}

			return;
		}

		for (const queued of node.backlog.splice(0)) {
			this.#performEffects(node, node.replica.step(queued, this.#now as Instant));
		}

		this.#performEffects(node, node.replica.step(event, this.#now as Instant), command);
	}

	#performEffects(node: SimulatedReplica, effects: readonly ConsensusEffect[], command?: ControlCommand): void {
		for (const effect of effects) {
			switch (effect.kind) {
				case 'send': {
					this.#messages.push({
						from: node.id, to: effect.to, cluster: effect.cluster, message: effect.message,
					});
					break;
				}

				case 'persist': {
					node.disk.pending.push(effect);
					break;
				}

				case 'apply': {
					this.#apply(node, effect.entries);
					break;
				}

				case 'restore': {
					node.state.restore(effect.snapshot.state as ControlStateSnapshot);
					this.#checkRevision(node);
					break;
				}

				case 'proposed': {
					node.proposed.set(effect.index, {id: effect.id, term: effect.term, command: command!});
					break;
				}

				case 'readable': {
					this.#check(effect.index >= this.#reads.get(effect.id)!, `a read sees ${effect.index}, but ${this.#reads.get(effect.id)} was answered before it began`);
					break;
				}

				case 'role': {
					if (effect.role === 'leader') {
						const other = this.#leaders.get(effect.term) ?? node.id;
						this.#check(other === node.id, `term ${effect.term} has the leaders ${other} and ${node.id}`);
						this.#leaders.set(effect.term, node.id);
						// A late vote may still elect a candidate of an older term; it can commit nothing and gets no lease
						const holder = this.#nodes.find(({id, replica}) => id !== node.id && replica.leaseExpiresAt(this.#now as Instant) > this.#now && replica.status(this.#now as Instant).term <= effect.term);
						this.#check(holder === undefined, `${node.id} leads while ${holder?.id} holds a lease`);
						const holders = this.#nodes.filter(({replica}) => replica.leaseExpiresAt(this.#now as Instant) > this.#now);
						this.#check(holders.length <= 1, `${holders.map(({id}) => id).join(' and ')} hold leases`);
					}

					break;
				}

				default:
			}
		}
	}

	#apply(node: SimulatedReplica, entries: readonly LogEntry[]): void {
		for (const entry of entries) {
			this.#check(entry.index === node.state.index + 1, `${node.id} applies ${entry.index} after ${node.state.index}`);
			const known = this.#committed.get(entry.index) ?? entry;
			this.#check(known === entry, `entry ${entry.index} was accepted in term ${known.term} and again in term ${entry.term}`);
			this.#committed.set(entry.index, entry);
			const result = node.state.applyEntry(entry);
			const proposed = node.proposed.get(entry.index);
			if (proposed?.term === entry.term) {
				this.#acknowledge(entry.index, proposed.command, result);
			}
		}

		this.#checkRevision(node);
	}

	#checkRevision(node: SimulatedReplica): void {
		const {revision} = node.state.catalogue.current;
		this.#check(revision >= node.revision, `${node.id} went back to revision ${revision} from ${node.revision}`);
		node.revision = revision;
	}

	/** Records the result that a client received and checks it against earlier ones. */
	#acknowledge(index: number, command: ControlCommand, result: unknown): void {
		this.acknowledgedCount += 1;
		this.#acknowledgedIndex = Math.max(this.#acknowledgedIndex, index);
		if (command.kind === 'catalogue.propose') {
			const verdict = JSON.stringify(result);
			const first = this.#verdicts.get(command.proposal.orderId) ?? verdict;
			this.#check(first === verdict, `order ${command.proposal.orderId} was answered ${first} and ${verdict}`);
			this.#verdicts.set(command.proposal.orderId, verdict);
			if ((result as CatalogueProposalResult).kind === 'accepted') {
				const name = toId<OrderId>(`expected ${command.proposal.expected}`);
				const winner = this.#verdicts.get(name) ?? command.proposal.orderId;
				this.#check(winner === command.proposal.orderId, `revision ${command.proposal.expected} was followed by ${winner} and ${command.proposal.orderId}`);
				this.#verdicts.set(name, command.proposal.orderId);
			}
		}

		if (command.kind === 'claim.open' && (result as ClaimResult).kind === 'granted') {
			const winner = this.#grants.get(command.req.key) ?? command.req.requestId;
			this.#check(winner === command.req.requestId, `key ${command.req.key} was granted to ${winner} and ${command.req.requestId}`);
			this.#grants.set(command.req.key, command.req.requestId);
		}
	}

	/** Ends all faults: every replica must apply all acknowledged commands, and a further command must be accepted. */
	#healAndConverge(): void {
		this.#blockedLinks.clear();
		for (const node of this.#nodes) {
			node.frozenUntil = 0;
			node.fullUntil = Math.min(node.fullUntil, this.#now);
		}

		for (let round = 0; round < 400 && !this.#hasConverged(); round++) {
			this.#runRound();
		}

		this.#check(this.#hasConverged(), 'the replicas do not agree in ten seconds after all faults ended');
		this.#acceptOneMore();
	}

	#acceptOneMore(): void {
		const before = this.acknowledgedCount;
		for (let round = 0; round < acceptanceRounds && this.acknowledgedCount === before; round++) {
			const leader = this.#nodes.find(({replica}) => replica.status(this.#now as Instant).role === 'leader');
			if (leader && round % 8 === 0) {
				const order = this.#nextCommand(leader);
				this.#step(leader, {kind: 'propose', proposals: [order], at: toId<LogTime>(this.#now)}, order.command);
			}

			this.#runRound();
		}

		this.#check(this.acknowledgedCount > before, 'no command is accepted after all faults ended');
		this.acknowledgedCount = before;
	}

	/** Lets time pass with all syncs and messages done at once. */
	#runRound(): void {
		this.#advance(25);
		for (let hops = 0; hops < 4; hops++) {
			for (const node of this.#nodes) {
				this.#sync(node, node.disk.pending.length);
			}

			const messages = this.#messages;
			this.#messages = [];
			for (const item of messages) {
				this.#messages.push(item);
				this.#deliver(this.#messages.indexOf(item), true);
			}
		}
	}

	#hasConverged(): boolean {
		const last = Math.max(...this.#committed.keys(), 1);
		const views = this.#nodes.map(({replica}) => replica.status(this.#now as Instant));
		const {membership} = views[0]!;
		const {voters = this.#nodes.length} = this.profile;
		return this.#nodes.every(({state, id}) => state.index >= Math.max(last, this.#acknowledgedIndex) && isMember(membership, id)) && membership.voters.length >= voters
			&& views.every(({commit, leader}) => commit === views[0]!.commit && leader !== undefined);
	}

	#check(condition: boolean, problem: string): void {
		if (!condition) {
			throw new Error(problem);
		}
	}
}
