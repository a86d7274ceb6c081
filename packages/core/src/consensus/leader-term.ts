/** One term of a leader: rounds of appends, the members' answers, reads and the lease. */
import type {LogIndex, LogTime} from '../control/control-command.js';
import type {Instant} from '../time.js';
import {isMember, majorityValue, planMembership} from './membership.js';
import {noteReply, ProgressTable} from './progress.js';
import {ReadBarrier} from './read-barrier.js';
import type {ReplicaStore} from './replica-store.js';
import type {SafetyRules} from './safety-rules.js';
import type {
	AppendReply, ConsensusMessage, ConsensusTimings, Proposal, ReplicaId,
} from './types.js';

/** What a leader's term works with. */
export type LeaderParts = {
	readonly self: ReplicaId;
	readonly store: ReplicaStore;
	readonly rules: SafetyRules;
	readonly timings: ConsensusTimings;
	/** Voters wanted; unbounded when undefined. */
	readonly voters?: number | undefined;
	readonly send: (to: ReplicaId, message: ConsensusMessage) => void;
};

/** The leader's side of the replication. */
export class LeaderTerm {
	readonly #reads = new ReadBarrier();
	readonly #progress = new ProgressTable();
	readonly #seen = new Map<ReplicaId, number>();
	#round = 0;
	#heartbeatDueAt: number;
	#suspectUntilRound = 0;

	/** The leader's own first entry: nothing counts as known before it is accepted. */
	readonly #firstIndex: LogIndex;

	constructor(private readonly parts: LeaderParts, private readonly startedAt: Instant) {
		const {store} = parts;
		this.#heartbeatDueAt = startedAt;
		this.#firstIndex = (store.log.last + 1) as LogIndex;
		store.append([{kind: 'noop'}], store.log.lastAt);
		this.broadcast(startedAt);
	}

	/** Opens a round: sends every member what it lacks, or a heartbeat where entries are on their way. */
	broadcast(now: Instant): void {
		this.#round += 1;
		for (const replica of this.#others()) {
			this.#sendTo(replica, now, !this.#progress.of(replica, this.parts.store.log).busy);
		}
	}

	/** Appends commands and sends them to the members that wait for none. */
	propose(proposals: readonly Proposal[], at: LogTime, now: Instant): void {
		const {store} = this.parts;
		const first = store.log.last + 1;
		store.append(proposals.map(({command}) => ({kind: 'command', command})), at);
		for (const [offset, {id}] of proposals.entries()) {
			store.outbox.push({
				kind: 'proposed', id, index: (first + offset) as LogIndex, term: store.hard.term,
			});
		}

		this.#replicate(now);
	}

