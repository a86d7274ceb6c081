/** The task that exchanges membership rows with peers and reads the platform's list. */
import {
	FLEET_EXCHANGE, Membership, pickPeers,
} from '@baobabpier/core';
import type {
	Clock,
	Fanout,
	InstanceId,
	InstanceLocation,
	MembershipEvent,
	MemberState,
	RandomSource,
} from '@baobabpier/core';
import {createLog} from '../log.js';
import {PlatformWatcher} from '../platform-watcher.js';
import type {ForeignResponseListener} from '../transport/types.js';
import type {Peers} from '../rpc/peers.js';
import type {RpcServer} from '../rpc/rpc-server.js';

const beatMs = 1000;
const callMs = 800;
const settleMs = 3000;
const timings = {suspectTimeoutMs: 5000, deadTimeoutMs: 10_000, staleGraceMs: 30_000} as const;
const beatFanout: Fanout = {local: 2, remote: 1};
const pushFanout: Fanout = {local: 6, remote: 15};
const log = createLog('fleet');

/** What the fleet task needs. */
export type FleetParts = {
	readonly self: InstanceLocation;
	/** Grows with every start of this instance. */
	readonly incarnation: number;
	readonly instances: readonly InstanceLocation[];
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly peers: Peers;
	/** Address of the platform's list. */
	readonly list: string | undefined;
	readonly onLeaving: (leaving: ReadonlySet<string>) => void;
	readonly onDead: (id: InstanceId) => void;
	readonly onForeignResponse?: ForeignResponseListener;
};

/** Knows which instances run and which servers are leaving. */
export class Fleet {
	readonly #membership: Membership;
	readonly #watcher: PlatformWatcher;
	readonly #startedAt: number;
	#timer: NodeJS.Timeout | undefined;
	#informed = false;

	constructor(private readonly parts: FleetParts) {
		this.#startedAt = parts.clock.now();
		this.#membership = new Membership({...parts.self, incarnation: parts.incarnation}, timings, parts.clock.now());
		this.#watcher = new PlatformWatcher(parts.list, {
			onList: entries => {
				this.#informed = true;
				this.#dispatch({kind: 'list', entries});
			},
			onListFailed: () => {
				this.#dispatch({kind: 'listFailed'});
			},
		}, parts.onForeignResponse);
	}

	/** Servers that take no new work. */
	get leaving(): ReadonlySet<string> {
		return this.#membership.leaving;
	}

	/** Whether this instance had the time to learn which servers are leaving. */
	get informed(): boolean {
		return this.#informed || this.parts.list === undefined || this.parts.clock.now() - this.#startedAt > settleMs;
	}

	/** Whether an instance seems to run. */
	stateOf(id: InstanceId): MemberState {
		return this.#membership.stateOf(id, this.parts.clock.now());
	}

	/** The incarnation that an instance last told of. */
	incarnationOf(id: InstanceId): number | undefined {
		return this.#membership.incarnationOf(id);
	}

	/** Registers the exchange and starts the timers. */
	start(server: RpcServer): void {
		server.registerMethod(FLEET_EXCHANGE, ({rows}) => {
			this.#dispatch({kind: 'rows', rows});
			return {rows: this.#membership.rows};
		});
		this.#watcher.start();
		this.#exchange(beatFanout);
		this.#timer = setInterval(() => {
			this.#dispatch({kind: 'tick'});
			this.#exchange(beatFanout);
		}, beatMs);
	}

	async stop(): Promise<void> {
		clearInterval(this.#timer);
		await this.#watcher.stop();
	}

	#dispatch(event: MembershipEvent): void {
		for (const effect of this.#membership.step(event, this.parts.clock.now())) {
			switch (effect.kind) {
				case 'leavingChanged': {
					log('Other servers are leaving now.', {leaving: [...effect.leaving].join(' ')});
					this.parts.onLeaving(effect.leaving);
					break;
				}

				case 'push': {
					this.#exchange(pushFanout);
					break;
				}

				case 'memberChanged': {
					log('An instance changed its state.', {instance: effect.id, state: effect.state});
					if (effect.state === 'dead') {
						this.parts.onDead(effect.id);
					}

					break;
				}
			}
		}
	}

	#exchange(fanout: Fanout): void {
		for (const id of pickPeers(this.parts.self, this.parts.instances, fanout, this.parts.random)) {
			void this.#exchangeWith(id);
		}
	}

	async #exchangeWith(id: InstanceId): Promise<void> {
		try {
			const {rows} = await this.parts.peers.get(id).call(FLEET_EXCHANGE, {rows: this.#membership.rows}, callMs);
			this.#informed = true;
			this.#dispatch({kind: 'rows', rows});
		} catch {
			// The peer is out of reach; the next round picks another
		}
	}
}
