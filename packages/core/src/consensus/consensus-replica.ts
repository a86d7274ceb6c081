/** One replica of the control log: Raft (Ongaro & Ousterhout 2014) without input, output or clocks. */
import type {LogTime} from '../control/control-command.js';
import {invariant} from '../invariant.js';
import type {Instant} from '../time.js';
import {Campaign} from './campaign.js';
import {replyTo, takeAppend, takeSnapshot} from './follow.js';
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
	ReplicaView,
	SnapshotMessage,
	Term,
} from './types.js';

type MessageOf<Kind extends ConsensusMessage['kind']> = Extract<ConsensusMessage, {kind: Kind}>;

/**
 * Runs pre-vote and leader stickiness (Ongaro's thesis 2014, sections 9.6 and 6.4.1), step-down without a
 * majority, membership change by one replica at a time after an own entry is accepted (correction of 2015),
 * and reads by read index (6.4).
 *
 * @example
 * const replica = new ConsensusReplica(options, recovered, now);
 * const effects = [...replica.start(), ...replica.step({kind: 'tick'}, now)];
 */
export class ConsensusReplica {
	readonly #options: ReplicaOptions;
	readonly #store: ReplicaStore;
	readonly #rules: SafetyRules;
	readonly #campaign: Campaign;
	readonly #seen = new Map<ReplicaId, Instant>();
	#role: ReplicaRole = 'follower';
	#leader: ReplicaId | undefined;
	#leading: LeaderTerm | undefined;
	#heardLeaderAt: Instant;
	#steppedAt: Instant;

	constructor(options: ReplicaOptions, recovered: RecoveredLog, now: Instant) {
		this.#options = options;
		this.#store = new ReplicaStore(recovered, options.isPinned);
		this.#rules = options.rules ?? new SafetyRules();
		// A replica may have answered a leader right before its restart
		this.#heardLeaderAt = now;
		this.#steppedAt = now;
		this.#campaign = new Campaign(options.timings, options.random, now);
	}

	/** The effects that bring the state machine to what is known as accepted. */
	start(): readonly ConsensusEffect[] {
		this.#store.replay();
		return this.#store.outbox.take();
	}

	/** Takes an event and returns what is to be done, in this order. */
	step(event: ConsensusEvent, now: Instant): readonly ConsensusEffect[] {
		if (now - this.#steppedAt > this.#options.timings.freezeMs) {
			this.#leading?.suspectLease();
		}

		this.#steppedAt = now;
		this.#take(event, now);
		return this.#store.outbox.take();
	}

	/** The replica as its status shows it. */
	view(now: Instant): ReplicaView {
		const {membership, last} = this.#store.log;
		const heard = now - this.#heardLeaderAt <= this.#options.timings.electionMaxMs && this.#leader !== undefined;
		const others = [...membership.voters, ...membership.learners].filter(id => id !== this.#options.self);
		return {
			id: this.#options.self,
			role: this.#role,
			term: this.#store.hard.term,
			leader: this.#leader,
			commit: this.#store.hard.commit,
			last,
			membership,
			matches: this.#leading === undefined ? [] : others.map(replica => ({replica, match: this.#leading!.matchOf(replica)})),
			hearsQuorum: this.#leading?.hearsQuorum(now) ?? heard,
		};
	}

	/** Until when this replica surely is the only leader; in the past for all others. */
	leaseUntil(now: Instant): Instant {
		return this.#leading?.leaseUntil(now) ?? (Number.NEGATIVE_INFINITY as Instant);
	}

	#take(event: ConsensusEvent, now: Instant): void {
		switch (event.kind) {
			case 'tick': {
				this.#tick(now);
				break;
			}

			case 'message': {
				this.#receive(event.from, event.cluster, event.message, now);
				break;
			}

			case 'persisted': {
				this.#noteSynced(event.sequence, now);
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
				this.#seen.set(event.replica, now);
				break;
			}

			case 'compact': {
				this.#store.compact(event.index, event.state);
				break;
			}

			case 'transfer': {
				this.#transfer();
				break;
			}
		}
	}

	#tick(now: Instant): void {
		if (this.#leading !== undefined) {
			this.#tickLeader(this.#leading, now);
			return;
		}

