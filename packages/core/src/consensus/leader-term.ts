/** One term of a leader: rounds of appends, replies of the members, reads and the lease. */
import type {LogIndex, LogTime} from '../control/control-command.js';
import type {Instant} from '../time.js';
import {isMember, highestMajorityValue, planMembershipChange} from './replica-membership.js';
import {updateProgress, ProgressTable} from './progress.js';
import {PendingReadQueue} from './pending-read-queue.js';
import type {ReplicaStore} from './replica-store.js';
import type {SafetyRules} from './safety-rules.js';
import type {
	AppendReply, ConsensusMessage, ConsensusTimings, Proposal, ReplicaId, ReplicaMembership,
} from './types.js';

/** Options and dependencies of a leader's term. */
export type LeaderTermOptions = {
	readonly self: ReplicaId;
	readonly store: ReplicaStore;
	readonly rules: SafetyRules;
	readonly timings: ConsensusTimings;
	/** Desired number of voters; unbounded when undefined. */
	readonly targetVoterCount?: number | undefined;
	readonly send: (to: ReplicaId, message: ConsensusMessage) => void;
};

/** The leader's side of replication. */
export class LeaderTerm {
	readonly #pendingReads = new PendingReadQueue();
	readonly #progress = new ProgressTable();
	readonly #lastReplyAt = new Map<ReplicaId, number>();
	/** When a member was added in this term. */
	readonly #addedAt = new Map<ReplicaId, number>();
	#round = 0;
	#heartbeatDueAt: number;
	#leaseSuspendedUntilRound = 0;

	/** Index of the first entry of this term; the commit index is not reliable for reads and membership changes before it is committed. */
	readonly #termStartIndex: LogIndex;

	constructor(private readonly options: LeaderTermOptions, private readonly startedAt: Instant) {
		const {store} = options;
		this.#heartbeatDueAt = startedAt;
		this.#termStartIndex = (store.log.lastIndex + 1) as LogIndex;
		store.append([{kind: 'noop'}], store.log.lastTime);
		this.broadcast(startedAt);
	}

	/** Starts a round: sends every member its missing entries, or a heartbeat when entries are in flight. */
	broadcast(now: Instant): void {
		this.#round += 1;
		for (const replica of this.#otherMembers()) {
			this.#sendAppend(replica, now, !this.#progress.getOrCreate(replica, this.options.store.log).hasEntriesInFlight);
		}
	}

	/** Appends commands and sends them to the members without entries in flight. */
	propose(proposals: readonly Proposal[], at: LogTime, now: Instant): void {
		const {store} = this.options;
		const first = store.log.lastIndex + 1;
		store.append(proposals.map(({command}) => ({kind: 'command', command})), at);
		for (const [offset, {id}] of proposals.entries()) {
			store.effects.push({
				kind: 'proposed', id, index: (first + offset) as LogIndex, term: store.hardState.term,
			});
		}

		this.#replicate(now);
	}

