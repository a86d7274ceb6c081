/** One replica of the control log: Raft (Ongaro & Ousterhout 2014) without input, output or clocks. */
import type {LogTime} from '../control/control-command.js';
import {invariant} from '../invariant.js';
import type {Instant} from '../time.js';
import {Election} from './election.js';
import type {ElectionSlot} from './election.js';
import {createAppendReply, handleAppend, handleSnapshot} from './follower-replication.js';
import {LeaderTerm} from './leader-term.js';
import type {ReplicaOptions} from './replica-options.js';
import {ReplicaStore} from './replica-store.js';
import type {RecoveredLog} from './replica-store.js';
import {SafetyRules} from './safety-rules.js';
import {instanceOf} from './types.js';
import type {
	AppendMessage,
	ConsensusEffect,
	ConsensusEvent,
	ConsensusMessage,
	Proposal,
	ReplicaId,
	ReplicaRole,
	ReplicaLeadership,
	ReplicaStatus,
	SnapshotMessage,
	Term,
} from './types.js';

type MessageOf<Kind extends ConsensusMessage['kind']> = Extract<ConsensusMessage, {kind: Kind}>;

/**
 * Implements pre-vote and leader stickiness (Ongaro's thesis 2014, sections 9.6 and 6.4.1), step-down without a
 * majority, single-replica membership changes after an entry of the leader's term is committed (correction of 2015),
 * and read-index reads (6.4).
 *
 * @example
 * const replica = new ConsensusReplica(options, recovered, now);
 * const effects = [...replica.start(), ...replica.step({kind: 'tick'}, now)];
 */
export class ConsensusReplica {
	readonly #options: ReplicaOptions;
	readonly #store: ReplicaStore;
	readonly #rules: SafetyRules;
	readonly #election: Election;
	readonly #joinRequestedAt = new Map<ReplicaId, Instant>();
	#role: ReplicaRole = 'follower';
	#leader: ReplicaId | undefined;
	#leaderTerm: LeaderTerm | undefined;
	#lastLeaderContactAt: Instant;
	#lastStepAt: Instant;

	constructor(options: ReplicaOptions, recovered: RecoveredLog, now: Instant) {
		this.#options = options;
		this.#store = new ReplicaStore(recovered, options.requiresDurableCommit);
		this.#rules = options.rules ?? new SafetyRules();
		// The replica may have replied to a leader right before its restart
		this.#lastLeaderContactAt = now;
		this.#lastStepAt = now;
		this.#election = new Election(options.timings, options.random, () => this.#electionSlot(), now);
	}

	/** Returns the effects that apply the entries known to be committed. */
	start(): readonly ConsensusEffect[] {
		this.#store.replayCommitted();
		return this.#store.effects.takeAll();
	}

	/** Handles an event and returns the effects to perform, in order. */
	step(event: ConsensusEvent, now: Instant): readonly ConsensusEffect[] {
		if (now - this.#lastStepAt > this.#options.timings.pauseThresholdMs) {
			this.#leaderTerm?.suspendLease();
		}

		this.#lastStepAt = now;
		this.#handleEvent(event, now);
		return this.#store.effects.takeAll();
	}

	/** Returns who leads, as far as this replica knows: the part of its status that is asked for with each request. */
	leadership(now: Instant): ReplicaLeadership {
		const isLeaderRecent = now - this.#lastLeaderContactAt <= this.#options.timings.maxElectionTimeoutMs && this.#leader !== undefined;
		return {
			id: this.#options.self,
			role: this.#role,
			term: this.#store.hardState.term,
			leader: this.#leader,
			hearsQuorum: this.#leaderTerm?.isQuorumActive(now) ?? isLeaderRecent,
		};
	}

	/** Returns the status of the replica. */
	status(now: Instant): ReplicaStatus {
		const {membership, lastIndex: last} = this.#store.log;
		const others = [...membership.voters, ...membership.learners].filter(id => id !== this.#options.self);
		return {
			...this.leadership(now),
			commit: this.#store.hardState.commit,
			lastIndex: last,
			membership,
			matchIndexes: this.#leaderTerm === undefined ? [] : others.map(replica => ({replica, match: this.#leaderTerm!.matchIndexOf(replica)})),
		};
	}

	/** When this replica's leader lease expires; in the past when it holds none. */
	leaseExpiresAt(now: Instant): Instant {
		return this.#leaderTerm?.leaseExpiresAt(now) ?? (Number.NEGATIVE_INFINITY as Instant);
	}

	#handleEvent(event: ConsensusEvent, now: Instant): void {
		switch (event.kind) {
			case 'tick': {
				this.#tick(now);
				break;
			}

			case 'message': {
				this.#handleMessage(event.from, event.cluster, event.message, now);
				break;
			}

			case 'persisted': {
				this.#handleSynced(event.sequence, now);
				break;
			}

			case 'propose': {
				this.#propose(event.proposals, event.at, now);
				break;
			}

			case 'read': {
				this.#read(event.id, now);
				break;
			}

			case 'seen': {
				this.#joinRequestedAt.set(event.replica, now);
				break;
			}

			case 'compact': {
				this.#store.compact(event.index, event.state);
				break;
			}

			case 'transfer': {
				this.#leaderTerm?.transferLeadership(now);
				break;
			}
		}
	}

