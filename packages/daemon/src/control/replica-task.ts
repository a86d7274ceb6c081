/** Runs this instance's replica: its timer, storage and messages, and the commands that wait for it. */
import {
	ConsensusReplica, toId, toReplicaId,
} from '@baobabpier/core';
import type {
	Clock,
	ConsensusEffect,
	ConsensusEvent,
	ConsensusMessageBatch,
	ControlStateSnapshot,
	ControlCommand,
	ControlCommandKind,
	ControlCommandResults,
	Instant,
	InstanceId,
	LogEntry,
	LogIndex,
	LogTime,
	PersistEffect,
	RandomSource,
	ReplicaId,
	ReplicaLeadership,
	ReplicaStatus,
	Snapshot,
	Term,
} from '@baobabpier/core';
import {createLog} from '../log.js';
import type {Peers} from '../rpc/peers.js';
import type {ReplicaStorage} from '../storage/replica-storage.js';
import type {AppliedLog} from './applied-log.js';
import {
	consensusTimings, snapshotBytes, stalledWriteMs, tickIntervalMs,
} from './control-timings.js';
import {ReplicaMessageQueue} from './replica-message-queue.js';

const log = createLog('replica');
const maxWaiting = 4096;

/** Outcome of a proposed command. */
export type ProposalOutcome =
	| {readonly kind: 'applied'; readonly result: ControlCommandResults[ControlCommandKind]}
	/** The command is certain not to be in the log. */
	| {readonly kind: 'notSubmitted'}
	| {readonly kind: 'unknown'};

type Waiting = {
	readonly resolve: (outcome: ProposalOutcome) => void;
	term: Term | undefined;
};

/** Dependencies of a replica task. */
export type ReplicaParts = {
	readonly self: InstanceId;
	readonly storage: ReplicaStorage;
	readonly peers: Peers;
	readonly applied: AppliedLog;
	readonly clock: Clock;
	readonly random: RandomSource;
	/** Target number of voters; unbounded when undefined. */
	readonly voters?: number | undefined;
	/** Called when the storage failed and the replica stopped; the task is not used again. */
	readonly onFailure: (error: Error) => void;
};

/** Steps the replica and performs its effects, in order. */
export class ReplicaTask {
	readonly id: ReplicaId;
	readonly #messageQueue: ReplicaMessageQueue;
	readonly #waiting = new Map<number, Waiting>();
	readonly #byIndex = new Map<LogIndex, number>();
	readonly #reads = new Map<number, (index: LogIndex | undefined) => void>();
	#replica: ConsensusReplica;
	#timer: NodeJS.Timeout | undefined;
	#proposals: Array<{readonly id: number; readonly command: ControlCommand}> = [];
	#persists: PersistEffect[] = [];
	#isPersisting = false;
	/** When the write in progress began; undefined while there is none, or once its stall was handled. */
	#writeStartedAt: Instant | undefined;
	#persisting: Promise<void> | undefined;
	#isStopped = false;
	#nextId = 1;

