/** A group of instances that are all replicas, as separate processes on loopback, for measurements. */
import {
	mkdir, mkdtemp, rm, writeFile,
} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {STATUS} from '@baobabpier/core';
import type {InstanceStatus, RpcMethod} from '@baobabpier/core';
import {stringify} from 'smol-toml';
import {Pool} from 'undici';
import {callPeer} from '../demo/call-peer.js';
import {freePorts} from '../demo/ports.js';
import {ProcessGroup} from '../demo/processes.js';
import type {RunningProcess} from '../demo/processes.js';

const secret = 'the secret of a measurement';
const stopGraceMs = 5000;
const pollMs = 20;

/** One instance of the group. */
export type GroupMember = {
	readonly id: string;
	readonly peers: string;
	readonly settingsFile: string;
	readonly pool: Pool;
	process: RunningProcess;
};

/** Replicas and instances without a disk. */
export class ReplicaGroup {
	/**
	 * Starts the instances and waits until all answer and one leads.
	 *
	 * @example
	 * const group = await ReplicaGroup.start(3, 3);
	 */
	static async start(replicas: number, learners: number): Promise<ReplicaGroup> {
		const folder = await mkdtemp(join(tmpdir(), 'baobabpier-control-'));
		const group = new ReplicaGroup(folder);
		await group.#startAll(replicas, learners);
		await group.findLeader({needsAll: true});
		return group;
	}

	readonly members: GroupMember[] = [];
	readonly #processes: ProcessGroup;

	private constructor(readonly folder: string) {
		this.#processes = new ProcessGroup(folder);
	}

	/** Calls a method once. */
	async call<Params, Result>({peers, pool}: GroupMember, command: RpcMethod<Params, Result>, params: Params): Promise<Result> {
		return callPeer({address: peers, secret, dispatcher: pool}, command, params);
	}

	/** The member that leads and hears a majority. */
	async findLeader({needsAll = false} = {}): Promise<GroupMember> {
		for (;;) {
			// eslint-disable-next-line no-await-in-loop
			const statuses = await Promise.allSettled(this.members.map(async member => this.call(member, STATUS, {})));
			const isWhole = statuses.every(({status}) => status === 'fulfilled');
			const index = statuses.findIndex(status => status.status === 'fulfilled' && isLeading(status.value));
			if (index !== -1 && (isWhole || !needsAll)) {
				return this.members[index]!;
			}

			// eslint-disable-next-line no-await-in-loop
			await sleep(pollMs);
		}
	}

	/** Kills a member without warning. */
	async kill({process}: GroupMember): Promise<void> {
		const ended = new Promise(resolve => {
			process.child.once('exit', resolve);
		});
		process.child.kill('SIGKILL');
		await ended;
	}

	/** Starts a member again. */
	restart(member: GroupMember): void {
		member.process = this.#processes.startDaemon(member.id, member.settingsFile);
	}

	/** Ends every process and removes the folder. */
	async stop(): Promise<void> {
		await this.#processes.stop(stopGraceMs);
		await Promise.all(this.members.map(async ({pool}) => pool.destroy()));
		await rm(this.folder, {recursive: true, force: true});
	}

	async #startAll(replicas: number, learners: number): Promise<void> {
		const secretFile = join(this.folder, 'secret');
		await writeFile(secretFile, secret);
		const count = replicas + learners;
		const ports = await freePorts(count * 2);
		const instances = Array.from({length: count}, (_, index) => ({
			id: `i${index + 1}`, dataCentre: `d${(index % 3) + 1}`, peers: `127.0.0.1:${ports[index * 2]!}`, replica: index < replicas,
		}));
		for (const [index, {id, dataCentre, peers, replica}] of instances.entries()) {
			const settingsFile = join(this.folder, `${id}.toml`);
			const data = join(this.folder, `${id}-data`);
			// eslint-disable-next-line no-await-in-loop
			await mkdir(data);
			// eslint-disable-next-line no-await-in-loop
			await writeFile(settingsFile, stringify({
				id, dataCentre, secretFile, listen: {callers: `127.0.0.1:${ports[(index * 2) + 1]!}`, peers}, instances, ...(replica ? {storage: {folder: data}} : {}),
			}));
			const member = {
				id, peers, settingsFile, pool: new Pool(`http://${peers}`, {connections: 64}), process: undefined as unknown as RunningProcess,
			};
			this.members.push(member);
			this.restart(member);
		}
	}
}

const isLeading = ({control}: InstanceStatus): boolean => control.role === 'leader' && control.hearsQuorum;