	/** Begins a read; it is answered once a majority confirmed the lead. */
	read(id: number, now: Instant): void {
		const {store, rules} = this.parts;
		const index = Math.max(store.hard.commit, this.#firstIndex) as LogIndex;
		this.#reads.add({id, index, round: rules.roundForRead(this.#round + 1)});
		this.broadcast(now);
		this.#releaseReads();
	}

	/** Accepts what a majority has synced, and answers reads that a majority confirmed. */
	advance(now: Instant): void {
		const {store, rules} = this.parts;
		const match = this.#majorityMatch();
		if (match > store.hard.commit && rules.mayCommit(store.log.termAt(match), store.hard.term)) {
			const isUrgent = store.commitTo(match);
			if (isUrgent) {
				this.broadcast(now);
			}
		}

		this.#releaseReads();
	}

	/** Brings a replica that asked to join one step nearer to voting, when a change is allowed. */
	changeMembership(seen: ReadonlyMap<string, ReplicaId>, now: Instant): void {
		const {self, store, rules, voters} = this.parts;
		if (!rules.mayChangeMembership(store.log, store.hard.commit, this.#firstIndex)) {
			return;
		}

		const membership = planMembership(store.log.membership, {
			self, seen, voters, isCurrent: replica => this.#isCurrent(replica, now), isSilent: replica => this.#isSilent(replica, now),
		});
		if (membership !== undefined) {
			store.append([{kind: 'membership', membership}], store.log.lastAt);
			this.#replicate(now);
		}
	}

	/** Gives up the lead: the reads get no answer. */
	resign(): void {
		for (const {id} of this.#reads.takeAll()) {
			this.parts.store.outbox.push({kind: 'unreadable', id});
		}
	}

	/** Opens a round when a heartbeat is due, and sends again what got no answer. */
	tick(now: Instant): void {
		if (now < this.#heartbeatDueAt) {
			return;
		}

		this.#heartbeatDueAt = now + this.parts.timings.heartbeatMs;
		this.#round += 1;
		for (const replica of this.#others()) {
			this.#sendTo(replica, now);
		}
	}

	/** Takes a member's answer. */
	onReply(from: ReplicaId, reply: AppendReply, now: Instant): void {
		if (!isMember(this.parts.store.log.membership, from)) {
			return;
		}

		this.#seen.set(from, now);
		const place = this.#progress.of(from, this.parts.store.log);
		noteReply(place, reply, this.parts.store.log);
		if (place.next <= this.parts.store.log.last) {
			this.#sendTo(from, now);
		}
	}

	/** Whether a majority answered lately enough for the leader to go on. */
	hearsQuorum(now: Instant): boolean {
		return now - Math.max(this.#majoritySentAt(now), this.startedAt) <= this.parts.timings.electionMaxMs;
	}

	/** Until when no other leader can be elected; in the past when unknown. */
	leaseUntil(now: Instant): Instant {
		const held = this.#majorityRound >= this.#suspectUntilRound;
		return (held ? this.#majoritySentAt(now) + this.parts.timings.leaseMs : Number.NEGATIVE_INFINITY) as Instant;
	}

	/** Holds the lease for nothing until a round sent from now on is answered. */
	suspectLease(): void {
		this.#suspectUntilRound = this.#round + 1;
	}

	/** Holds no lease for the rest of the term: a successor may be elected at any time. */
	giveUpLease(): void {
		this.#suspectUntilRound = Number.POSITIVE_INFINITY;
	}

	/** Last index known to be synced at a member. */
	matchOf(replica: ReplicaId): LogIndex {
		return this.#progress.matchOf(replica) as LogIndex;
	}

	get #majorityRound(): number {
		const {self, store: {log}} = this.parts;
		return majorityValue(log.membership, id => id === self ? this.#round : this.#progress.roundOf(id));
	}

	#majorityMatch(): LogIndex {
		const {self, store: {log, syncedIndex}} = this.parts;
		return majorityValue(log.membership, id => id === self ? syncedIndex : this.#progress.matchOf(id)) as LogIndex;
	}

	#releaseReads(): void {
		for (const {id, index} of this.#reads.takeConfirmed(this.#majorityRound)) {
			this.parts.store.outbox.push({kind: 'readable', id, index});
		}
	}

	#replicate(now: Instant): void {
		for (const replica of this.#others()) {
			const place = this.#progress.of(replica, this.parts.store.log);
			if (!place.busy && place.next <= this.parts.store.log.last) {
				this.#sendTo(replica, now);
			}
		}
	}

	#isCurrent(replica: ReplicaId, now: Instant): boolean {
		const heardAt = this.#seen.get(replica) ?? Number.NEGATIVE_INFINITY;
		return this.#progress.matchOf(replica) >= this.parts.store.hard.commit && now - heardAt <= this.parts.timings.electionMinMs;
	}

	#isSilent(replica: ReplicaId, now: Instant): boolean {
		const {silentMs} = this.parts.timings;
		return silentMs !== undefined && now - (this.#seen.get(replica) ?? this.startedAt) > silentMs;
	}

	#majoritySentAt(now: Instant): number {
		const {self, store: {log}} = this.parts;
		return majorityValue(log.membership, id => id === self ? now : this.#progress.ackedSentAtOf(id));
	}

	#others(): readonly ReplicaId[] {
		const {voters, learners} = this.parts.store.log.membership;
		return [...voters, ...learners].filter(id => id !== this.parts.self);
	}

	#sendTo(replica: ReplicaId, now: Instant, withEntries = true): void {
		const {store: {log, hard: {term, commit}}, timings, send} = this.parts;
		const place = this.#progress.of(replica, log);
		const mark = {term, round: this.#round, sentAt: now};
		if (withEntries && place.next <= log.base.index) {
			place.busy = true;
			send(replica, {kind: 'snapshot', ...mark, snapshot: log.base});
			return;
		}

		const previousIndex = Math.max(place.next - 1, log.base.index) as LogIndex;
		const entries = withEntries ? log.slice(place.next, timings.maxBatch) : [];
		place.busy ||= entries.length > 0;
		send(replica, {
			kind: 'append', ...mark, previousIndex, previousTerm: log.termAt(previousIndex)!, entries, commit,
		});
	}
}
