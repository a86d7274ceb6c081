/** How urgent a call is at a limited server, and what its response can say. */
import type {PermitClass} from '@baobabpier/core';
import type {CallKind, PermitSeeker} from '../transport/types.js';

/** Calls that instances make for themselves; engines free what they hold without them. */
const upkeepKinds: ReadonlySet<CallKind> = new Set<CallKind>(['report', 'release', 'free']);
/** Calls whose responses show the end of a limit: those that a server runs. */
const workKinds: ReadonlySet<CallKind> = new Set<CallKind>(['run', 'prefill', 'engine', 'plain']);

/** Time for which a permit is valid, in milliseconds: a request waits no longer for a connection. */
export const permitTtlMs = 500;

/** The class of a request at a limited server. */
export const permitClassOf = ({kind, isUrgent}: Pick<PermitSeeker, 'isUrgent' | 'kind'>): PermitClass => {
	if (upkeepKinds.has(kind)) {
		return 'upkeep';
	}

	return isUrgent ? 'urgent' : 'patient';
};

/** Whether a response without a limit to a call of this kind ends the limit of its server. */
export const canLiftLimit = (kind: CallKind): boolean => workKinds.has(kind);
