/** Starts and stops the processes of a demonstration. */
import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {createWriteStream, readFileSync} from 'node:fs';
import {once} from 'node:events';
import {join} from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {nodeOptionsOf, parseSettings} from '@baobabpier/daemon';

const root = fileURLToPath(new URL('../../../', import.meta.url));

/** Entry files of the programs. */
export const programs = {
	daemon: join(root, 'packages/daemon/dist/main.js'),
	/** Starts the daemon as operators do. */
	baobabpierd: join(root, 'packages/daemon/bin/baobabpierd'),
	cli: join(root, 'packages/cli/dist/main.js'),
	standIn: join(root, 'packages/stand-ins/dist/main.js'),
} as const;

/** One running process. */
export type RunningProcess = {
	readonly name: string;
	readonly child: ChildProcess;
};

/** Runs processes with their output in a log folder. */
export class ProcessGroup {
	readonly processes: RunningProcess[] = [];

	constructor(private readonly logFolder: string) {}

	/**
	 * Starts a program; its standard error goes to `<name>.log`.
	 *
	 * @example
	 * group.start('desk-1', programs.standIn, ['backend', '--id', 'desk-1']);
	 */
	start(name: string, program: string, args: readonly string[], nodeOptions: readonly string[] = []): RunningProcess {
		const child = spawn(process.execPath, [...nodeOptions, program, ...args], {stdio: ['ignore', 'pipe', 'pipe']});
		child.stderr.pipe(createWriteStream(join(this.logFolder, `${name}.log`)));
		const running = {name, child};
		this.processes.push(running);
		return running;
	}

	/** Starts a daemon with the options of Node.js that `baobabpierd` gives it. */
	startDaemon(name: string, settingsFile: string): RunningProcess {
		const settings = parseSettings(readFileSync(settingsFile, 'utf8'));
		return this.start(name, programs.daemon, ['--settings', settingsFile], settings.ok ? nodeOptionsOf(settings.val) : []);
	}

	/** Starts a stand-in and waits for the address that it prints. */
	async startStandIn(name: string, args: readonly string[]): Promise<string> {
		return this.startListening(name, programs.standIn, args);
	}

	/** Starts a program and waits for the address that it prints as `listening <address>`. */
	async startListening(name: string, program: string, args: readonly string[]): Promise<string> {
		const {child} = this.start(name, program, args);
		const [line] = await once(child.stdout!, 'data') as [Uint8Array];
		return Buffer.from(line).toString().trim().replace('listening ', '');
	}

	/** Ends every process: asks first, then kills. */
	async stop(graceMs: number): Promise<void> {
		await Promise.all(this.processes.map(async ({child}) => {
			if (child.exitCode !== null || child.signalCode !== null) {
				return;
			}

			const ended = once(child, 'exit');
			child.kill('SIGTERM');
			const timer = setTimeout(() => {
				child.kill('SIGKILL');
			}, graceMs);
			await ended;
			clearTimeout(timer);
		}));
	}
}

/** Runs a program to its end. */
export const runProgram = async (program: string, args: readonly string[]): Promise<{code: number; output: string}> => {
	const child = spawn(process.execPath, [program, ...args], {stdio: ['ignore', 'pipe', 'pipe']});
	let output = '';
	child.stdout.on('data', (data: Uint8Array) => {
		output += Buffer.from(data).toString();
	});
	child.stderr.on('data', (data: Uint8Array) => {
		output += Buffer.from(data).toString();
	});
	const [code] = await once(child, 'close') as [number | undefined];
	return {code: code ?? 1, output};
};
