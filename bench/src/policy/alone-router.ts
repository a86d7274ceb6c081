/** Entry instances that choose alone from lagging reports: the baselines. */
import {
	addMs, BucketedEngineIndex, toHold, toId,
} from '@baobabpier/core';
import type {
	AttemptNumber, DataCentreId, EngineId, EngineView, InstanceId, PlacementDecision, PlacementPolicy, RequestId, ServiceName,
} from '@baobabpier/core';
import type {FakeDecodeEngine, FakePrefillEngine, KvResult} from './fake-engines.js';
import type {
	Entry, Flight, Router, World,
} from './world.js';

const reportMs = 250;
const retryMs = 50;
const maxAttempts = 3;

/** How entry instances choose alone. */
export type AlonePlan = {
	readonly createPolicy: () => PlacementPolicy;
	/** Whether an instance adds its own requests since the last report to the reported load. */
	readonly countsOwn: boolean;
	/** Whether memory is reserved before the prefill is ordered. */
	readonly reservesFirst: boolean;
};

type Own = {
	readonly pieces: number;
	readonly tokens: number;
	readonly streams: number;
};

type Chooser = {
	readonly entry: Entry;
	readonly policy: PlacementPolicy;
	readonly index: BucketedEngineIndex;
	/** The last report of each engine. */
	readonly reported: Map<string, EngineView>;
	/** Own work ordered since each engine's last report. */
	readonly own: Map<string, Own>;
};

type Reserve = Extract<PlacementDecision, {kind: 'reserve'}>;

type Attempt = {
	readonly flight: Flight;
	readonly chooser: Chooser;
	readonly number: number;
	readonly hold: string;
	readonly prefill: FakePrefillEngine;
	decode: FakeDecodeEngine;
};

const noOwn: Own = {pieces: 0, tokens: 0, streams: 0};

/** Routes flights by each entry instance's own choice. */
export class AloneRouter implements Router {
	readonly #choosers: readonly Chooser[];
	readonly #unlisted = new Set<string>();

