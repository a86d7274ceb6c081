/** The task that keeps this instance's share leases: promises of peers first, the control log where they lack. */
import {setTimeout as sleep} from 'node:timers/promises';
import {
	ControlUnavailableError, deploymentScope, pickRendezvous, SHARE_PROMISE, ShareLeaseManager, shareKey,
} from '@baobabpier/core';
import type {
	CatalogueSnapshot,
	Clock,
	ControlLog,
	DataCentreId,
	InstanceId,
	InstanceLocation,
	Instant,
	Share,
	ShareEffect,
	ShareId,
	ShareMap,
	ShareStatus,
	ShareRenewal,
	ShareTakeRequest,
} from '@baobabpier/core';
import {createLog} from '../log.js';
import type {Peers} from '../rpc/peers.js';
import type {RpcServer} from '../rpc/rpc-server.js';
import type {Fleet} from './fleet.js';

const tickMs = 1000;
const callMs = 500;
const releaseMs = 1000;
const timings = {holderLeaseMs: 4000, candidateLeaseMs: 5000} as const;
const log = createLog('shares');

/** What the share task needs. */
export type ShareTaskParts = {
	readonly self: InstanceLocation;
	readonly instances: readonly InstanceLocation[];
	readonly control: ControlLog;
	readonly fleet: Fleet;
	readonly peers: Peers;
	readonly clock: Clock;
	/** Whether a planned stop takes an instance away. */
	readonly isStopping: (instance: InstanceLocation) => boolean;
	/** Called after each round: this instance may hold other shares now. */
	readonly onRound: () => void;
};

const engineCentres = (snapshot: CatalogueSnapshot): ShareId[] => [...snapshot.services.values()].flatMap(service => service.kind === 'model'
	? [...new Set(service.engines.map(engine => engine.dataCentre))].map(dataCentre => ({kind: 'engines' as const, service: service.name, dataCentre}))
	: []);

/** Renews, watches and takes over shares. */
export class ShareTask implements ShareMap {
	readonly #keeper: ShareLeaseManager;
	readonly #held = new Set<string>();
	#timer: NodeJS.Timeout | undefined;

	constructor(private readonly parts: ShareTaskParts) {
		this.#keeper = new ShareLeaseManager(parts.self.id, timings, id => parts.control.state.shares.recordOf(id));
	}

	/** The holder of a share; undefined while it does not seem to run, so that nobody waits for it. */
	find(id: ShareId): Share | undefined {
		const keeper = this.#keeper;
		const share = keeper.find(id); // eslint-disable-line unicorn/no-array-callback-reference
		const isUsable = share !== undefined && (share.holder === this.parts.self.id || this.parts.fleet.stateOf(share.holder) === 'alive');
		return isUsable ? share : undefined;
	}

	holds(id: ShareId, now: Instant): boolean {
		return this.#keeper.holds(id, now);
	}

	/** Registers the promise method and starts the rounds. */
	start(server: RpcServer): void {
		server.registerMethod(SHARE_PROMISE, ({renewals}) => ({promised: this.#keeper.promise(renewals, this.parts.clock.now())}));
		this.#timer = setInterval(() => {
			this.round();
		}, tickMs);
	}

	/** Looks at every share that this instance may hold. */
	round(): void {
		const now = this.parts.clock.now();
		const positions = this.#candidacies().map(id => this.#position(id));
		for (const effect of this.#keeper.step({kind: 'tick', statuses: positions}, now)) {
			void this.#perform(effect, now);
		}

		this.#noteHeld(positions, now);
	}

	/** Stops acting on every share and gives them back. */
	async release(): Promise<void> {
		clearInterval(this.#timer);
		this.#keeper.stepDown();
		this.parts.onRound();
		try {
			const released = this.parts.control.submit<'share.release'>({kind: 'share.release', holder: this.parts.self.id});
			await Promise.race([released, sleep(releaseMs, undefined, {ref: false})]);
		} catch (error) {
			log('The shares could not be given back.', {reason: (error as Error).message});
		}
	}

	/** The shares of this data centre, those of data centres without instances, and those of the deployment. */
	#candidacies(): readonly ShareId[] {
		const snapshot = this.parts.control.state.catalogue.current;
		const limits = [...snapshot.services.keys()].flatMap(service => [this.parts.self.dataCentre, deploymentScope].map(dataCentre => ({kind: 'limits' as const, service, dataCentre})));
		return [...limits, ...engineCentres(snapshot)].filter(id => this.#candidates(id.dataCentre).some(instance => instance.id === this.parts.self.id));
	}

	#candidates(dataCentre: DataCentreId): readonly InstanceLocation[] {
		const local = this.parts.instances.filter(instance => instance.dataCentre === dataCentre);
		return local.length > 0 ? local : this.parts.instances;
	}

	#position(id: ShareId): ShareStatus {
		const record = this.parts.control.state.shares.recordOf(id);
		const running = this.#candidates(id.dataCentre).filter(instance => this.#runs(instance));
		return {
			record,
			isHolderAlive: running.some(instance => instance.id === record.holder),
			isPreferred: pickRendezvous(shareKey(id), running.map(instance => instance.id)) === this.parts.self.id,
		};
	}

