/** Identifies the team of a request by the digest of its key. */
import type {KeyDigest} from '../ids.js';
import type {Team} from './types.js';

/** Who sends a request. */
export type CallerIdentity =
	| {readonly kind: 'team'; readonly team: Team}
	/** The route is open to everyone. */
	| {readonly kind: 'anonymous'}
	/** The key is missing or unknown. */
	| {readonly kind: 'rejected'};

/**
 * The teams of one routing configuration.
 *
 * @example
 * const teams = new TeamIndex(table.teams);
 * teams.identify(digest, route.isOpen).kind; // 'rejected' for an unknown key
 */
export class TeamIndex {
	readonly #byKey = new Map<KeyDigest, Team>();

	constructor(teams: readonly Team[]) {
		for (const team of teams) {
			for (const key of team.keys) {
				this.#byKey.set(key, team);
			}
		}
	}

	/** An unknown key is rejected on an open route too: its holder was a caller of a team, or never one. */
	identify(key: KeyDigest | undefined, isOpenRoute: boolean): CallerIdentity {
		const team = key === undefined ? undefined : this.#byKey.get(key);
		if (team !== undefined) {
			return {kind: 'team', team};
		}

		return key === undefined && isOpenRoute ? {kind: 'anonymous'} : {kind: 'rejected'};
	}
}
