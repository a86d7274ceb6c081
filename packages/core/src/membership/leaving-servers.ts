/** Which servers are leaving, from what several instances read on the platform's list. */

/** What one reading of the platform's list says of a server. */
export type ServerListEntry = {
	readonly id: string;
	readonly state: 'live' | 'leaving';
	/** The platform's own number of the mark, growing per server; undefined where the list has none. */
	readonly mark: number | undefined;
};

/** The marks that one instance read, and how old they are. */
export type ServerListView = {
	readonly marks: readonly ServerListEntry[];
	/** Milliseconds since the instance behind this view last said that it reads the list; 0 while it does. */
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
 * Merges the views of several instances: a server is leaving while any view says so, because a list may lag, stop or
 * be out of reach of some instances. A `live` mark with a higher number than every `leaving` one overrules them; a view
 * that went stale is overruled by fresh ones after `keepMs`, and stands while there is no fresh one.
 *
 * @example
 * mergeLeaving([{marks: [{id: 'desk-1', state: 'leaving', mark: undefined}], staleMs: 0}], 30_000).has('desk-1'); // true
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