	#runs(instance: InstanceLocation): boolean {
		return (instance.id === this.parts.self.id || this.parts.fleet.stateOf(instance.id) === 'alive') && !this.parts.isStopping(instance);
	}

	async #perform(effect: ShareEffect, sentAt: Instant): Promise<void> {
		switch (effect.kind) {
			case 'renew': {
				await this.#renew(effect.renewals, sentAt);
				break;
			}

			case 'read': {
				await this.#read(effect.ids);
				break;
			}

			case 'take': {
				await this.#take(effect.take, sentAt);
				break;
			}
		}
	}

	async #renew(renewals: readonly ShareRenewal[], sentAt: Instant): Promise<void> {
		const promised = await this.#askPromises(renewals);
		const byPeers = renewals.filter(renewal => promised(renewal));
		this.#keeper.step({kind: 'renewed', renewals: byPeers, sentAt}, this.parts.clock.now());
		const rest = renewals.filter(renewal => !promised(renewal));
		if (rest.length === 0) {
			return;
		}

		const loggedAt = this.parts.clock.now();
		try {
			const {renewed} = await this.parts.control.submit<'share.renew'>({kind: 'share.renew', holder: this.parts.self.id, renewals: rest});
			this.#keeper.step({kind: 'renewed', renewals: renewed, sentAt: loggedAt}, this.parts.clock.now());
		} catch (error) {
			log('Shares could not be renewed.', {shares: rest.length, reason: (error as Error).message});
		}
	}

	/** Asks every other candidate at once; returns whether all candidates of a share promised it. */
	async #askPromises(renewals: readonly ShareRenewal[]): Promise<(renewal: ShareRenewal) => boolean> {
		const peers = new Set(renewals.flatMap(({id}) => this.#candidates(id.dataCentre).map(instance => instance.id)));
		peers.delete(this.parts.self.id);
		const answers = await Promise.all([...peers].map(async id => [id, await this.#askPeer(id, renewals)] as const));
		const promises = new Map(answers);
		return ({id}) => this.#candidates(id.dataCentre).every(instance => instance.id === this.parts.self.id || promises.get(instance.id)?.has(shareKey(id)));
	}

	async #askPeer(peer: InstanceId, renewals: readonly ShareRenewal[]): Promise<ReadonlySet<string>> {
		const wanted = renewals.filter(({id}) => this.#candidates(id.dataCentre).some(instance => instance.id === peer));
		try {
			const {promised} = await this.parts.peers.get(peer).call(SHARE_PROMISE, {renewals: wanted}, callMs);
			return new Set(promised.map(({id}) => shareKey(id)));
		} catch {
			return new Set();
		}
	}

	async #read(ids: readonly ShareId[]): Promise<void> {
		try {
			await this.parts.control.barrier();
			const records = ids.map(id => this.parts.control.state.shares.recordOf(id));
			this.#keeper.step({kind: 'read', records}, this.parts.clock.now());
		} catch (error) {
			log('The shares could not be read.', {reason: (error as Error).message});
		}
	}

	async #take(take: ShareTakeRequest, sentAt: Instant): Promise<void> {
		const taken = await this.#submitTake(take);
		this.#keeper.step({
			kind: 'takeAnswered', take, sentAt, taken,
		}, this.parts.clock.now());
		if (taken === true) {
			this.round();
		}
	}

	/** Returns undefined when the take may still enter the log. */
	async #submitTake(take: ShareTakeRequest): Promise<boolean | undefined> {
		try {
			const {taken} = await this.parts.control.submit<'share.take'>({kind: 'share.take', take});
			return taken;
		} catch (error) {
			return error instanceof ControlUnavailableError && !error.maybeSubmitted ? false : undefined;
		}
	}

	#noteHeld(positions: readonly ShareStatus[], now: Instant): void {
		let isChanged = false;
		for (const {record: {id, fencing}} of positions) {
			const key = shareKey(id);
			const holds = this.#keeper.holds(id, now);
			if (holds !== this.#held.has(key)) {
				isChanged = true;
				log(holds ? 'A share is held.' : 'A share is no longer held.', {share: key, fencing});
			}

			if (holds) {
				this.#held.add(key);
			} else {
				this.#held.delete(key);
			}
		}

		if (isChanged) {
			this.parts.onRound();
		}
	}
}
