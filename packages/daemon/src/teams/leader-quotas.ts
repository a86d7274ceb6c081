/** Decides at the leader whether requests are within the quotas of their teams. */
import {QUOTA_REFUND, QUOTA_TAKE, QuotaTable} from '@baobabpier/core';
import type {
	Clock, QuotaAnswer, QuotaTolerance, Team,
} from '@baobabpier/core';
import type {RpcServer} from '../rpc/rpc-server.js';

/** Dependencies of the quotas at a control instance. */
export type LeaderQuotasParts = {
	readonly clock: Clock;
	/** The term in which this instance is certain to lead; undefined when it doesn't. */
	readonly leadingTerm: () => number | undefined;
	/** Teams of the routing configuration in force; the same array until it changes. */
	readonly teams: () => readonly Team[];
	/** Undefined where accounts hold no more than the burst. */
	readonly tolerance: QuotaTolerance | undefined;
	readonly countDecision: (result: QuotaAnswer['kind']) => void;
};

type TermTable = {
	readonly term: number;
	readonly table: QuotaTable;
	teams: readonly Team[];
};

/**
 * Keeps the accounts of all teams while this instance leads. The accounts of another term are never used.
 *
 * @example
 * quotas.start(rpc);
 */
export class LeaderQuotas {
	#current: TermTable | undefined;

	constructor(private readonly parts: LeaderQuotasParts) {}

	/** Number of teams with a quota; 0 unless this instance leads. */
	get size(): number {
		return this.#leadingTable()?.size ?? 0;
	}

	start(server: RpcServer): void {
		server.registerMethod(QUOTA_TAKE, ({team, cost}) => {
			const answer = this.#requireTable().take(team, cost, this.parts.clock.now());
			this.parts.countDecision(answer.kind);
			return answer;
		});
		server.registerMethod(QUOTA_REFUND, ({team, cost}) => {
			this.#requireTable().refund(team, cost, this.parts.clock.now());
			return {};
		});
	}

	#leadingTable(): QuotaTable | undefined {
		const term = this.parts.leadingTerm();
		if (term === undefined) {
			return undefined;
		}

		const teams = this.parts.teams();
		const now = this.parts.clock.now();
		if (this.#current?.term !== term) {
			this.#current = {term, table: new QuotaTable(teams, this.parts.tolerance, now), teams};
		} else if (this.#current.teams !== teams) {
			this.#current.table.apply(teams, now);
			this.#current.teams = teams;
		}

		return this.#current.table;
	}

	#requireTable(): QuotaTable {
		const table = this.#leadingTable();
		if (table === undefined) {
			throw new Error('this instance does not lead');
		}

		return table;
	}
}
