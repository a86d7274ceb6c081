/** The replicated state machine of the control log: instances that apply the same entries hold the same state. */
import {ClaimTable} from '../ledger/claim-table.js';
import type {ClaimTableLimits, ClaimTableSnapshot} from '../ledger/claim-table.js';
import type {LogEntry} from '../consensus/types.js';
import {toId} from '../ids.js';
import type {ServiceName} from '../ids.js';
import type {LearnedEstimates} from '../placement/learned-estimates.js';
import {QuarantineTable} from '../quarantine/quarantine-table.js';
import type {QuarantineSnapshot} from '../quarantine/quarantine-table.js';
import {ShareTable} from '../shares/share-table.js';
import type {ShareRecord} from '../shares/share-table.js';
import {StopTable} from '../stops/stop-table.js';
import type {StopTableSnapshot} from '../stops/stop-table.js';
import {CatalogueHistory} from './catalogue-history.js';
import type {CatalogueHistorySnapshot} from './catalogue-history.js';
import {RoutingState} from './routing-state.js';
import type {RoutingDocument} from './routing-state.js';
import type {
	ControlEntry,
	ControlCommandResults,
	ControlCommandKind,
	LogIndex,
} from './control-command.js';

/** A snapshot of the whole state at one log index, as JSON values. */
export type ControlStateSnapshot = {
	readonly index: LogIndex;
	readonly catalogue: CatalogueHistorySnapshot;
	/** Absent in snapshots from before routing configurations were stored. */
	readonly routing?: RoutingDocument | undefined;
	readonly claims: ClaimTableSnapshot;
	readonly stops: StopTableSnapshot;
	readonly shares: readonly ShareRecord[];
	/** Absent in snapshots from before learned estimates were stored. */
	readonly learned?: ReadonlyArray<readonly [ServiceName, LearnedEstimates]>;
	/** Absent in snapshots from before quarantines were stored. */
	readonly quarantine?: QuarantineSnapshot;
};

/**
 * Applies log entries in order. It must be deterministic: it reads no clock, no random number and nothing else outside the entries.
 *
 * @example
 * const state = new ControlState(limits);
 * state.apply(entry);
 * state.catalogue.current.revision;
 */
export class ControlState {
	readonly catalogue = new CatalogueHistory();
	readonly routing = new RoutingState();
	readonly claims: ClaimTable;
	readonly stops = new StopTable();
	readonly shares = new ShareTable();
	readonly quarantine = new QuarantineTable();
	readonly #learnedEstimates = new Map<ServiceName, LearnedEstimates>();
	#index = toId<LogIndex>(0);

	constructor(limits: ClaimTableLimits) {
		this.claims = new ClaimTable(limits);
	}

	/** The estimates that the last owner of a service's engines stored; undefined if none were stored. */
	learnedEstimates(service: ServiceName): LearnedEstimates | undefined {
		return this.#learnedEstimates.get(service);
	}

	/** Index of the last applied entry. */
	get index(): LogIndex {
		return this.#index;
	}

	/** Applies the next entry and returns the result of its command. */
	apply({index, at, command}: ControlEntry): ControlCommandResults[ControlCommandKind] {
		this.#index = index;
		this.claims.expire(at);
		switch (command.kind) {
			case 'catalogue.propose': {
				return this.catalogue.propose(command.proposal, at);
			}

			case 'routing.replace': {
				return this.routing.replace(command.document);
			}

			case 'claim.open': {
				return this.claims.claim(command.req, at);
			}

			case 'claim.settle': {
				return {settled: this.claims.settle(command.key, command.requestId, command.outcome)};
			}

			case 'claim.abandon': {
				return {abandoned: this.claims.abandon(command.claimant, command.exceptLife)};
			}

			case 'stop.plan': {
				return this.stops.plan(command.plan, this.catalogue.current, at);
			}

			case 'stop.complete': {
				return {found: this.stops.complete(command.orderId)};
			}

			case 'stop.cancel': {
				const stop = this.stops.cancel(command.orderId);
				return {found: stop !== undefined, stop};
			}

			case 'engines.learned': {
				this.#learnedEstimates.set(command.service, command.figures);
				return {noted: true};
			}

			case 'quarantine.add': {
				return this.quarantine.add(command.entry, at);
			}

			case 'quarantine.lift': {
				return this.quarantine.lift(command.segments);
			}

			case 'share.take': {
				return {taken: this.shares.take(command.take)};
			}

			case 'share.renew': {
				return {renewed: this.shares.renew(command.holder, command.renewals)};
			}

			case 'share.release': {
				return {released: this.shares.release(command.holder)};
			}
		}
	}

	/** Applies the next entry of the replicated log; an entry without a command only advances the index. */
	applyEntry({index, at, payload}: LogEntry): ControlCommandResults[ControlCommandKind] | undefined {
		if (payload.kind === 'command') {
			return this.apply({index, at, command: payload.command});
		}

		this.#index = index;
		return undefined;
	}

	/** Returns a snapshot of the state. */
	takeSnapshot(): ControlStateSnapshot {
		return {
			index: this.#index,
			catalogue: this.catalogue.takeSnapshot(),
			routing: this.routing.current,
			claims: this.claims.takeSnapshot(),
			stops: this.stops.takeSnapshot(),
			shares: this.shares.takeSnapshot(),
			learned: [...this.#learnedEstimates],
			quarantine: this.quarantine.takeSnapshot(),
		};
	}

	/** Replaces the state with the one in a snapshot. */
	restore(snapshot: ControlStateSnapshot): void {
		this.#index = snapshot.index;
		this.catalogue.restore(snapshot.catalogue);
		this.routing.restore(snapshot.routing);
		this.claims.restore(snapshot.claims);
		this.stops.restore(snapshot.stops);
		this.shares.restore(snapshot.shares);
		this.quarantine.restore(snapshot.quarantine);
		this.#learnedEstimates.clear();
		for (const [service, estimates] of snapshot.learned ?? []) {
			this.#learnedEstimates.set(service, estimates);
		}
	}
}
