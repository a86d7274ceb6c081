/** Sends notifications of placements to the owners of their pools. */
import {
	POOL_PREFILL_DONE, POOL_RELEASE, POOL_RENEW, POOL_TRANSFER_DONE, PoolNotificationQueue,
} from '@baobabpier/core';
import type {
	Clock, InstanceId, PoolNotification, PoolRenewParams,
} from '@baobabpier/core';
import {CountedLog} from '../counted-log.js';
import {createLog} from '../log.js';
import type {Peers} from '../rpc/peers.js';
import type {RpcNotification} from '../rpc/rpc-client.js';

/** Timeout of a batch, in milliseconds. */
const batchTimeoutMs = 2000;
const log = createLog('places');

const methods: Readonly<Record<PoolNotification['kind'], string>> = {
	renew: POOL_RENEW.method,
	prefillDone: POOL_PREFILL_DONE.method,
	transferDone: POOL_TRANSFER_DONE.method,
	release: POOL_RELEASE.method,
};

const toRpc = ({kind, params}: PoolNotification): RpcNotification => ({method: methods[kind], params});

type Channel = {
	readonly queue: PoolNotificationQueue;
	/** The batch in progress. */
	current: Promise<void>;
	/** The batch that is sent after it; undefined while nothing is queued. */
	next: Promise<void> | undefined;
	/** Sends what waits for other notifications. */
	timer: NodeJS.Timeout | undefined;
};

/**
 * Sends each owner one batch at a time; what is added meanwhile goes with the next one. The slower an owner answers, the fewer calls it gets, so an
 * overloaded one can recover.
 *
 * @example
 * const notifier = new PoolNotifier(peers, clock);
 * await notifier.notify(owner, {kind: 'release', params: {...pool, ...hold}});
 */
export class PoolNotifier {
	readonly #channels = new Map<InstanceId, Channel>();
	readonly #lost = new CountedLog(log, 'A batch of notifications is lost.');

	constructor(private readonly peers: Peers, private readonly clock: Clock) {}

	/** Adds a notification; resolves once its batch is processed or lost. */
	async notify(owner: InstanceId, notification: PoolNotification): Promise<void> {
		const channel = this.#channelTo(owner);
		channel.queue.push(notification, this.clock.now());
		channel.next ??= this.#sendNext(owner, channel);
		return channel.next;
	}

	/** Adds the renewal of placements that the owner knows, which may wait for other notifications. */
	repeatRenewal(owner: InstanceId, renewal: PoolRenewParams): void {
		const channel = this.#channelTo(owner);
		const now = this.clock.now();
		channel.queue.pushRepeatedRenewal(renewal, now);
		if (channel.next === undefined && channel.timer === undefined) {
			channel.timer = setTimeout(() => {
				channel.timer = undefined;
				channel.next ??= this.#sendNext(owner, channel);
			}, channel.queue.dueAt! - now).unref();
		}
	}

	/** Resolves once everything added so far is processed or lost. */
	async flush(): Promise<void> {
		await Promise.all([...this.#channels.values()].map(async ({current, next}) => next ?? current));
	}

	#channelTo(owner: InstanceId): Channel {
		const channel = this.#channels.get(owner) ?? {
			queue: new PoolNotificationQueue(), current: Promise.resolve(), next: undefined, timer: undefined,
		};
		this.#channels.set(owner, channel);
		return channel;
	}

	async #sendNext(owner: InstanceId, channel: Channel): Promise<void> {
		await channel.current;
		channel.next = undefined;
		clearTimeout(channel.timer);
		channel.timer = undefined;
		channel.current = this.#send(owner, channel.queue.takeAll());
		await channel.current;
	}

	async #send(owner: InstanceId, notifications: readonly PoolNotification[]): Promise<void> {
		if (notifications.length === 0) {
			return;
		}

		try {
			await this.peers.get(owner).notify(notifications.map(notification => toRpc(notification)), batchTimeoutMs);
		} catch (error) {
			// The next renewal repeats what is held, and the owner reclaims the rest when its leases expire
			this.#lost.add({owner, notifications: notifications.length, detail: (error as Error).message});
		}
	}
}
