/** Keeps this instance's replica running: opens its storage, and opens it again after a failure. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {
	Clock, InstanceId, RandomSource, ReplicaMembership,
} from '@baobabpier/core';
import {createLog} from '../log.js';
import type {Peers} from '../rpc/peers.js';
import type {FileSystem} from '../storage/file-system.js';
import {ReplicaStorage} from '../storage/replica-storage.js';
import type {ConfirmedLength} from '../storage/replica-storage.js';
import {StorageError} from '../storage/storage-error.js';
import type {AppliedLog} from './applied-log.js';
import {
	damagedReopenDelayMs, failureLogIntervalMs, initialReopenDelayMs, maxReopenDelayMs, stableAfterMs,
} from './control-timings.js';
import {ReplicaJoiner} from './replica-joiner.js';
import {ReplicaTask} from './replica-task.js';

const log = createLog('replica');
const transferTimeoutMs = 300;
const noMembership: ReplicaMembership = {voters: [], learners: []};

/** Dependencies of a replica host. */
export type ReplicaHostParts = {
	readonly self: InstanceId;
	readonly folder: string;
	readonly fileSystem: FileSystem;
	readonly peers: Peers;
	readonly applied: AppliedLog;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly voters: number | undefined;
	readonly founders: readonly InstanceId[];
	readonly replicas: () => readonly InstanceId[];
	readonly instances: () => readonly InstanceId[];
	/** Called when the replica starts to run, and when it stops because its storage failed. */
	readonly onChange: () => void;
};

/**
 * Owns the replica of an instance.
 *
 * @example
 * const host = new ReplicaHost(parts);
 * await host.start(); // The replica runs, or its storage is opened again after a delay
 */
export class ReplicaHost {
	#task: ReplicaTask | undefined;
	#storage: ReplicaStorage | undefined;
	#joiner: ReplicaJoiner | undefined;
	#membership = noMembership;
	#confirmed: ConfirmedLength | undefined;
	#failure: string | undefined;
	#failedAt = 0;
	#loggedAt = Number.NEGATIVE_INFINITY;
	#startedAt = 0;
	#reopenings = 0;
	#reopenDelayMs = initialReopenDelayMs;
	#reopening: NodeJS.Timeout | undefined;
	#isStopped = false;

	constructor(private readonly parts: ReplicaHostParts) {}

	/** The replica's task; undefined while its storage is failed. */
	get task(): ReplicaTask | undefined {
		return this.#task;
	}

	/** The newest membership that the replica knew. */
	get membership(): ReplicaMembership {
		return this.#task?.view.membership ?? this.#membership;
	}

	/** Why the storage is failed; undefined while the replica runs. */
	get failure(): string | undefined {
		return this.#failure;
	}

	/** How long the storage has been failed, in milliseconds; undefined while the replica runs. */
	get failedForMs(): number | undefined {
		return this.#failure === undefined ? undefined : Math.round(this.parts.clock.now() - this.#failedAt);
	}

	/** How often a failed storage was opened again, since the start of the instance. */
	get reopenings(): number {
		return this.#reopenings;
	}

	/** Opens the storage and starts the replica; after a failure both are tried again until the host is stopped. */
	async start(): Promise<void> {
		const {self, folder, fileSystem, applied, peers, clock, random, voters} = this.parts;
		try {
			this.#storage = await ReplicaStorage.open(fileSystem, folder, self, this.#confirmed);
		} catch (error) {
			this.#onFailure(error as Error);
			return;
		}

		if (this.#isStopped) {
			await this.#storage.close();
			return;
		}

		if (this.#failure !== undefined) {
			this.#reopenings += 1;
			log('The storage takes writes again; the replica runs.', {folder, failedForMs: this.failedForMs, reopenings: this.#reopenings});
			this.#failure = undefined;
		}

		this.#startedAt = clock.now();
		this.#task = new ReplicaTask({
			self, storage: this.#storage, peers, applied, clock, random, voters, onFailure: error => {
				this.#onFailure(error);
			},
		});
		this.#task.start();
		this.#joiner = new ReplicaJoiner({
			self, founders: this.parts.founders, replicas: this.parts.replicas, instances: this.parts.instances, peers, task: this.#task, clock,
		});
		void this.#joiner.run();
		this.parts.onChange();
	}

	/** Transfers leadership and stops the replica for good. */
	async stop(): Promise<void> {
		this.#isStopped = true;
		clearTimeout(this.#reopening);
		this.#joiner?.stop();
		if (this.#task?.view.role === 'leader') {
			this.#task.step({kind: 'transfer'});
			await sleep(transferTimeoutMs);
		}

		await this.#task?.stop();
	}

	#onFailure(error: Error): void {
		const {clock, folder} = this.parts;
		const now = clock.now();
		this.#joiner?.stop();
		this.#membership = this.membership;
		this.#confirmed = this.#storage?.confirmed ?? this.#confirmed;
		if (this.#failure === undefined) {
			this.#failedAt = now;
		}

		if (this.#task !== undefined && now - this.#startedAt >= stableAfterMs) {
			this.#reopenDelayMs = initialReopenDelayMs;
		}

		if (error.message !== this.#failure || now - this.#loggedAt >= failureLogIntervalMs) {
			this.#loggedAt = now;
			log('This instance goes on without its replica.', {
				folder, error: error.message, failedForMs: Math.round(now - this.#failedAt), reopenings: this.#reopenings,
			});
		}

		this.#failure = error.message;
		this.#task = undefined;
		this.#storage = undefined;
		this.#scheduleReopening(error instanceof StorageError && !error.isTransient);
		this.parts.onChange();
	}

	#scheduleReopening(isDamaged: boolean): void {
		if (this.#isStopped) {
			return;
		}

		this.#reopening = setTimeout(() => {
			void this.start();
		}, isDamaged ? damagedReopenDelayMs : this.#reopenDelayMs);
		this.#reopenDelayMs = Math.min(this.#reopenDelayMs * 2, maxReopenDelayMs);
	}
}
