/** Brings up one deployment as separate processes on loopback. */
import {
	mkdir, mkdtemp, readFile, rm, writeFile,
} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import type {RpcMethod} from '@baobabpier/core';
import {stringify} from 'smol-toml';
import {request} from 'undici';
import {callPeer} from './call-peer.js';
import type {Deployment} from './deployments.js';
import {freePorts} from './ports.js';
import {
	ProcessGroup, programs, runProgram,
} from './processes.js';
import type {RunningProcess} from './processes.js';

const instancesPerDataCentre = 2;
const decodePerDataCentre = [2, 2, 1];
const readyTimeoutMs = 20_000;
const stopGraceMs = 5000;

/** One instance of the daemon. */
export type ClusterInstance = {
	readonly id: string;
	readonly dataCentre: string;
	readonly callers: string;
	readonly peers: string;
	readonly settingsFile: string;
	process: RunningProcess;
};

/** One stand-in. */
export type ClusterStandIn = {
	readonly id: string;
	readonly kind: 'prefill' | 'decode' | 'backend' | 'platform';
	readonly dataCentre: string;
	readonly address: string;
};

/** A running deployment. */
export class Cluster {
	/**
	 * Starts every process and waits until the instances answer.
	 *
	 * @example
	 * const cluster = await Cluster.start(deployments.himali);
	 */
	static async start(deployment: Deployment): Promise<Cluster> {
		const cluster = new Cluster(deployment, await mkdtemp(join(tmpdir(), `baobabpier-${deployment.name}-`)));
		await writeFile(cluster.secretFile, 'a shared secret for the demonstration\n', {mode: 0o600});
		await cluster.#startStandIns();
		await cluster.#startInstances();
		return cluster;
	}

	readonly instances: ClusterInstance[] = [];
	readonly standIns: ClusterStandIn[] = [];
	readonly secretFile: string;
	readonly group: ProcessGroup;

	private constructor(readonly deployment: Deployment, readonly folder: string) {
		this.secretFile = join(folder, 'secret');
		this.group = new ProcessGroup(folder);
	}

	/** The catalogue's TOML text for this deployment. */
	catalogueText(): string {
		const {model, plain, owner, modelClass} = this.deployment;
		return stringify({
			services: {
				[model]: {
					kind: 'model',
					owner,
					class: modelClass,
					engines: this.standIns.filter(({kind}) => kind === 'prefill' || kind === 'decode').map(({id, address, dataCentre, kind}) => ({
						id, address, dataCentre, role: kind, pieces: 40,
					})),
				},
				[plain]: {
					kind: 'plain',
					owner,
					class: 'urgent',
					idempotent: ['POST /availability'],
					backends: this.standIns.filter(({kind}) => kind === 'backend').map(({id, address, dataCentre}) => ({id, address, dataCentre})),
				},
			},
		});
	}

	/** Runs the command-line tool against the first instance. */
	async runCli(args: readonly string[], instance = this.instances[0]!): Promise<{code: number; output: string}> {
		return runProgram(programs.cli, [...args, '--instance', instance.peers, '--secret-file', this.secretFile]);
	}