	constructor(private readonly parts: ReplicaParts) {
		this.id = toReplicaId(parts.self, parts.storage.storageId);
		this.#messageQueue = new ReplicaMessageQueue(this.id, parts.peers, batch => {
			this.#receive(batch);
		});
		this.#replica = this.#createReplica();
	}

	/** Applies the recovered log and starts to participate. */
	start(): void {
		this.#perform(this.#replica.start());
		this.#timer = setInterval(() => {
			this.step({kind: 'tick'});
			this.#checkStall();
		}, tickIntervalMs);
	}

	/** Who leads, as far as this replica knows. */
	get leadership(): ReplicaLeadership {
		return this.#replica.leadership(this.parts.clock.now());
	}

	/** The replica's state. */
	get view(): ReplicaStatus {
		return this.#replica.status(this.parts.clock.now());
	}

	/** Whether this replica has never been part of a log. */
	get isFresh(): boolean {
		return this.parts.storage.isFresh && this.view.lastIndex === 0 && !this.#isPersisting;
	}

	/** The log's first snapshot and name, while nothing was compacted yet. */
	get beginning(): {readonly cluster: string; readonly snapshot: Snapshot} | undefined {
		const {hard, snapshot} = this.parts.storage.recovered;
		return snapshot.index === 0 && hard.cluster !== '' && snapshot.membership.voters.length > 0 ? {cluster: hard.cluster, snapshot} : undefined;
	}

	/** Creates a log with its first members; only for a replica that has never been part of one. */
	async begin(snapshot: Snapshot, cluster: string): Promise<boolean> {
		if (!this.isFresh || !snapshot.membership.voters.includes(this.id)) {
			return false;
		}

		this.#isPersisting = true;
		try {
			await this.parts.storage.bootstrap(snapshot, cluster);
		} catch (error) {
			this.#fail(error as Error);
			return false;
		}

		this.#isPersisting = false;
		this.#persists = [];
		this.#replica = this.#createReplica();
		log('A control log begins.', {voters: snapshot.membership.voters.length});
		return true;
	}

	/** Handles messages of a peer; returns the replies that are ready in time. */
	async exchange(batch: ConsensusMessageBatch): Promise<{messages: ConsensusMessageBatch['messages']}> {
		return this.#isStopped ? {messages: []} : this.#messageQueue.exchange(batch);
	}

	/** Proposes a command, batched with others of the same event loop turn. */
	async propose(command: ControlCommand, waitMs: number): Promise<ProposalOutcome> {
		if (this.#isStopped || this.#waiting.size >= maxWaiting) {
			return {kind: 'notSubmitted'};
		}

		const id = this.#nextId++;
		if (this.#proposals.length === 0) {
			setImmediate(() => {
				const proposals = this.#proposals;
				this.#proposals = [];
				this.step({kind: 'propose', proposals, at: toId<LogTime>(Date.now())});
			});
		}

		this.#proposals.push({id, command});
		return new Promise<ProposalOutcome>(resolve => {
			const timer = setTimeout(() => {
				this.#settle(id, {kind: 'unknown'});
			}, waitMs);
			this.#waiting.set(id, {
				term: undefined,
				resolve(outcome) {
					clearTimeout(timer);
					resolve(outcome);
				},
			});
		});
	}

	/** Returns the index that a read must observe now; undefined when this replica does not lead. */
	async readIndex(waitMs: number): Promise<LogIndex | undefined> {
		if (this.#isStopped) {
			return undefined;
		}

		const id = this.#nextId++;
		return new Promise(resolve => {
			const timer = setTimeout(() => {
				this.#finishRead(id, undefined);
			}, waitMs);
			this.#reads.set(id, index => {
				clearTimeout(timer);
				resolve(index);
			});
			this.step({kind: 'read', id});
		});
	}

	/** Handles an event, unless the replica has stopped. */
	step(event: ConsensusEvent): void {
		if (!this.#isStopped) {
			this.#perform(this.#replica.step(event, this.parts.clock.now()));
		}
	}

	/** Stops participating. */
	async stop(): Promise<void> {
		this.#end();
		await this.#persisting;
		await this.parts.storage.close();
	}

	#createReplica(): ConsensusReplica {
		const {storage, random, clock, voters} = this.parts;
		const {hard, snapshot, entries} = storage.recovered;
		return new ConsensusReplica({
			self: this.id, timings: consensusTimings, targetVoterCount: voters, random, requiresDurableCommit: ({kind}) => kind === 'catalogue.propose' || kind === 'routing.replace',
		}, {hard, snapshot, entries: [...entries]}, clock.now());
	}

	#receive({from, to, cluster, messages}: ConsensusMessageBatch): void {
		for (const message of to === this.id ? messages : []) {
			this.step({
				kind: 'message', from, cluster, message,
			});
		}
	}

	#perform(effects: readonly ConsensusEffect[]): void {
		for (const effect of effects) {
			this.#performOne(effect);
		}

		if (!this.#isPersisting && this.#persists.length > 0) {
			this.#persisting = this.#persistAll();
		}
	}

	#performOne(effect: ConsensusEffect): void {
		switch (effect.kind) {
			case 'send': {
				this.#messageQueue.send(effect.to, effect.cluster, effect.message);
				break;
			}

			case 'persist': {
				this.#persists.push(effect);
				break;
			}

			case 'apply': {
				this.parts.applied.apply(effect.entries, (entry, result) => {
					this.#noteApplied(entry, result);
				});
				this.#maybeCompact();
				break;
			}

			case 'restore': {
				this.parts.applied.restore(effect.snapshot.state as ControlStateSnapshot);
				break;
			}

			case 'proposed': {
				this.#byIndex.set(effect.index, effect.id);
				const waiting = this.#waiting.get(effect.id);
				if (waiting !== undefined) {
					waiting.term = effect.term;
				}

				break;
			}

			case 'refused': {
				this.#settle(effect.id, {kind: 'notSubmitted'});
				break;
			}

			case 'readable': {
				this.#finishRead(effect.id, effect.index);
				break;
			}

			case 'unreadable': {
				this.#finishRead(effect.id, undefined);
				break;
			}

			case 'role': {
				log('The role changed.', {role: effect.role, term: effect.term, leader: effect.leader});
				break;
			}
		}
	}

	#noteApplied(entry: LogEntry, result: ControlCommandResults[ControlCommandKind] | undefined): void {
		const id = this.#byIndex.get(entry.index);
		if (id === undefined) {
			return;
		}

		this.#byIndex.delete(entry.index);
		// An entry of another term at its index means that the command was dropped
		const isMine = this.#waiting.get(id)?.term === entry.term;
		this.#settle(id, isMine ? {kind: 'applied', result: result!} : {kind: 'notSubmitted'});
	}

	#settle(id: number, outcome: ProposalOutcome): void {
		this.#waiting.get(id)?.resolve(outcome);
		this.#waiting.delete(id);
	}

	#finishRead(id: number, index: LogIndex | undefined): void {
		this.#reads.get(id)?.(index);
		this.#reads.delete(id);
	}

	#maybeCompact(): void {
		if (this.parts.storage.bytesSinceSnapshot > snapshotBytes) {
			const {state} = this.parts.applied;
			this.step({kind: 'compact', index: state.index, state: state.takeSnapshot()});
		}
	}

	/** Makes all pending writes durable with one sync, repeatedly while there are more. */
	async #persistAll(): Promise<void> {
		this.#isPersisting = true;
		while (this.#persists.length > 0 && !this.#isStopped) {
			const batch = this.#persists;
			this.#persists = [];
			this.#writeStartedAt = this.parts.clock.now();
			try {
				// eslint-disable-next-line no-await-in-loop
				await this.parts.storage.persist(batch);
			} catch (error) {
				this.#fail(error as Error);
				return;
			}

			this.#writeStartedAt = undefined;
			this.step({kind: 'persisted', sequence: batch.at(-1)!.sequence});
		}

		this.#isPersisting = false;
	}

	/** A leader whose disk hangs hands over, once for each write; it can't be elected again before it persists its vote. */
	#checkStall(): void {
		if (this.#writeStartedAt !== undefined && this.view.role === 'leader' && this.parts.clock.now() - this.#writeStartedAt > stalledWriteMs) {
			this.#writeStartedAt = undefined;
			log('A write takes too long; the leader hands over.', {limitMs: stalledWriteMs});
			this.step({kind: 'transfer'});
		}
	}

	#fail(error: Error): void {
		log('The replica stops: its storage failed.', {error: error.message, role: this.view.role});
		// A leader that can't write would keep its followers from electing another one until its silence is noticed
		this.step({kind: 'transfer'});
		this.#end();
		void this.parts.storage.close();
		this.parts.onFailure(error);
	}

	/** Stops, and settles what waits: a command that has no place in the log yet is certain not to get one. */
	#end(): void {
		this.#isStopped = true;
		clearInterval(this.#timer);
		const unsubmitted = new Set(this.#proposals.map(({id}) => id));
		for (const id of this.#waiting.keys()) {
			this.#settle(id, {kind: unsubmitted.has(id) ? 'notSubmitted' : 'unknown'});
		}

		for (const id of this.#reads.keys()) {
			this.#finishRead(id, undefined);
		}
	}
}
