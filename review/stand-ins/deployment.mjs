/** Starts the project's programs with the commands of the deploy file, as the platform does: a settings file for each process, a list of engines, restarts. */
/* eslint-disable camelcase -- the platform's names */
import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {
	mkdirSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync, appendFileSync, closeSync,
} from 'node:fs';
import {createServer} from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

const root = fileURLToPath(new URL('../..', import.meta.url));
/** The bounds of the site himali-hampers, as SYSTEM.md gives them. */
export const bounds = {
	seed_lag_s: 3, addr_reuse_s: 2, contact_ms: 3000, ack_ms: 4000, catch_up_s: 4, drain_ms: 3000, grace_s: 8, loss_slack_ms: 200, config_apply_ms: 2000, rollback_slack_ms: 250, max_skew_ms: 5000, retry_budget_ratio: 0.2, retry_window_s: 10, retry_slack: 52, recovery_s: 12, transit_ms: 120, retry_after_s: 9.3, require_fencing: true, lease_ms: 3000, thaw_ms: 300,
};
const classes = {
	entry: {
		machine_class: 'frontend', serves: ['frontend'], limits: {
			cpu_share: 0.675, cores: 1, memory_mb: 350, max_fds: 4100, link_mbps: 1000, disk_mb: 0,
		},
	},
	control: {
		machine_class: 'core', serves: ['control'], limits: {
			cpu_share: 0.81, cores: 1, memory_mb: 346, max_fds: 4096, link_mbps: 1000, disk_mb: 128,
		},
	},
};
const zones = ['zone-a', 'zone-b', 'zone-c'];
const controlPort = 8144;
const entryPort = 8149;
const readyPort = 8141;
const listPort = 8142;
const internalPorts = [7380, 7395];
/** The platform starts a process that ended after a short delay. */
const restartDelayMs = 300;

/** The words of a role's `run` in the deploy file. */
const commandOf = role => {
	const text = readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
	const section = text.slice(text.indexOf(`[roles.${role}]`));
	return /^run = "(?<run>[^"]+)"/mv.exec(section).groups.run.split(' ');
};

/** What happened, with milliseconds since the start; written to `record.txt` beside a case. */
export class Record {
	#startedAt = performance.now();

	constructor(folder) {
		this.file = path.join(folder, 'record.txt');
		writeFileSync(this.file, '');
	}

	get ms() {
		return Math.round(performance.now() - this.#startedAt);
	}

	add(event, fields = {}) {
		appendFileSync(this.file, `${JSON.stringify({ms: this.ms, event, ...fields})}\n`);
	}
}

/** One process of a role on one machine. */
class Machine {
	#child;
	#isWanted = false;
	#isKilled = false;

	constructor(deployment, {name, role, ip, zone}) {
		Object.assign(this, {
			deployment, name, role, ip, zone,
		});
		/** Ends of the process that no signal of the test caused. */
		this.ownEnds = 0;
		this.folder = path.join(deployment.folder, name);
		mkdirSync(path.join(this.folder, 'data'), {recursive: true});
	}

	get control() {
		return `${this.ip}:${controlPort}`;
	}

	get frontend() {
		return `${this.ip}:${entryPort}`;
	}

	get ready() {
		return `${this.ip}:${readyPort}`;
	}

	get pid() {
		return this.#child?.pid;
	}

	get isRunning() {
		return this.#child !== undefined;
	}

