/** Types of the replicated log: identities, entries, messages, events and effects. */
import type {ControlCommand, LogIndex, LogTime} from '../control/control-command.js';
import type {Branded, InstanceId} from '../ids.js';
import type {Instant} from '../time.js';

/** Identifies a replica: an instance and its storage id. An instance that loses its disk becomes a new replica. */
export type ReplicaId = Branded<string, 'ReplicaId'>;

/** An election term, from 1. */
export type Term = Branded<number, 'Term'>;

/**
 * Creates the id of a replica from an instance and a storage id.
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

/** Replicas that vote, and replicas that only receive entries. */
export type ReplicaMembership = {
	readonly voters: readonly ReplicaId[];
	readonly learners: readonly ReplicaId[];
};

/** Payload of an entry. */
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

/** State that a replica persists besides its log. */
export type HardState = {
	/** Identifies the cluster of the log, set at bootstrap; empty before. */
	readonly cluster: string;
	readonly term: Term;
	readonly vote: ReplicaId | undefined;
	readonly commit: LogIndex;
};

/** The state at one index; replaces the entries up to it. */
export type Snapshot = {
	readonly index: LogIndex;
	readonly term: Term;
	readonly at: LogTime;
	readonly membership: ReplicaMembership;
	/** The snapshot of the state machine, as JSON values. */
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

/** Fields of a leader's message that the reply echoes. */
export type RoundHeader = {
	readonly round: number;
	/** On the leader's clock. */
	readonly sentAt: Instant;
};

/** Entries to append; none in a heartbeat. */
export type AppendMessage = RoundHeader & {
	readonly kind: 'append';
	readonly term: Term;
	readonly previousIndex: LogIndex;
	readonly previousTerm: Term;
	readonly entries: readonly LogEntry[];
	readonly commit: LogIndex;
};

/** A snapshot, sent when the leader has compacted the entries. */
export type SnapshotMessage = RoundHeader & {
	readonly kind: 'snapshot';
	readonly term: Term;
	readonly snapshot: Snapshot;
};

/** The reply to an append or a snapshot. */
export type AppendReply = RoundHeader & {
	readonly kind: 'appendReply';
	readonly term: Term;
	/** Last index that is synced and equal to the leader's; undefined on a mismatch. */
	readonly match: LogIndex | undefined;
	/** Index from which the logs may differ, on a mismatch. */
	readonly conflictIndex: LogIndex;
	/** Term of the entry that differs; 0 when there is none. */
	readonly conflictTerm: Term;
};

/** Input of a replica. */
export type ConsensusEvent =
	| {readonly kind: 'tick'}
	| {readonly kind: 'message'; readonly from: ReplicaId; readonly cluster: string; readonly message: ConsensusMessage}
	/** Every persist up to `sequence` is synced. */
	| {readonly kind: 'persisted'; readonly sequence: number}
	| {readonly kind: 'propose'; readonly proposals: readonly Proposal[]; readonly at: LogTime}
	| {readonly kind: 'read'; readonly id: number}
	/** A replica requested to join. */
	| {readonly kind: 'seen'; readonly replica: ReplicaId}
	/** A snapshot of the state at `index` was taken; the entries up to it may be removed. */
	| {readonly kind: 'compact'; readonly index: LogIndex; readonly state: unknown}
	/** A leader that is shutting down transfers the leadership. */
	| {readonly kind: 'transfer'};

/** A command to append to the log. */
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

/** Output of a replica, to be performed in order. */
export type ConsensusEffect =
	| {readonly kind: 'send'; readonly to: ReplicaId; readonly cluster: string; readonly message: ConsensusMessage}
	| PersistEffect
	| {readonly kind: 'apply'; readonly entries: readonly LogEntry[]}
	| {readonly kind: 'restore'; readonly snapshot: Snapshot}
	/** The command is appended at `index`, not committed yet. */
	| {readonly kind: 'proposed'; readonly id: number; readonly index: LogIndex; readonly term: Term}
	/** The command was not appended to the log. */
	| {readonly kind: 'refused'; readonly id: number; readonly leader: ReplicaId | undefined}
	/** A read observes everything committed before it once `index` is applied. */
	| {readonly kind: 'readable'; readonly id: number; readonly index: LogIndex}
	| {readonly kind: 'unreadable'; readonly id: number}
	| {readonly kind: 'role'; readonly role: ReplicaRole; readonly term: Term; readonly leader: ReplicaId | undefined};

/** Role of a replica in its term. */
export type ReplicaRole = 'follower' | 'candidate' | 'leader';

/** Timings of elections and heartbeats, in milliseconds, and the batch limit. */
export type ConsensusTimings = {
	readonly heartbeatIntervalMs: number;
	/** A replica grants no votes within this time of the last leader contact. */
	readonly minElectionTimeoutMs: number;
	readonly maxElectionTimeoutMs: number;
	/** Lease duration from the send time of the last round that a majority replied to; shorter than `minElectionTimeoutMs`. */
	readonly leaseDurationMs: number;
	/** Gap between two steps above which the lease is suspended: the process may have been paused. */
	readonly pauseThresholdMs: number;
	/** A voter without a reply for this long may be replaced by a learner; never when undefined. */
	readonly voterReplacementTimeoutMs?: number;
	/** A learner without a reply for this long is removed; never when undefined. */
	readonly learnerRemovalTimeoutMs?: number;
	/** Maximum number of entries in one message. */
	readonly maxEntriesPerMessage: number;
};

/** Who leads, as far as a replica knows. */
export type ReplicaLeadership = {
	readonly id: ReplicaId;
	readonly role: ReplicaRole;
	readonly term: Term;
	readonly leader: ReplicaId | undefined;
	/** Whether the replica was in contact with a majority, directly or through a leader, within the maximum election timeout. */
	readonly hearsQuorum: boolean;
};

/** Status of a replica. */
export type ReplicaStatus = ReplicaLeadership & {
	readonly commit: LogIndex;
	readonly lastIndex: LogIndex;
	readonly membership: ReplicaMembership;
	/** Last index known to be synced per other member; empty on followers. */
	readonly matchIndexes: ReadonlyArray<{readonly replica: ReplicaId; readonly match: LogIndex}>;
};
