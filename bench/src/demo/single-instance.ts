/** One instance of the daemon with a few stand-ins, as separate processes on loopback. */
import {
	mkdir,
	readFile, mkdtemp, rm, writeFile,
} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {stringify} from 'smol-toml';
import {request} from 'undici';
import {freePorts} from './ports.js';
import {ProcessGroup, programs, runProgram} from './processes.js';
import type {RunningProcess} from './processes.js';

const readyPolls = 400;
const pollMs = 50;
const stopGraceMs = 5000;

/** What to start. */
export type SingleInstancePlan = {
	/** Arguments of each stand-in, by its id. */
	readonly standIns: Readonly<Record<string, readonly string[]>>;
	/** Other programs that print the address they listen on, by id. */
	readonly programs?: Readonly<Record<string, {readonly file: string; readonly args: readonly string[]}>>;
	/** The catalogue's `services` table, given the stand-ins' addresses. */
	readonly services: (addresses: Readonly<Record<string, string>>) => Record<string, unknown>;
	/** Settings beside the usual ones. */
	readonly settings?: Record<string, unknown>;
};

/** A running instance with its stand-ins. */
export class SingleInstance {
	/**
	 * Starts the stand-ins and the daemon, applies the catalogue and waits until the daemon is ready.
	 *
	 * @example
	 * const single = await SingleInstance.start({standIns: {desk: ['backend', '--id', 'desk']}, services});
	 */
	static async start(plan: SingleInstancePlan): Promise<SingleInstance> {
		const folder = await mkdtemp(join(tmpdir(), 'baobabpier-single-'));
		const group = new ProcessGroup(folder);
		const entries = await Promise.all([
			...Object.entries(plan.standIns).map(async ([id, args]) => [id, await group.startStandIn(id, args)] as const),
			...Object.entries(plan.programs ?? {}).map(async ([id, {file, args}]) => [id, await group.startListening(id, file, args)] as const),
		]);
		const [callers, peers] = await freePorts(2);
		const single = new SingleInstance(folder, group, Object.fromEntries(entries), `127.0.0.1:${callers!}`, `127.0.0.1:${peers!}`);
		await single.#startDaemon(plan);
		return single;
	}

	daemon!: RunningProcess;

	// eslint-disable-next-line max-params
	private constructor(readonly folder: string, readonly group: ProcessGroup, readonly addresses: Readonly<Record<string, string>>, readonly callers: string, readonly peers: string) {}

	/** What the daemon has logged so far. */
	async log(): Promise<string> {
		return readFile(join(this.folder, 'one.log'), 'utf8');
	}

	/** The counters of a stand-in. */
	async counters(id: string): Promise<Record<string, number>> {
		const answer = await request(`http://${this.addresses[id]!}/counters`);
		return await answer.body.json() as Record<string, number>;
	}

	/** Orders faults from a stand-in. */
	async setFaults(id: string, faults: readonly unknown[]): Promise<void> {
		const answer = await request(`http://${this.addresses[id]!}/faults`, {method: 'PUT', body: JSON.stringify(faults)});
		await answer.body.dump();
	}

	/** Resident memory of the daemon, in bytes. */
	async residentBytes(): Promise<number> {
		const status = await readFile(`/proc/${this.daemon.child.pid!}/status`, 'utf8');
		return Number(/^VmRSS:\s+(?<kilobytes>\d+) kB$/mv.exec(status)!.groups!.kilobytes) * 1024;
	}

	/** Ends every process and removes the folder. */
	async stop(): Promise<void> {
		await this.group.stop(stopGraceMs);
		await rm(this.folder, {recursive: true, force: true});
	}

	async #startDaemon(plan: SingleInstancePlan): Promise<void> {
		const secretFile = join(this.folder, 'secret');
		const settingsFile = join(this.folder, 'one.toml');
		const catalogueFile = join(this.folder, 'catalogue.toml');
		await mkdir(join(this.folder, 'data'));
		await writeFile(secretFile, 'the secret of a single instance\n');
		await writeFile(catalogueFile, stringify({services: plan.services(this.addresses)}));
		await writeFile(settingsFile, stringify({
			id: 'one',
			dataCentre: 'a',
			secretFile,
			listen: {callers: this.callers, peers: this.peers},
			storage: {folder: join(this.folder, 'data')},
			instances: [{
				id: 'one', dataCentre: 'a', peers: this.peers, replica: true,
			}],
			...plan.settings,
		}));
		this.daemon = this.group.startDaemon('one', settingsFile);
		await this.#waitFor('/healthz');
		const {code, output} = await runProgram(programs.cli, ['catalogue', 'apply', catalogueFile, '--instance', this.peers, '--secret-file', secretFile]);
		if (code !== 0) {
			throw new Error(`catalogue apply failed: ${output}`);
		}

		await this.#waitFor('/readyz');
	}

	async #waitFor(path: string): Promise<void> {
		for (let poll = 0; poll < readyPolls; poll++) {
			try {
				// eslint-disable-next-line no-await-in-loop
				const answer = await request(`http://${this.callers}${path}`);
				// eslint-disable-next-line no-await-in-loop
				await answer.body.dump();
				if (answer.statusCode === 200) {
					return;
				}
			} catch {
				// Not up yet
			}

			// eslint-disable-next-line no-await-in-loop
			await sleep(pollMs);
		}

		throw new Error(`${path} of the instance is not ready; its log is in ${this.folder}`);
	}
}
