/** The task that carries out the planned stops in the control state. */
import {
	isCovered, STOP_CANCEL, STOP_PLAN, STOP_STATUS, STOP_USE, stoppedServers,
} from '@baobabpier/core';
import type {
	ControlLog,
	DeploymentFacts,
	InstanceLocation,
	OrderId,
	PlannedStop,
	StopPlan,
	StopProgress,
	StopUsage,
	StopPlanResult,
} from '@baobabpier/core';
import {createLog} from '../log.js';
import type {Peers} from '../rpc/peers.js';
import type {RpcServer} from '../rpc/rpc-server.js';
import type {Fleet} from './fleet.js';

const driveMs = 500;
const callMs = 1000;
const log = createLog('stop');

/** What the stop driver needs. */
export type StopDriverParts = {
	readonly self: InstanceLocation;
	readonly instances: DeploymentFacts['instances'];
	readonly control: ControlLog;
	readonly fleet: Fleet;
	readonly peers: Peers;
	/** What is in progress on this instance. */
	readonly inProgress: () => number;
	/** What this instance does on an engine or a backend server. */
	readonly usesOf: (server: string) => number;
	/** Other servers are stopped now. */
	readonly onServers: (stopped: ReadonlySet<string>) => void;
	/** A stop of this instance came into force; `isNew` is false when it was there before this instance started. */
	readonly onOwnStop: (stop: PlannedStop, isNew: boolean) => void;
	readonly onOwnStopOver: (orderId: OrderId) => void;
};

/** Watches the stops in force, reports on them and notes when one is over. */
export class StopDriver {
	#stopped: ReadonlySet<string> = new Set();
	#own: PlannedStop | undefined;
	#synced = false;
	#driving = false;
	#timer: NodeJS.Timeout | undefined;
	#teardown: (() => void) | undefined;

	constructor(private readonly parts: StopDriverParts) {}

	/** Servers that stops take away. */
	get stopped(): ReadonlySet<string> {
		return this.#stopped;
	}