	#tick(now: Instant): void {
		if (this.#leaderTerm !== undefined) {
			this.#tickLeader(this.#leaderTerm, now);
			return;
		}

		if (this.#election.isTimedOut(now) && this.#store.log.membership.voters.includes(this.#options.self)) {
			this.#startPreVote(now);
		}
	}

	#tickLeader(leaderTerm: LeaderTerm, now: Instant): void {
		if (!leaderTerm.isQuorumActive(now)) {
			this.#becomeFollower(this.#store.hardState.term, undefined, now);
			return;
		}

		leaderTerm.changeMembership(this.#recentJoinRequests(now), now);
		leaderTerm.tick(now);
	}

	/** The latest replica of each instance that requests to join; older requests are ignored because the replica may be gone. */
	#recentJoinRequests(now: Instant): ReadonlyMap<string, ReplicaId> {
		const recent = [...this.#joinRequestedAt].filter(([, at]) => now - at <= this.#options.timings.maxElectionTimeoutMs);
		return new Map(recent.toSorted(([, a], [, b]) => a - b).map(([replica]) => [instanceOf(replica), replica]));
	}

	/** The term shifts the slots, so that a replica that can't be elected is not always the first candidate. */
	#electionSlot(): ElectionSlot {
		const {voters} = this.#store.log.membership;
		const rank = voters.toSorted().indexOf(this.#options.self);
		return rank === -1 ? {position: 0, count: 1} : {position: (rank + this.#store.hardState.term) % voters.length, count: voters.length};
	}

	#startPreVote(now: Instant): void {
		this.#setRole('candidate', undefined);
		this.#election.startPhase('preVote', now);
		this.#election.recordVote(this.#options.self, 'preVote');
		this.#sendToVoters({
			kind: 'preVote', term: (this.#store.hardState.term + 1) as Term, lastIndex: this.#store.log.lastIndex, lastTerm: this.#store.log.lastTerm,
		});
		this.#countVotes(now);
	}

	#startElection(now: Instant, transfer: boolean): void {
		this.#setRole('candidate', undefined);
		this.#election.startPhase('vote', now);
		this.#election.awaitOwnVoteSync(this.#store.persistHardState({term: (this.#store.hardState.term + 1) as Term, vote: this.#options.self}));
		this.#sendToVoters({
			kind: 'vote', term: this.#store.hardState.term, lastIndex: this.#store.log.lastIndex, lastTerm: this.#store.log.lastTerm, transfer,
		});
	}

	#countVotes(now: Instant): void {
		if (this.#role !== 'candidate' || !this.#election.isWon(this.#store.log.membership)) {
			return;
		}

		if (this.#election.phase === 'preVote') {
			this.#startElection(now, false);
		} else {
			this.#becomeLeader(now);
		}
	}

	#becomeLeader(now: Instant): void {
		const {self, timings, targetVoterCount: voters} = this.#options;
		this.#election.end();
		this.#setRole('leader', self);
		this.#leaderTerm = new LeaderTerm({
			self,
			store: this.#store,
			rules: this.#rules,
			timings,
			targetVoterCount: voters,
			send: this.#send.bind(this),
		}, now);
	}

	#becomeFollower(term: Term, leader: ReplicaId | undefined, now: Instant): void {
		if (term > this.#store.hardState.term) {
			this.#store.persistHardState({term, vote: undefined});
		}

		this.#leaderTerm?.stepDown();
		this.#leaderTerm = undefined;
		this.#election.end();
		this.#election.resetTimer(now);
		this.#setRole('follower', leader);
	}

	#handleMessage(from: ReplicaId, cluster: string, message: ConsensusMessage, now: Instant): void {
		if (this.#store.hardState.cluster === '' && (message.kind === 'append' || message.kind === 'snapshot')) {
			this.#store.adoptCluster(cluster);
		}

		if (cluster !== this.#store.hardState.cluster || this.#ignoresCandidate(message, now)) {
			return;
		}

		const isTentative = message.kind === 'preVote' || (message.kind === 'preVoteReply' && message.granted);
		if (message.term > this.#store.hardState.term && !isTentative) {
			this.#becomeFollower(message.term, undefined, now);
		}

		this.#dispatchMessage(from, message, now);
	}

	#isLeaderActive(now: Instant): boolean {
		return this.#leaderTerm !== undefined || this.#rules.isLeaderSticky(now - this.#lastLeaderContactAt, this.#options.timings.minElectionTimeoutMs);
	}

	#ignoresCandidate(message: ConsensusMessage, now: Instant): boolean {
		return message.kind === 'vote' && !message.transfer && this.#isLeaderActive(now);
	}

	#dispatchMessage(from: ReplicaId, message: ConsensusMessage, now: Instant): void {
		switch (message.kind) {
			case 'preVote': {
				const granted = message.term > this.#store.hardState.term && !this.#isLeaderActive(now) && this.#rules.isLogUpToDate(this.#store.log, message.lastIndex, message.lastTerm);
				this.#send(from, {kind: 'preVoteReply', term: granted ? message.term : this.#store.hardState.term, granted});
				break;
			}

			case 'vote': {
				this.#handleVote(from, message, now);
				break;
			}

			case 'preVoteReply':
			case 'voteReply': {
				this.#handleVoteReply(from, message, now);
				break;
			}

			case 'append':
			case 'snapshot': {
				this.#handleLeaderMessage(from, message, now);
				break;
			}

			case 'appendReply': {
				if (message.term === this.#store.hardState.term && this.#leaderTerm !== undefined) {
					this.#leaderTerm.handleReply(from, message, now);
					this.#leaderTerm.advanceCommit(now);
				}

				break;
			}

			case 'electNow': {
				if (message.term === this.#store.hardState.term && this.#store.log.membership.voters.includes(this.#options.self)) {
					this.#startElection(now, true);
				}

				break;
			}
		}
	}

	#handleVote(from: ReplicaId, message: MessageOf<'vote'>, now: Instant): void {
		const granted = message.term === this.#store.hardState.term
			&& this.#rules.mayVoteFor(from, this.#store.hardState.vote)
			&& this.#rules.isLogUpToDate(this.#store.log, message.lastIndex, message.lastTerm);
		if (granted && this.#store.hardState.vote !== from) {
			this.#store.persistHardState({vote: from});
			this.#election.resetTimer(now);
		}

		this.#sendAfterSync(from, {kind: 'voteReply', term: this.#store.hardState.term, granted});
	}

	#handleVoteReply(from: ReplicaId, message: MessageOf<'preVoteReply' | 'voteReply'>, now: Instant): void {
		const phase = message.kind === 'preVoteReply' ? 'preVote' : 'vote';
		const term = phase === 'preVote' ? this.#store.hardState.term + 1 : this.#store.hardState.term;
		if (message.granted && message.term === term) {
			this.#election.recordVote(from, phase);
			this.#countVotes(now);
		}
	}

	#handleLeaderMessage(from: ReplicaId, message: AppendMessage | SnapshotMessage, now: Instant): void {
		if (message.term < this.#store.hardState.term) {
			this.#sendAfterSync(from, createAppendReply(message, this.#store.hardState.term, {}));
			return;
		}

		invariant(this.#leaderTerm === undefined, 'TWO_LEADERS', `term ${message.term} has a second leader ${from}`);
		if (this.#role !== 'follower' || this.#leader !== from) {
			this.#becomeFollower(message.term, from, now);
		}

		this.#lastLeaderContactAt = now;
		this.#election.resetTimer(now);
		this.#sendAfterSync(from, message.kind === 'append' ? handleAppend(this.#store, message) : handleSnapshot(this.#store, message));
	}

	#handleSynced(sequence: number, now: Instant): void {
		this.#store.handleSynced(sequence);
		this.#election.handleSynced(sequence, this.#options.self);
		this.#countVotes(now);
		this.#leaderTerm?.advanceCommit(now);
	}

	#propose(proposals: readonly Proposal[], at: LogTime, now: Instant): void {
		this.#leaderTerm?.propose(proposals, at, now);
		for (const {id} of this.#leaderTerm === undefined ? proposals : []) {
			this.#store.effects.push({kind: 'refused', id, leader: this.#leader});
		}
	}

	#read(id: number, now: Instant): void {
		this.#leaderTerm?.read(id, now);
		if (this.#leaderTerm === undefined) {
			this.#store.effects.push({kind: 'unreadable', id});
		}
	}

	#setRole(role: ReplicaRole, leader: ReplicaId | undefined): void {
		if (role === this.#role && leader === this.#leader) {
			return;
		}

		this.#role = role;
		this.#leader = leader;
		this.#store.effects.push({
			kind: 'role', role, term: this.#store.hardState.term, leader,
		});
	}

	#sendToVoters(message: ConsensusMessage): void {
		for (const voter of this.#store.log.membership.voters) {
			if (voter !== this.#options.self) {
				this.#sendAfterSync(voter, message);
			}
		}
	}

	#send(to: ReplicaId, message: ConsensusMessage): void {
		this.#store.effects.push({
			kind: 'send', to, cluster: this.#store.hardState.cluster, message,
		});
	}

	/** Sends a message once the state it depends on is synced. */
	#sendAfterSync(to: ReplicaId, message: ConsensusMessage): void {
		if (!this.#rules.repliesAfterSync()) {
			this.#send(to, message);
			return;
		}

		this.#store.effects.pushAfterSync({
			kind: 'send', to, cluster: this.#store.hardState.cluster, message,
		});
	}
}
