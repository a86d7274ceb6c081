/** Determines which servers are leaving from the platform lists that several instances read. */

/** State of a server in the platform's list. */
export type ServerListEntry = {
	readonly id: string;
	readonly state: 'live' | 'leaving';
	/** Version of the state assigned by the platform, increasing per server; undefined when the list has none. */
	readonly mark: number | undefined;
};

/** The list entries that one instance read, and their staleness. */
export type ServerListView = {
	readonly marks: readonly ServerListEntry[];
	/** Milliseconds since the instance last reported a successful read of the list; 0 while the list is fresh. */
	readonly staleMs: number;
};

const collectLeavingServers = (views: readonly ServerListView[], staleGraceMs: number): Map<string, number | undefined> => {
	const anyFresh = views.some(view => view.staleMs === 0);
	const leaving = new Map<string, number | undefined>();
	for (const view of views) {
		if (anyFresh && view.staleMs > staleGraceMs) {
			continue;
		}

		for (const {id, state, mark} of view.marks) {
			if (state === 'leaving') {
				const known = leaving.get(id);
				leaving.set(id, known === undefined ? mark : Math.max(known, mark ?? known));
			}
		}
	}

	return leaving;
};

/**
 * Merges the views of several instances: a server is leaving while any view reports it, because a list may lag, stop or
 * be unreachable for some instances. A `live` entry with a higher `mark` than every `leaving` entry overrides them; a stale
 * view is ignored after the grace period `staleGraceMs` if there is a fresh one, and stays in effect otherwise.
 *
 * @example
 * mergeLeavingServers([{marks: [{id: 'desk-1', state: 'leaving', mark: undefined}], staleMs: 0}], 30_000).has('desk-1'); // true
 */
export const mergeLeavingServers = (views: readonly ServerListView[], staleGraceMs: number): ReadonlySet<string> => {
	const leaving = collectLeavingServers(views, staleGraceMs);
	for (const {marks} of views) {
		for (const {id, state, mark} of marks) {
			const leavingMark = leaving.get(id);
			if (state === 'live' && mark !== undefined && leavingMark !== undefined && mark > leavingMark) {
				leaving.delete(id);
			}
		}
	}

	return new Set(leaving.keys());
};