	/** Registers the operators' methods and starts the timer. */
	start(server: RpcServer): void {
		server.registerMethod(STOP_PLAN, async plan => this.plan(plan));
		server.registerMethod(STOP_CANCEL, async ({orderId}) => this.parts.control.submit<'stop.cancel'>({kind: 'stop.cancel', orderId}));
		server.registerMethod(STOP_USE, ({orderId}) => this.#useOf(orderId));
		server.registerMethod(STOP_STATUS, async () => {
			await this.#catchUp();
			const stops = await Promise.all(this.#stops.map(async stop => this.#progressOf(stop)));
			return {stops};
		});
		this.#teardown = this.parts.control.registerListener(entry => {
			if (entry === undefined || entry.command.kind.startsWith('stop.') || entry.command.kind === 'catalogue.propose') {
				this.#refresh();
			}
		});
		this.#timer = setInterval(() => {
			void this.#tick();
		}, driveMs);
	}

	stop(): void {
		clearInterval(this.#timer);
		this.#teardown?.();
	}

	/** Plans a stop with the facts that this instance knows. */
	async plan(plan: Omit<StopPlan, 'facts'>): Promise<StopPlanResult> {
		const instances = this.parts.instances.map(({id, dataCentre, replica}) => ({id, dataCentre, replica}));
		const dead = instances.map(({id}) => id).filter(id => this.parts.fleet.stateOf(id) === 'dead');
		return this.parts.control.submit<'stop.plan'>({kind: 'stop.plan', plan: {...plan, facts: {instances, dead}}});
	}

	/**
	 * Notes that this instance is drained; a data centre's stop is over only once all its instances are.
	 * Returns false when the stop was cancelled before: the log's order decides.
	 */
	async completeOwn(orderId: OrderId): Promise<boolean> {
		const stop = this.#stops.find(one => one.orderId === orderId);
		if (stop?.target.kind !== 'dataCentre') {
			return this.#complete(orderId);
		}

		await this.parts.control.barrier();
		return this.#stops.some(one => one.orderId === orderId);
	}

	/** Notes that a stop's drain is over; false when it was cancelled before. */
	async #complete(orderId: OrderId): Promise<boolean> {
		const {found} = await this.parts.control.submit<'stop.complete'>({kind: 'stop.complete', orderId});
		return found;
	}

	/** Brings this instance's copy up to date, so that a stop that was just planned shows; without a quorum it may lag. */
	async #catchUp(): Promise<void> {
		try {
			await this.parts.control.barrier();
		} catch (error) {
			log('The stops may be out of date.', {reason: (error as Error).message});
		}
	}

	get #stops(): readonly PlannedStop[] {
		return this.parts.control.state.stops.stops;
	}

	#refresh(): void {
		const {stops, catalogue} = this.parts.control.state;
		const stopped = stoppedServers(stops.targets, catalogue.current);
		if ([...stopped].join('\n') !== [...this.#stopped].join('\n')) {
			this.#stopped = stopped;
			log('Other servers are stopped now.', {servers: [...stopped].join(' ')});
			this.parts.onServers(stopped);
		}

		this.#refreshOwn(this.#synced);
	}

	#refreshOwn(isNew: boolean): void {
		if (!this.#synced) {
			return;
		}

		const own = this.#stops.find(({target}) => isCovered(target, 'instance', this.parts.self));
		if (own?.orderId === this.#own?.orderId) {
			return;
		}

		if (this.#own !== undefined) {
			this.parts.onOwnStopOver(this.#own.orderId);
		}

		this.#own = own;
		if (own !== undefined) {
			this.parts.onOwnStop(own, isNew);
		}
	}

	async #tick(): Promise<void> {
		if (this.#driving) {
			return;
		}

		this.#driving = true;
		try {
			await (this.#synced ? this.#drive() : this.#sync());
			this.#refresh();
		} catch (error) {
			log('The stops could not be driven.', {reason: (error as Error).message});
		} finally {
			this.#driving = false;
		}
	}

	/** Ends the stops of this instance's earlier life: it is back. */
	async #sync(): Promise<void> {
		await this.parts.control.barrier();
		const earlier = this.#stops.filter(({target}) => target.kind === 'instance' && target.id === this.parts.self.id);
		for (const {orderId} of earlier) {
			// eslint-disable-next-line no-await-in-loop
			await this.parts.control.submit<'stop.cancel'>({kind: 'stop.cancel', orderId});
		}

		await this.parts.control.barrier();
		this.#synced = true;
		this.#refreshOwn(false);
	}

	async #drive(): Promise<void> {
		for (const stop of this.#stops) {
			if (stop.state === 'draining' && this.#drives(stop)) {
				// eslint-disable-next-line no-await-in-loop
				await this.#driveOne(stop);
			}
		}
	}

	/** The first running instance that the stop leaves drives it. */
	#drives({target}: PlannedStop): boolean {
		const candidates = this.parts.instances.filter(instance => !isCovered(target, 'instance', instance) && this.parts.fleet.stateOf(instance.id) === 'alive');
		const [first] = candidates.map(({id}) => id).sort((a, b) => a.localeCompare(b));
		return first === this.parts.self.id;
	}

	async #driveOne(stop: PlannedStop): Promise<void> {
		const {target} = stop;
		const {waitsFor, unheard} = await this.#progressOf(stop);
		const open = unheard.filter(id => {
			const covered = this.parts.instances.some(instance => instance.id === id && isCovered(target, 'instance', instance));
			return !(covered && this.parts.fleet.stateOf(id) === 'dead');
		});
		if (waitsFor.length > 0 || open.length > 0) {
			return;
		}

		// An instance that still runs notes its own end right before it closes
		const covered = this.parts.instances.filter(instance => isCovered(target, 'instance', instance));
		if (covered.every(({id}) => this.parts.fleet.stateOf(id) === 'dead')) {
			await this.#complete(stop.orderId);
		}
	}

	async #progressOf(stop: PlannedStop): Promise<StopProgress> {
		const uses = await Promise.all(this.parts.instances.map(async ({id}) => ({instance: id, use: await this.#ask(id, stop.orderId)})));
		return {
			...stop,
			waitsFor: uses.flatMap(({instance, use}) => use !== undefined && use.inUse > 0 ? [{instance, inUse: use.inUse}] : []),
			unheard: uses.flatMap(({instance, use}) => use?.known === true ? [] : [instance]),
		};
	}

	async #ask(id: InstanceLocation['id'], orderId: OrderId): Promise<StopUsage | undefined> {
		if (id === this.parts.self.id) {
			return this.#useOf(orderId);
		}

		try {
			return await this.parts.peers.get(id).call(STOP_USE, {orderId}, callMs);
		} catch {
			return undefined;
		}
	}

	#useOf(orderId: OrderId): StopUsage {
		const stop = this.#stops.find(one => one.orderId === orderId);
		if (stop === undefined) {
			return {known: false, inUse: 0};
		}

		const servers = [...stoppedServers([stop.target], this.parts.control.state.catalogue.current)];
		const onServers = servers.reduce((sum, server) => sum + this.parts.usesOf(server), 0);
		const own = isCovered(stop.target, 'instance', this.parts.self) ? this.parts.inProgress() : 0;
		return {known: true, inUse: Math.max(own, onServers)};
	}
}