	/** Applies the deployment's catalogue and waits until every instance is ready. */
	async applyCatalogue(): Promise<string> {
		const file = join(this.folder, 'catalogue.toml');
		await writeFile(file, this.catalogueText());
		const {code, output} = await this.runCli(['catalogue', 'apply', file, '--author', 'demo']);
		if (code !== 0) {
			throw new Error(`catalogue apply failed: ${output}`);
		}

		await Promise.all(this.instances.map(async instance => this.#waitFor(`http://${instance.callers}/readyz`)));
		return output.trim();
	}

	/**
	 * Calls a method of an instance's peer port.
	 *
	 * @throws Error when there is no result.
	 * @example
	 * const status = await cluster.call(instance, STATUS, {});
	 */
	async call<Params, Result>({peers}: ClusterInstance, command: RpcMethod<Params, Result>, params: Params): Promise<Result> {
		const secret = await readFile(this.secretFile, 'utf8');
		return callPeer({address: peers, secret: secret.trim()}, command, params);
	}

	/** Starts an instance again, after it ended. */
	restart(instance: ClusterInstance): void {
		instance.process = this.group.startDaemon(instance.id, instance.settingsFile);
	}

	/** Memory pieces held on all engines. */
	async heldPieces(): Promise<number> {
		const counters = await Promise.all(this.standIns.filter(({kind}) => kind === 'decode' || kind === 'prefill').map(async ({address}) => this.counters(address)));
		return counters.reduce((sum, {heldPieces = 0}) => sum + heldPieces, 0);
	}

	/** The counters of a stand-in. */
	async counters(address: string): Promise<Record<string, number>> {
		const answer = await request(`http://${address}/counters`);
		return await answer.body.json() as Record<string, number>;
	}

	/** Ends every process and removes the folder unless it is kept. */
	async stop({keepFolder = false} = {}): Promise<void> {
		await this.group.stop(stopGraceMs);
		if (!keepFolder) {
			await rm(this.folder, {recursive: true, force: true});
		}
	}

	async #startStandIns(): Promise<void> {
		const plans = this.deployment.dataCentres.flatMap((dataCentre, index) => [
			{id: `${this.deployment.model}-p${index + 1}`, kind: 'prefill' as const, dataCentre},
			...Array.from({length: decodePerDataCentre[index]!}, (_, number) => ({id: `${this.deployment.model}-d${index + 1}${number + 1}`, kind: 'decode' as const, dataCentre})),
			{id: `${this.deployment.plain}-${index + 1}`, kind: 'backend' as const, dataCentre},
		]);
		const started = await Promise.all(plans.map(async plan => {
			const args = plan.kind === 'backend' ? ['backend', '--id', plan.id] : ['engine', '--id', plan.id, '--role', plan.kind];
			return {...plan, address: await this.group.startStandIn(plan.id, args)};
		}));
		this.standIns.push(...started, {
			id: 'platform', kind: 'platform', dataCentre: '', address: await this.group.startStandIn('platform', ['platform']),
		});
	}

	async #startInstances(): Promise<void> {
		const count = this.deployment.dataCentres.length * instancesPerDataCentre;
		const ports = await freePorts(count * 2);
		for (let index = 0; index < count; index++) {
			const dataCentre = this.deployment.dataCentres[Math.floor(index / instancesPerDataCentre)]!;
			const id = `${dataCentre}-${(index % instancesPerDataCentre) + 1}`;
			this.instances.push({
				id,
				dataCentre,
				callers: `127.0.0.1:${ports[index * 2]!}`,
				peers: `127.0.0.1:${ports[(index * 2) + 1]!}`,
				settingsFile: join(this.folder, `${id}.toml`),
				process: undefined as unknown as RunningProcess,
			});
		}

		for (const instance of this.instances) {
			// eslint-disable-next-line no-await-in-loop
			await mkdir(join(this.folder, `${instance.id}-data`));
			// eslint-disable-next-line no-await-in-loop
			await writeFile(instance.settingsFile, this.#settingsText(instance));
			this.restart(instance);
		}

		await Promise.all(this.instances.map(async instance => this.#waitFor(`http://${instance.callers}/healthz`)));
	}

	#settingsText(instance: ClusterInstance): string {
		const platform = this.standIns.find(({kind}) => kind === 'platform')!;
		const isReplica = (id: string): boolean => id.endsWith('-1');
		return stringify({
			id: instance.id,
			dataCentre: instance.dataCentre,
			secretFile: this.secretFile,
			listen: {callers: instance.callers, peers: instance.peers},
			platform: {list: platform.address},
			stop: {readinessDelayMs: 200, quorumWaitMs: 200},
			...(isReplica(instance.id) ? {storage: {folder: join(this.folder, `${instance.id}-data`)}} : {}),
			instances: this.instances.map(({id, dataCentre, peers}) => ({
				id, dataCentre, peers, replica: isReplica(id),
			})),
		});
	}

	async #waitFor(url: string): Promise<void> {
		const deadline = Date.now() + readyTimeoutMs;
		while (Date.now() < deadline) {
			try {
				// eslint-disable-next-line no-await-in-loop
				const answer = await request(url);
				// eslint-disable-next-line no-await-in-loop
				await answer.body.dump();
				if (answer.statusCode === 200) {
					return;
				}
			} catch {
				// Not up yet
			}

			// eslint-disable-next-line no-await-in-loop
			await sleep(50);
		}

		throw new Error(`${url} did not answer in ${readyTimeoutMs} ms; logs are in ${this.folder}`);
	}
}
