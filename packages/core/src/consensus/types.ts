/** The vocabulary of the replicated log: identities, entries, messages, events and effects. */
import type {ControlCommand, LogIndex, LogTime} from '../control/control-command.js';
import type {Branded, InstanceId} from '../ids.js';
import type {Instant} from '../time.js';

/** A replica: an instance together with one life of its disk. A lost disk makes a new replica. */
export type ReplicaId = Branded<string, 'ReplicaId'>;

/** A term of the election, from 1. */
export type Term = Branded<number, 'Term'>;

/**
 * Names the replica of an instance and a storage id.
 *
 * @example
 * toReplicaId(instance, '9f2c'); // 'bagmati-a-1/9f2c'
 */
export const toReplicaId = (instance: InstanceId, storageId: string): ReplicaId => `${instance}/${storageId}` as ReplicaId;

/**
 * The instance of a replica.
 *
 * @example
 * instanceOf(toReplicaId(instance, '9f2c')) === instance; // True
 */
export const instanceOf = (replica: ReplicaId): InstanceId => replica.slice(0, replica.indexOf('/')) as InstanceId;

/** Who votes and who only receives. */
export type ReplicaMembership = {
	readonly voters: readonly ReplicaId[];
	readonly learners: readonly ReplicaId[];
};

/** What an entry carries. */
export type EntryPayload =
	| {readonly kind: 'noop'}
	| {readonly kind: 'membership'; readonly membership: ReplicaMembership}
	| {readonly kind: 'command'; readonly command: ControlCommand};

/** One entry of the replicated log. */
export type LogEntry = {
	readonly index: LogIndex;
	readonly term: Term;
	readonly at: LogTime;
	readonly payload: EntryPayload;
};

/** What a replica must remember besides its log. */
export type HardState = {
	/** Identifies the log as a whole, from its bootstrap; empty before. */
	readonly cluster: string;
	readonly term: Term;
	readonly vote: ReplicaId | undefined;
	readonly commit: LogIndex;
};

/** The state at one index, in place of the entries up to it. */
export type Snapshot = {
	readonly index: LogIndex;
	readonly term: Term;
	readonly at: LogTime;
	readonly membership: ReplicaMembership;
	/** The state machine's capture, as JSON values. */
	readonly state: unknown;
};

/** A message between replicas. */
export type ConsensusMessage =
	| {readonly kind: 'preVote'; readonly term: Term; readonly lastIndex: LogIndex; readonly lastTerm: Term}
	| {readonly kind: 'preVoteReply'; readonly term: Term; readonly granted: boolean}
	| {readonly kind: 'vote'; readonly term: Term; readonly lastIndex: LogIndex; readonly lastTerm: Term; readonly transfer: boolean}
	| {readonly kind: 'voteReply'; readonly term: Term; readonly granted: boolean}
	| AppendMessage
	| SnapshotMessage
	| AppendReply
	| {readonly kind: 'electNow'; readonly term: Term};

/** What a leader's message carries to be echoed. */
export type RoundHeader = {
	readonly round: number;
	/** On the leader's clock. */
	readonly sentAt: Instant;
};

/** Entries, or none as a heartbeat. */
export type AppendMessage = RoundHeader & {
	readonly kind: 'append';
	readonly term: Term;
	readonly previousIndex: LogIndex;
	readonly previousTerm: Term;
	readonly entries: readonly LogEntry[];
	readonly commit: LogIndex;
};

/** A whole state, where the entries are gone. */
export type SnapshotMessage = RoundHeader & {
	readonly kind: 'snapshot';
	readonly term: Term;
	readonly snapshot: Snapshot;
};

/** The answer to an append or a snapshot. */
export type AppendReply = RoundHeader & {
	readonly kind: 'appendReply';
	readonly term: Term;
	/** Last index that is synced and equal to the leader's; undefined on a mismatch. */
	readonly match: LogIndex | undefined;
	/** Where the logs may begin to differ, on a mismatch. */
	readonly conflictIndex: LogIndex;
	/** Term of the entry that differs; 0 where there is none. */
	readonly conflictTerm: Term;
};