	/** Starts a read; it completes once a majority confirms the leadership. */
	read(id: number, now: Instant): void {
		const {store, rules} = this.options;
		const index = Math.max(store.hardState.commit, this.#termStartIndex) as LogIndex;
		this.#pendingReads.add({id, index, round: rules.roundForRead(this.#round + 1)});
		this.broadcast(now);
		this.#releaseReads();
	}

	/** Commits the entries that a majority has synced, and completes the reads that a majority confirmed. */
	advanceCommit(now: Instant): void {
		const {store, rules} = this.options;
		const matchIndex = this.#majorityMatchIndex();
		if (matchIndex > store.hardState.commit && rules.mayCommit(store.log.termAt(matchIndex), store.hardState.term)) {
			const hasDurableCommand = store.commitTo(matchIndex);
			if (hasDurableCommand) {
				this.broadcast(now);
			}
		}

		this.#releaseReads();
	}

	/** Appends the next planned membership change, when a change is allowed. */
	changeMembership(joinRequests: ReadonlyMap<string, ReplicaId>, now: Instant): void {
		const {
			self, store, rules, timings, targetVoterCount: voters,
		} = this.options;
		if (!rules.mayChangeMembership(store.log, store.hardState.commit, this.#termStartIndex)) {
			return;
		}

		const membership = planMembershipChange(store.log.membership, {
			self,
			joinRequests,
			targetVoterCount: voters,
			isCaughtUp: replica => this.#isCaughtUp(replica, now),
			silentMs: replica => this.#silentMs(replica, now),
			voterReplacementTimeoutMs: timings.voterReplacementTimeoutMs,
			learnerRemovalTimeoutMs: timings.learnerRemovalTimeoutMs,
		});
		if (membership !== undefined) {
			this.#trackMembers(membership, now);
			store.append([{kind: 'membership', membership}], store.log.lastTime);
			this.#replicate(now);
		}
	}

	/** Ends the term: pending reads fail. */
	stepDown(): void {
		for (const {id} of this.#pendingReads.takeAll()) {
			this.options.store.effects.push({kind: 'unreadable', id});
		}
	}

	/** Starts a round when a heartbeat is due, and resends unacknowledged entries to the members that reply: others get a heartbeat, to which they reply once they are back. */
	tick(now: Instant): void {
		if (now < this.#heartbeatDueAt) {
			return;
		}

		this.#heartbeatDueAt = now + this.options.timings.heartbeatIntervalMs;
		this.#round += 1;
		for (const replica of this.#otherMembers()) {
			this.#sendAppend(replica, now, this.#silentMs(replica, now) <= this.options.timings.maxElectionTimeoutMs);
		}
	}

	/** Handles a member's reply. */
	handleReply(from: ReplicaId, reply: AppendReply, now: Instant): void {
		if (!isMember(this.options.store.log.membership, from)) {
			return;
		}

		this.#lastReplyAt.set(from, now);
		const progress = this.#progress.getOrCreate(from, this.options.store.log);
		updateProgress(progress, reply, this.options.store.log);
		if (progress.nextIndex <= this.options.store.log.lastIndex) {
			this.#sendAppend(from, now);
		}
	}

	/** Whether a majority replied within the election timeout, so that the leader need not step down. */
	isQuorumActive(now: Instant): boolean {
		return now - Math.max(this.#majorityAckedSentAt(now), this.startedAt) <= this.options.timings.maxElectionTimeoutMs;
	}

	/** Until when no other leader can be elected; in the past when no lease is held. */
	leaseExpiresAt(now: Instant): Instant {
		const isHeld = this.#majorityAckedRound >= this.#leaseSuspendedUntilRound;
		return (isHeld ? this.#majorityAckedSentAt(now) + this.options.timings.leaseDurationMs : Number.NEGATIVE_INFINITY) as Instant;
	}

	/** Suspends the lease until a majority replies to a round sent from now on. */
	suspendLease(): void {
		this.#leaseSuspendedUntilRound = this.#round + 1;
	}

	/**
	 * Requests a voter that replied lately and has the most synced entries to start an election. It may lack the newest entries,
	 * and is elected only if a majority has no more. Relinquishes the lease for the rest of the term: the successor may lead at any time.
	 */
	transferLeadership(now: Instant): void {
		const {self, store: {log, hardState}, timings, send} = this.options;
		const responsive = log.membership.voters.filter(id => id !== self && now - (this.#lastReplyAt.get(id) ?? Number.NEGATIVE_INFINITY) <= timings.minElectionTimeoutMs);
		const [successor] = responsive.toSorted((a, b) => this.matchIndexOf(b) - this.matchIndexOf(a));
		if (successor !== undefined) {
			this.#leaseSuspendedUntilRound = Number.POSITIVE_INFINITY;
			send(successor, {kind: 'electNow', term: hardState.term});
		}
	}

	/** Last index known to be synced at a member. */
	matchIndexOf(replica: ReplicaId): LogIndex {
		return this.#progress.matchIndexOf(replica) as LogIndex;
	}

	get #majorityAckedRound(): number {
		const {self, store: {log}} = this.options;
		return highestMajorityValue(log.membership, id => id === self ? this.#round : this.#progress.ackedRoundOf(id));
	}

	#majorityMatchIndex(): LogIndex {
		const {self, store: {log, syncedIndex}} = this.options;
		return highestMajorityValue(log.membership, id => id === self ? syncedIndex : this.#progress.matchIndexOf(id)) as LogIndex;
	}

	#releaseReads(): void {
		for (const {id, index} of this.#pendingReads.takeConfirmed(this.#majorityAckedRound)) {
			this.options.store.effects.push({kind: 'readable', id, index});
		}
	}

	#replicate(now: Instant): void {
		for (const replica of this.#otherMembers()) {
			const progress = this.#progress.getOrCreate(replica, this.options.store.log);
			if (!progress.hasEntriesInFlight && progress.nextIndex <= this.options.store.log.lastIndex) {
				this.#sendAppend(replica, now);
			}
		}
	}

	#isCaughtUp(replica: ReplicaId, now: Instant): boolean {
		const lastReplyAt = this.#lastReplyAt.get(replica) ?? Number.NEGATIVE_INFINITY;
		return this.#progress.matchIndexOf(replica) >= this.options.store.hardState.commit && now - lastReplyAt <= this.options.timings.minElectionTimeoutMs;
	}

	/** Time since a member's last reply, or since it could have replied for the first time in this term. */
	#silentMs(replica: ReplicaId, now: Instant): number {
		return now - (this.#lastReplyAt.get(replica) ?? this.#addedAt.get(replica) ?? this.startedAt);
	}

	/** Forgets removed members: one that is added again starts anew. */
	#trackMembers(next: ReplicaMembership, now: Instant): void {
		const {membership} = this.options.store.log;
		for (const replica of [...next.voters, ...next.learners]) {
			if (!isMember(membership, replica)) {
				this.#addedAt.set(replica, now);
			}
		}

		for (const replica of [...membership.voters, ...membership.learners]) {
			if (!isMember(next, replica)) {
				this.#addedAt.delete(replica);
				this.#lastReplyAt.delete(replica);
				this.#progress.remove(replica);
			}
		}
	}

	#majorityAckedSentAt(now: Instant): number {
		const {self, store: {log}} = this.options;
		return highestMajorityValue(log.membership, id => id === self ? now : this.#progress.ackedRoundSentAtOf(id));
	}

	#otherMembers(): readonly ReplicaId[] {
		const {voters, learners} = this.options.store.log.membership;
		return [...voters, ...learners].filter(id => id !== this.options.self);
	}

	#sendAppend(replica: ReplicaId, now: Instant, withEntries = true): void {
		const {store: {log, hardState: {term, commit}}, timings, send} = this.options;
		const progress = this.#progress.getOrCreate(replica, log);
		const header = {term, round: this.#round, sentAt: now};
		if (withEntries && progress.nextIndex <= log.base.index) {
			progress.hasEntriesInFlight = true;
			send(replica, {kind: 'snapshot', ...header, snapshot: log.base});
			return;
		}

		const previousIndex = Math.max(progress.nextIndex - 1, log.base.index) as LogIndex;
		const entries = withEntries ? log.slice(progress.nextIndex, timings.maxEntriesPerMessage) : [];
		progress.hasEntriesInFlight ||= entries.length > 0;
		send(replica, {
			kind: 'append', ...header, previousIndex, previousTerm: log.termAt(previousIndex)!, entries, commit,
		});
	}
}
