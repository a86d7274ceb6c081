/** How `baobabpierd` starts. Guards against a daemon whose heap may grow beyond the memory that its settings name. */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	mkdtemp, readFile, rm, writeFile,
} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, beforeEach, expect, test,
} from 'vitest';
import {freePorts, programs, runProgram} from '@baobabpier/bench';

const pollMs = 50;

let folder: string;
let settingsFile: string;

beforeEach(async () => {
	folder = await mkdtemp(join(tmpdir(), 'baobabpier-options-'));
	settingsFile = join(folder, 'one.toml');
	const [callers, peers] = await freePorts(2);
	await writeFile(join(folder, 'secret'), 'a secret of a test of options\n', {mode: 0o600});
	await writeFile(settingsFile, `id = "one"
dataCentre = "a"
secretFile = "${folder}/secret"
listen = {callers = "127.0.0.1:${callers!}", peers = "127.0.0.1:${peers!}"}
instances = [{id = "one", dataCentre = "a", peers = "127.0.0.1:${peers!}", replica = false}]
machine = {memoryMegabytes = 512}
stop = {readinessDelayMs = 1, quorumWaitMs = 1}
`);
});

afterEach(async () => {
	await rm(folder, {recursive: true, force: true});
});

test('prints the options of Node.js for its machine', async () => {
	expect(await runProgram(programs.daemon, ['--settings', settingsFile, '--node-options'])).toEqual({code: 0, output: '--max-old-space-size=264 --max-semi-space-size=8\n'});
});

test('runs with them', async () => {
	const child = spawn(programs.baobabpierd, ['--settings', settingsFile], {stdio: ['ignore', 'ignore', 'pipe']});
	let output = '';
	child.stderr.on('data', (data: Uint8Array) => {
		output += data.toString();
	});
	while (!output.includes('The instance is up') && child.exitCode === null) {
		await sleep(pollMs); // eslint-disable-line no-await-in-loop
	}

	const commandLine = await readFile(`/proc/${child.pid!}/cmdline`, 'utf8');
	const ended = once(child, 'exit');
	child.kill('SIGTERM');
	await ended;
	expect(commandLine.split('\0')).toEqual(expect.arrayContaining(['--max-old-space-size=264', '--max-semi-space-size=8']));
	expect(output).not.toContain('The heap may exceed');
});

test.each([
	{options: ['--check'], code: 0},
	{options: ['--check'], settings: 'id = "one"', code: 2},
	{options: [], settings: 'id = "one"', code: 2},
])('ends with $code for $options and settings of $settings', async ({options, settings, code}) => {
	if (settings !== undefined) {
		await writeFile(settingsFile, settings);
	}

	const child = spawn(programs.baobabpierd, ['--settings', settingsFile, ...options], {stdio: 'ignore'});
	expect(await once(child, 'exit')).toEqual([code, null]); // eslint-disable-line @typescript-eslint/no-restricted-types
});