	/** Writes the settings file and starts the process; `bootstrap` only at the very first start of all. */
	start({bootstrap = false} = {}) {
		const {deployment, role} = this;
		const file = path.join(this.folder, 'settings.json');
		writeFileSync(file, JSON.stringify({
			...deployment.settings,
			node_name: this.name,
			role,
			...classes[role],
			ip: this.ip,
			zone: this.zone,
			region: 'region-1',
			zones: Object.fromEntries(zones.map(zone => [zone, 'region-1'])),
			listen: role === 'entry' ? {frontend: this.frontend, ready: this.ready} : {control: this.control},
			internal_ports: internalPorts,
			seeds: deployment.seeds,
			bootstrap,
			in_fault_budget: role === 'control',
			data_dir: role === 'control' ? path.join(this.folder, 'data') : null,
			discovery: 'cloud',
			entry: 'vip',
			heartbeat_ms: 1200,
			contracts: ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'split', 'stream', 'engine'],
			fault_tolerance: {machines: 1, zones: 1, regions: 0},
			bounds,
			config_mode: 'highest',
			cloud: {
				address: deployment.list, rate_per_s: 44, duties: [], max_lag_ms: 800,
			},
		}));
		const [program, ...words] = commandOf(role);
		const output = openSync(path.join(this.folder, 'output.log'), 'a');
		this.#isWanted = true;
		const child = spawn(program, words, {
			cwd: root, stdio: ['ignore', output, output], env: {PATH: process.env.PATH, HOME: process.env.HOME, BAOBABPIER_BOOT: file},
		});
		closeSync(output);
		this.#child = child;
		deployment.record.add('started', {machine: this.name, pid: child.pid, bootstrap});
		child.once('exit', (code, signal) => {
			this.#child = undefined;
			const byItself = this.#isWanted && !this.#isKilled;
			this.#isKilled = false;
			deployment.record.add('ended', {
				machine: this.name, pid: child.pid, code, signal, byItself,
			});
			this.ownEnds += byItself ? 1 : 0;
			if (this.#isWanted) {
				setTimeout(() => {
					if (this.#isWanted) {
						this.start();
					}
				}, restartDelayMs);
			}
		});
	}

	/** Sends a signal; with `isLast` the process is not started again. */
	signal(name, {isLast = false} = {}) {
		this.deployment.record.add('signal', {
			machine: this.name, pid: this.pid, signal: name, isLast,
		});
		this.#isWanted &&= !isLast;
		this.#child?.kill(name);
	}

	/** Kills the process; the platform starts it again. */
	kill() {
		this.#isKilled = true;
		this.signal('SIGKILL');
	}

	/** Ends the process, for the end of a test. */
	end() {
		this.#isWanted = false;
		this.#child?.kill('SIGKILL');
	}
}

/** The machines of a small deployment on loopback addresses of their own, and the platform beside them. */
export class Deployment {
	machines = [];
	seeds = [];
	/** Entries of the platform's list. */
	instances = [];

	constructor(record) {
		this.record = record;
		this.folder = mkdtempSync(path.join(tmpdir(), 'review-'));
		this.subnet = `127.${10 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}`;
		this.list = `${this.subnet}.250:${listPort}`;
	}

	async open() {
		this.server = createServer((req, res) => {
			const body = JSON.stringify({instances: this.instances, next: null});
			res.writeHead(req.url.startsWith('/instances') ? 200 : 404, {'content-type': 'application/json', 'content-length': Buffer.byteLength(body)});
			res.end(body);
		});
		await new Promise((resolve, reject) => {
			this.server.once('error', reject);
			this.server.listen(listPort, `${this.subnet}.250`, resolve);
		});
	}

	/** Adds a machine; its last byte of the address is its number. */
	add(role, zone = zones[this.machines.length % zones.length]) {
		const number = this.machines.length + 1;
		const machine = new Machine(this, {
			name: `${role}-${number}`, role, ip: `${this.subnet}.${number}`, zone,
		});
		this.machines.push(machine);
		return machine;
	}

	/** Starts the first machines of a deployment, all with the same seeds. */
	startAll() {
		this.seeds = this.machines.filter(({role}) => role === 'control').slice(0, 3).map(({control}) => control);
		for (const machine of this.machines) {
			machine.start({bootstrap: true});
		}
	}

	/** Ends all processes and removes the temporary folder. */
	async close() {
		for (const machine of this.machines) {
			machine.end();
		}

		for (let turn = 0; turn < 100 && this.machines.some(({isRunning}) => isRunning); turn++) {
			// eslint-disable-next-line no-await-in-loop
			await sleep(50);
		}

		this.server?.closeAllConnections();
		this.server?.close();
		if (process.env.KEEP === undefined) {
			rmSync(this.folder, {recursive: true, force: true});
		}
	}
}