	constructor(private readonly world: World, private readonly plan: AlonePlan) {
		this.#choosers = world.entries.map(entry => ({
			entry, policy: plan.createPolicy(), index: new BucketedEngineIndex(), reported: new Map(), own: new Map(),
		}));
		this.#report(0);
		world.events.repeat(reportMs, world.endMs, () => {
			this.#report(world.reportLagMs);
		});
	}

	arrive(flight: Flight, entry: Entry): void {
		this.#attempt(flight, this.#choosers[entry.index]!, 1);
	}

	engineUnlisted(engine: string): void {
		this.#unlisted.add(engine);
		for (const {index} of this.#choosers) {
			index.delete(toId<EngineId>(engine));
		}
	}

	instanceLost(): void {
		// Nobody else depends on a lost instance
	}

	#report(lagMs: number): void {
		const base = {
			address: '', dataCentre: toId<DataCentreId>(''), maxStreams: Number.POSITIVE_INFINITY, reportedAt: this.world.events.now(), incarnation: undefined, leaving: false,
		};
		const views: EngineView[] = [
			...this.world.prefills.filter(({alive}) => alive).map(({id, queuedTokens}) => ({
				...base, id: toId<EngineId>(id), role: 'prefill' as const, pieces: 1, freePieces: 1, queuedTokens, running: 0,
			})),
			...this.world.decodes.filter(({alive}) => alive).map(({id, pieces, freePieces, running}) => ({
				...base, id: toId<EngineId>(id), role: 'decode' as const, pieces, freePieces, queuedTokens: 0, running,
			})),
		];
		this.world.events.schedule(lagMs, () => {
			for (const chooser of this.#choosers) {
				for (const view of views.filter(({id}) => !this.#unlisted.has(id))) {
					chooser.reported.set(view.id, view);
					chooser.own.delete(view.id);
					chooser.index.set(view);
				}
			}
		});
	}

	#countOwn(chooser: Chooser, id: string, more: Partial<Own>): void {
		const view = chooser.reported.get(id);
		if (!this.plan.countsOwn || view === undefined || this.#unlisted.has(id)) {
			return;
		}

		const own = chooser.own.get(id) ?? noOwn;
		const sum = {pieces: own.pieces + (more.pieces ?? 0), tokens: own.tokens + (more.tokens ?? 0), streams: own.streams + (more.streams ?? 0)};
		chooser.own.set(id, sum);
		chooser.index.set({
			...view, freePieces: Math.max(0, view.freePieces - sum.pieces), queuedTokens: view.queuedTokens + sum.tokens, running: view.running + sum.streams,
		});
	}

	#choose(flight: Flight, chooser: Chooser, number: number): Reserve | undefined {
		const now = this.world.events.now();
		const decision = chooser.policy.decide({
			...toHold(toId<RequestId>(flight.id), toId<AttemptNumber>(number)),
			service: toId<ServiceName>(''),
			class: flight.req.class,
			holder: toId<InstanceId>(''),
			promptTokens: flight.req.promptTokens,
			maxTokens: flight.req.maxTokens,
			pieces: flight.pieces,
			prefix: '',
			deadline: addMs(now, flight.queueMs),
			excluded: [],
		}, chooser.index, now);
		return decision.kind === 'reserve' ? decision : undefined;
	}

	#attempt(flight: Flight, chooser: Chooser, number: number): void {
		if (!chooser.entry.alive || this.#isOver(flight)) {
			return;
		}

		if (number > maxAttempts) {
			flight.outcome = 'failed';
			return;
		}

		const choice = this.#choose(flight, chooser, number);
		if (choice === undefined) {
			this.world.events.schedule(retryMs, () => {
				this.#attempt(flight, chooser, number);
			});
			return;
		}

		const attempt: Attempt = {
			flight,
			chooser,
			number,
			hold: `${flight.id}/${number}`,
			prefill: this.world.prefills.find(({id}) => id === choice.prefill.id)!,
			decode: this.world.decodes.find(({id}) => id === choice.decode.id)!,
		};
		this.#countOwn(chooser, attempt.prefill.id, {tokens: flight.req.promptTokens});
		if (this.plan.reservesFirst) {
			this.#reserve(attempt, () => false, () => {
				this.#prefill(attempt);
			});
		} else {
			this.#prefill(attempt);
		}
	}

	/** A request that has waited for longer than it may is over. */
	#isOver(flight: Flight): boolean {
		if (flight.outcome === 'pending' && flight.firstAtMs === undefined && this.world.events.now() - flight.req.atMs > flight.queueMs) {
			flight.outcome = 'refused';
		}

		return flight.outcome !== 'pending';
	}

	/** Tries to reserve memory on one engine after another until there is some or the attempt is over. */
	#reserve(attempt: Attempt, isLost: () => boolean, reserved: () => void): void {
		const {flight, chooser} = attempt;
		const hopMs = this.world.hopMs(chooser.entry.dataCentre, attempt.decode.dataCentre);
		this.#countOwn(chooser, attempt.decode.id, {pieces: flight.pieces, streams: 1});
		this.world.events.schedule(hopMs, () => {
			const ok = attempt.decode.reserve(attempt.hold, flight.pieces);
			this.world.events.schedule(hopMs, () => {
				if (!chooser.entry.alive) {
					attempt.decode.free(attempt.hold);
				} else if (ok) {
					reserved();
				} else if (isLost()) {
					this.#attempt(flight, chooser, attempt.number + 1);
				} else if (!this.#isOver(flight)) {
					this.world.events.schedule(retryMs, () => {
						const choice = this.#choose(flight, chooser, attempt.number);
						attempt.decode = this.world.decodes.find(({id}) => id === choice?.decode.id) ?? attempt.decode;
						this.#reserve(attempt, isLost, reserved);
					});
				}
			});
		});
	}

	#prefill(attempt: Attempt): void {
		const {flight, chooser} = attempt;
		const {entry} = chooser;
		this.world.events.schedule(Math.max(0, (flight.req.atMs + flight.queueMs) - this.world.events.now()), () => {
			this.#isOver(flight);
		});
		this.world.prefill(flight, entry, attempt.prefill, kv => {
			if (!entry.alive || flight.outcome !== 'pending') {
				attempt.decode.free(attempt.hold);
			} else if (kv === undefined) {
				attempt.decode.free(attempt.hold);
				this.#attempt(flight, chooser, attempt.number + 1);
			} else if (this.plan.reservesFirst) {
				this.#transfer(attempt, kv);
			} else {
				this.#reserve(attempt, () => kv.expired, () => {
					this.#transfer(attempt, kv);
				});
			}
		});
	}

	#transfer(attempt: Attempt, kv: KvResult): void {
		const {flight, chooser, decode, hold} = attempt;
		const {entry} = chooser;
		this.world.transfer(entry, attempt.prefill, kv, ok => {
			if (!ok || !entry.alive) {
				decode.free(hold);
				this.#attempt(flight, chooser, attempt.number + 1);
				return;
			}

			this.world.decode({flight, hold, entry}, decode, end => {
				decode.free(hold);
				if (end === 'complete') {
					flight.outcome = 'complete';
				} else {
					this.#attempt(flight, chooser, attempt.number + 1);
				}
			});
		});
	}
}
