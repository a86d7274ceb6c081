/** Makes this instance's replica a member of the log and keeps it one: the first members create it, later ones request to join. */
import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	CONTROL_BEGIN, CONTROL_JOIN, CONTROL_POSITION, emptySnapshot, instanceOf, isMember,
} from '@baobabpier/core';
import type {
	Clock, ControlPosition, Instant, InstanceId, ReplicaId,
} from '@baobabpier/core';
import {createLog} from '../log.js';
import type {Peers} from '../rpc/peers.js';
import {joinAfterSilenceMs, joinIntervalMs} from './control-timings.js';
import type {ReplicaTask} from './replica-task.js';

const log = createLog('replica');
const requestTimeoutMs = 1000;

/** Dependencies of a joiner. */
export type JoinerParts = {
	readonly self: InstanceId;
	/** The instances that create the log; none where it is certain to exist. */
	readonly founders: readonly InstanceId[];
	/** The instances known to hold replicas. */
	readonly replicas: () => readonly InstanceId[];
	readonly instances: () => readonly InstanceId[];
	readonly peers: Peers;
	readonly task: ReplicaTask;
	readonly clock: Clock;
};

/** Maximum number of instances that are asked because others named them. */
const maxReferrals = 64;

/** Requests to join whenever the replica is outside of the log's membership. */
export class ReplicaJoiner {
	/** Instances that others named as holders of replicas. */
	readonly #referrals = new Set<InstanceId>();
	#isStopped = false;
	#warned = false;
	#heardAt: Instant;

	constructor(private readonly parts: JoinerParts) {
		this.#heardAt = parts.clock.now();
	}

	/** Runs until stopped: a replica may lose its membership later, while it is down or when its disk is replaced by an older copy. */
	async run(): Promise<void> {
		while (!this.#isStopped) {
			// A founder that could not store the beginning is told again, until a majority has it and elects a leader
			if (this.parts.task.view.leader === undefined && this.parts.task.view.commit === 0) {
				// eslint-disable-next-line no-await-in-loop
				await this.#sendBeginning();
			}

			if (this.#isOutside()) {
				// eslint-disable-next-line no-await-in-loop
				await this.#tryJoin();
			}

			// eslint-disable-next-line no-await-in-loop
			await sleep(joinIntervalMs);
		}
	}

	stop(): void {
		this.#isStopped = true;
	}

	/** Whether the replica is no member as far as it knows, or has heard no leader for so long that its own log may be wrong about that. */
	#isOutside(): boolean {
		const {clock, task} = this.parts;
		const {membership, hearsQuorum} = task.view;
		const now = clock.now();
		if (hearsQuorum) {
			this.#heardAt = now;
		}

		return !isMember(membership, task.id) || now - this.#heardAt > joinAfterSilenceMs;
	}

	async #tryJoin(): Promise<void> {
		const positions = await this.#askAll();
		const isBegun = [...positions.values()].some(({index, replica, isFresh}) => index > 0 || (replica !== undefined && !isFresh));
		if (isBegun || !this.parts.task.isFresh || !this.parts.founders.includes(this.parts.self)) {
			this.#warnIfLost(positions);
			await this.#requestToJoin();
			return;
		}

		const fresh = this.parts.founders.map(id => id === this.parts.self ? this.parts.task.id : positions.get(id)?.replica);
		const isFirst = this.parts.founders.toSorted()[0] === this.parts.self;
		if (isFirst && fresh.every(id => id !== undefined)) {
			await this.#begin(fresh);
		}
	}

	/** Asks every instance that may lead, and learns of further ones: this replica's log may name none of the members any more. */
	async #requestToJoin(): Promise<void> {
		const known = [...new Set([...this.parts.replicas(), ...this.#referrals])];
		await this.#callAll(known, async id => {
			const {replicas = []} = await this.parts.peers.get(id).call(CONTROL_JOIN, {replica: this.parts.task.id}, requestTimeoutMs);
			for (const replica of replicas.slice(0, maxReferrals - this.#referrals.size)) {
				this.#referrals.add(replica);
			}
		});
	}

	/** Whether all replicas respond and are empty; a log is created only then. */
	async #begin(voters: readonly ReplicaId[]): Promise<void> {
		const snapshot = {...emptySnapshot, membership: {voters, learners: []}};
		if (await this.parts.task.begin(snapshot, randomUUID())) {
			await this.#sendBeginning();
		}
	}

	async #sendBeginning(): Promise<void> {
		const {beginning} = this.parts.task;
		if (beginning !== undefined) {
			const voters = beginning.snapshot.membership.voters.filter(id => id !== this.parts.task.id).map(id => instanceOf(id));
			await this.#callAll(voters, async id => this.parts.peers.get(id).call(CONTROL_BEGIN, beginning, requestTimeoutMs));
		}
	}

	#warnIfLost(positions: ReadonlyMap<InstanceId, ControlPosition>): void {
		const known = this.parts.replicas();
		const replicas = known.map(id => positions.get(id)).filter(position => position?.replica !== undefined);
		if (!this.#warned && replicas.length === known.length - 1 && replicas.every(position => position!.isFresh)) {
			this.#warned = true;
			log('Every replica is empty but others hold a state: no log begins. See the operators\' page on lost disks.');
		}
	}

	async #askAll(): Promise<ReadonlyMap<InstanceId, ControlPosition>> {
		const positions = new Map<InstanceId, ControlPosition>();
		await this.#callAll(this.parts.instances(), async id => {
			positions.set(id, await this.parts.peers.get(id).call(CONTROL_POSITION, {}, requestTimeoutMs));
		});
		return positions;
	}

	async #callAll(ids: readonly InstanceId[], call: (id: InstanceId) => Promise<unknown>): Promise<void> {
		await Promise.allSettled(ids.filter(id => id !== this.parts.self).map(async id => call(id)));
	}
}
