/** Handles a leader's entries and snapshots on a follower. */
import type {LogIndex} from '../control/control-command.js';
import {invariant} from '../invariant.js';
import type {ReplicaStore} from './replica-store.js';
import type {
	AppendMessage, AppendReply, SnapshotMessage, Term,
} from './types.js';

const noConflict = 0 as LogIndex & Term;

/** Creates the reply to a leader's message, with the follower's term. */
export const createAppendReply = ({round, sentAt}: AppendMessage | SnapshotMessage, term: Term, result: Partial<Pick<AppendReply, 'match' | 'conflictIndex' | 'conflictTerm'>>): AppendReply => ({
	kind: 'appendReply', term, round, sentAt, match: result.match, conflictIndex: result.conflictIndex ?? noConflict, conflictTerm: result.conflictTerm ?? noConflict,
});

const findConflict = ({log}: ReplicaStore, {previousIndex, previousTerm}: AppendMessage): {conflictIndex: LogIndex; conflictTerm?: Term} | undefined => {
	if (previousIndex < log.base.index || log.termAt(previousIndex) === previousTerm) {
		return undefined;
	}

	return previousIndex > log.lastIndex
		? {conflictIndex: (log.lastIndex + 1) as LogIndex}
		: {conflictIndex: log.firstIndexOfTerm(previousIndex), conflictTerm: log.termAt(previousIndex)};
};

/** Stores the leader's new entries and advances the commit index to the leader's. */
export const handleAppend = (store: ReplicaStore, message: AppendMessage): AppendReply => {
	const {term} = store.hardState;
	const conflict = findConflict(store, message);
	if (conflict !== undefined) {
		return createAppendReply(message, term, conflict);
	}

	const {previousIndex, entries} = message;
	const firstNew = entries.findIndex(entry => entry.index > store.log.base.index && store.log.termAt(entry.index) !== entry.term);
	if (firstNew !== -1) {
		invariant(entries[firstNew]!.index > store.hardState.commit, 'ACCEPTED_ENTRY_CHANGED', `entry ${entries[firstNew]!.index} is already committed`);
		store.storeEntries(entries.slice(firstNew));
	}

	const match = Math.max(previousIndex + entries.length, store.log.base.index) as LogIndex;
	store.commitTo(Math.min(message.commit, match) as LogIndex);
	return createAppendReply(message, term, {match});
};

/** Installs a snapshot, unless it is behind the local commit index. */
export const handleSnapshot = (store: ReplicaStore, message: SnapshotMessage): AppendReply => {
	if (message.snapshot.index > store.hardState.commit) {
		store.installSnapshot(message.snapshot);
	}

	return createAppendReply(message, store.hardState.term, {match: message.snapshot.index});
};