/** What happens to a replica. */
export type ConsensusEvent =
	| {readonly kind: 'tick'}
	| {readonly kind: 'message'; readonly from: ReplicaId; readonly cluster: string; readonly message: ConsensusMessage}
	/** Every persist up to `sequence` is synced. */
	| {readonly kind: 'persisted'; readonly sequence: number}
	| {readonly kind: 'propose'; readonly proposals: readonly Proposal[]; readonly at: LogTime}
	| {readonly kind: 'read'; readonly id: number}
	/** A replica asked to join. */
	| {readonly kind: 'seen'; readonly replica: ReplicaId}
	/** The state at `index` was captured; the entries up to it may go. */
	| {readonly kind: 'compact'; readonly index: LogIndex; readonly state: unknown}
	/** A leader that stops hands over. */
	| {readonly kind: 'transfer'};

/** A command on its way into the log. */
export type Proposal = {
	readonly id: number;
	readonly command: ControlCommand;
};

/** Bytes to make durable, in the order of their sequence numbers. */
export type PersistEffect = {
	readonly kind: 'persist';
	readonly sequence: number;
	readonly hard: HardState;
	/** Replaces everything from the first entry's index on. */
	readonly entries: readonly LogEntry[];
	/** Replaces the log up to its index, or all of it when the log differs there. */
	readonly snapshot: {readonly snapshot: Snapshot; readonly keepsTail: boolean} | undefined;
};

/** What a replica wants done. */
export type ConsensusEffect =
	| {readonly kind: 'send'; readonly to: ReplicaId; readonly cluster: string; readonly message: ConsensusMessage}
	| PersistEffect
	| {readonly kind: 'apply'; readonly entries: readonly LogEntry[]}
	| {readonly kind: 'restore'; readonly snapshot: Snapshot}
	/** The command stands at this place, not yet accepted. */
	| {readonly kind: 'proposed'; readonly id: number; readonly index: LogIndex; readonly term: Term}
	/** The command surely did not enter the log. */
	| {readonly kind: 'refused'; readonly id: number; readonly leader: ReplicaId | undefined}
	/** A read sees everything accepted before it once `index` is applied. */
	| {readonly kind: 'readable'; readonly id: number; readonly index: LogIndex}
	| {readonly kind: 'unreadable'; readonly id: number}
	| {readonly kind: 'role'; readonly role: ReplicaRole; readonly term: Term; readonly leader: ReplicaId | undefined};

/** What a replica is in its term. */
export type ReplicaRole = 'follower' | 'candidate' | 'leader';

/** Times of the election and the heartbeat, in milliseconds. */
export type ConsensusTimings = {
	readonly heartbeatIntervalMs: number;
	/** Nobody votes for another within this time of hearing a leader. */
	readonly minElectionTimeoutMs: number;
	readonly maxElectionTimeoutMs: number;
	/** A leader's lease after the last round that a majority answered; shorter than `electionMinMs`. */
	readonly leaseDurationMs: number;
	/** A gap between two steps from which a lease counts as suspect. */
	readonly pauseThresholdMs: number;
	/** A voter not heard for this long may be replaced by a learner; never when undefined. */
	readonly voterReplacementTimeoutMs?: number;
	/** Entries in one message at most. */
	readonly maxEntriesPerMessage: number;
};

/** A replica as its status shows it. */
export type ReplicaStatus = {
	readonly id: ReplicaId;
	readonly role: ReplicaRole;
	readonly term: Term;
	readonly leader: ReplicaId | undefined;
	readonly commit: LogIndex;
	readonly lastIndex: LogIndex;
	readonly membership: ReplicaMembership;
	/** Last index known to be synced per other member; empty on followers. */
	readonly matchIndexes: ReadonlyArray<{readonly replica: ReplicaId; readonly match: LogIndex}>;
	/** Whether a majority was heard, directly or through a leader, within the election time. */
	readonly hearsQuorum: boolean;
};