		if (this.#campaign.isDue(now) && this.#store.log.membership.voters.includes(this.#options.self)) {
			this.#startPreVote(now);
		}
	}

	#tickLeader(leading: LeaderTerm, now: Instant): void {
		if (!leading.hearsQuorum(now)) {
			this.#follow(this.#store.hard.term, undefined, now);
			return;
		}

		leading.changeMembership(this.#recentlySeen(now), now);
		leading.tick(now);
	}

	/** The latest replica of each instance that asks to join; one that asked long ago may be gone. */
	#recentlySeen(now: Instant): ReadonlyMap<string, ReplicaId> {
		const recent = [...this.#seen].filter(([, at]) => now - at <= this.#options.timings.electionMaxMs);
		return new Map(recent.toSorted(([, a], [, b]) => a - b).map(([replica]) => [instanceOf(replica), replica]));
	}

	#startPreVote(now: Instant): void {
		this.#setRole('candidate', undefined);
		this.#campaign.open('preVote', now);
		this.#campaign.grant(this.#options.self, 'preVote');
		this.#sendToVoters({
			kind: 'preVote', term: (this.#store.hard.term + 1) as Term, lastIndex: this.#store.log.last, lastTerm: this.#store.log.lastTerm,
		});
		this.#countVotes(now);
	}

	#startElection(now: Instant, transfer: boolean): void {
		this.#setRole('candidate', undefined);
		this.#campaign.open('vote', now);
		this.#campaign.expectOwnVote(this.#store.persistHard({term: (this.#store.hard.term + 1) as Term, vote: this.#options.self}));
		this.#sendToVoters({
			kind: 'vote', term: this.#store.hard.term, lastIndex: this.#store.log.last, lastTerm: this.#store.log.lastTerm, transfer,
		});
	}

	#countVotes(now: Instant): void {
		if (this.#role !== 'candidate' || !this.#campaign.isWon(this.#store.log.membership)) {
			return;
		}

		if (this.#campaign.phase === 'preVote') {
			this.#startElection(now, false);
		} else {
			this.#lead(now);
		}
	}

	#lead(now: Instant): void {
		const {self, timings, voters} = this.#options;
		this.#campaign.close();
		this.#setRole('leader', self);
		this.#leading = new LeaderTerm({
			self,
			store: this.#store,
			rules: this.#rules,
			timings,
			voters,
			send: this.#send.bind(this),
		}, now);
	}

	#follow(term: Term, leader: ReplicaId | undefined, now: Instant): void {
		if (term > this.#store.hard.term) {
			this.#store.persistHard({term, vote: undefined});
		}

		this.#leading?.resign();
		this.#leading = undefined;
		this.#campaign.close();
		this.#campaign.postpone(now);
		this.#setRole('follower', leader);
	}

	#receive(from: ReplicaId, cluster: string, message: ConsensusMessage, now: Instant): void {
		if (this.#store.hard.cluster === '' && (message.kind === 'append' || message.kind === 'snapshot')) {
			this.#store.adoptCluster(cluster);
		}

		if (cluster !== this.#store.hard.cluster || this.#ignoresCandidate(message, now)) {
			return;
		}

		const isTentative = message.kind === 'preVote' || (message.kind === 'preVoteReply' && message.granted);
		if (message.term > this.#store.hard.term && !isTentative) {
			this.#follow(message.term, undefined, now);
		}

		this.#dispatch(from, message, now);
	}

	#hearsLeader(now: Instant): boolean {
		return this.#leading !== undefined || this.#rules.keepsLeader(now - this.#heardLeaderAt, this.#options.timings.electionMinMs);
	}

	#ignoresCandidate(message: ConsensusMessage, now: Instant): boolean {
		return message.kind === 'vote' && !message.transfer && this.#hearsLeader(now);
	}

	#dispatch(from: ReplicaId, message: ConsensusMessage, now: Instant): void {
		switch (message.kind) {
			case 'preVote': {
				const granted = message.term > this.#store.hard.term && !this.#hearsLeader(now) && this.#rules.isLogCurrent(this.#store.log, message.lastIndex, message.lastTerm);
				this.#send(from, {kind: 'preVoteReply', term: granted ? message.term : this.#store.hard.term, granted});
				break;
			}

			case 'vote': {
				this.#onVote(from, message, now);
				break;
			}

			case 'preVoteReply':
			case 'voteReply': {
				this.#onVoteReply(from, message, now);
				break;
			}

			case 'append':
			case 'snapshot': {
				this.#onLeader(from, message, now);
				break;
			}

			case 'appendReply': {
				if (message.term === this.#store.hard.term && this.#leading !== undefined) {
					this.#leading.onReply(from, message, now);
					this.#leading.advance(now);
				}

				break;
			}

			case 'electNow': {
				if (message.term === this.#store.hard.term && this.#store.log.membership.voters.includes(this.#options.self)) {
					this.#startElection(now, true);
				}

				break;
			}
		}
	}

	#onVote(from: ReplicaId, message: MessageOf<'vote'>, now: Instant): void {
		const granted = message.term === this.#store.hard.term
			&& this.#rules.mayVoteFor(from, this.#store.hard.vote)
			&& this.#rules.isLogCurrent(this.#store.log, message.lastIndex, message.lastTerm);
		if (granted && this.#store.hard.vote !== from) {
			this.#store.persistHard({vote: from});
			this.#campaign.postpone(now);
		}

		this.#reply(from, {kind: 'voteReply', term: this.#store.hard.term, granted});
	}

	#onVoteReply(from: ReplicaId, message: MessageOf<'preVoteReply' | 'voteReply'>, now: Instant): void {
		const phase = message.kind === 'preVoteReply' ? 'preVote' : 'vote';
		const term = phase === 'preVote' ? this.#store.hard.term + 1 : this.#store.hard.term;
		if (message.granted && message.term === term) {
			this.#campaign.grant(from, phase);
			this.#countVotes(now);
		}
	}

	#onLeader(from: ReplicaId, message: AppendMessage | SnapshotMessage, now: Instant): void {
		if (message.term < this.#store.hard.term) {
			this.#reply(from, replyTo(message, this.#store.hard.term, {}));
			return;
		}

		invariant(this.#leading === undefined, 'TWO_LEADERS', `term ${message.term} has a second leader ${from}`);
		if (this.#role !== 'follower' || this.#leader !== from) {
			this.#follow(message.term, from, now);
		}

		this.#heardLeaderAt = now;
		this.#campaign.postpone(now);
		this.#reply(from, message.kind === 'append' ? takeAppend(this.#store, message) : takeSnapshot(this.#store, message));
	}

	#noteSynced(sequence: number, now: Instant): void {
		this.#store.noteSynced(sequence);
		this.#campaign.noteSynced(sequence, this.#options.self);
		this.#countVotes(now);
		this.#leading?.advance(now);
	}

	#propose(proposals: readonly Proposal[], at: LogTime, now: Instant): void {
		this.#leading?.propose(proposals, at, now);
		for (const {id} of this.#leading === undefined ? proposals : []) {
			this.#store.outbox.push({kind: 'refused', id, leader: this.#leader});
		}
	}

	#read(id: number, now: Instant): void {
		this.#leading?.read(id, now);
		if (this.#leading === undefined) {
			this.#store.outbox.push({kind: 'unreadable', id});
		}
	}

	#transfer(): void {
		const target = this.#store.log.membership.voters.find(id => id !== this.#options.self && this.#leading?.matchOf(id) === this.#store.log.last);
		if (target !== undefined) {
			this.#leading!.giveUpLease();
			this.#send(target, {kind: 'electNow', term: this.#store.hard.term});
		}
	}

	#setRole(role: ReplicaRole, leader: ReplicaId | undefined): void {
		if (role === this.#role && leader === this.#leader) {
			return;
		}

		this.#role = role;
		this.#leader = leader;
		this.#store.outbox.push({
			kind: 'role', role, term: this.#store.hard.term, leader,
		});
	}

	#sendToVoters(message: ConsensusMessage): void {
		for (const voter of this.#store.log.membership.voters) {
			if (voter !== this.#options.self) {
				this.#reply(voter, message);
			}
		}
	}

	#send(to: ReplicaId, message: ConsensusMessage): void {
		this.#store.outbox.push({
			kind: 'send', to, cluster: this.#store.hard.cluster, message,
		});
	}

	/** Sends what rests on this replica's bytes. */
	#reply(to: ReplicaId, message: ConsensusMessage): void {
		if (!this.#rules.answersAfterSync()) {
			this.#send(to, message);
			return;
		}

		this.#store.outbox.pushAfterSync({
			kind: 'send', to, cluster: this.#store.hard.cluster, message,
		});
	}
}
