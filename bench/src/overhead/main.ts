/** Measures what the router adds to a direct call: latency, throughput, and memory by open stream. */
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {SingleInstance} from '../demo/single-instance.js';
import {median, runLoad} from './load.js';
import type {LoadResult} from './load.js';
import {measureStreams} from './open-streams.js';

const callerCounts = [1, 16, 128] as const;
const warmUpMs = 2000;
const halfLoadCallers = 32;
const requestLimit = 10_000_000;
const ways = ['direct', 'bare', 'router'] as const;
const program = (name: string): string => fileURLToPath(new URL(`${name}.js`, import.meta.url));

type Way = (typeof ways)[number];
type Target = {readonly address: string; readonly path: string; readonly pid: number | undefined};

const args = await yargs(hideBin(process.argv))
	.option('rounds', {type: 'number', default: 5, describe: 'Rounds; medians are printed'})
	.option('run-ms', {type: 'number', default: 1500, describe: 'Length of one run'})
	.option('calls', {type: 'boolean', default: true, describe: 'Measure calls'})
	.option('ids', {type: 'boolean', default: true, describe: 'Whether the backend server returns the id of a request'})
	.option('streams', {type: 'boolean', default: true, describe: 'Measure the memory of open streams too'})
	.strict()
	.parseAsync();

const print = (line: string): void => {
	process.stdout.write(`${line}\n`);
};

/** Runs every way in turn, round after round, so that all meet the same state of the machine. */
const compare = async (targets: Readonly<Record<Way, Target>>, callers: number, perSecond?: number): Promise<Record<Way, LoadResult>> => {
	const results: Record<Way, LoadResult[]> = {direct: [], bare: [], router: []};
	/* eslint-disable no-await-in-loop */
	for (let round = 0; round < args.rounds; round++) {
		for (const way of ways) {
			results[way].push(await runLoad({
				...targets[way], callers, runMs: args.runMs, perSecond,
			}));
		}
	}
	/* eslint-enable no-await-in-loop */

	const middle = (way: Way): LoadResult => ({
		perSecond: median(results[way].map(result => result.perSecond)),
		p50Ms: median(results[way].map(result => result.p50Ms)),
		p95Ms: median(results[way].map(result => result.p95Ms)),
		cpuUs: median(results[way].map(result => result.cpuUs)),
	});
	return {direct: middle('direct'), bare: middle('bare'), router: middle('router')};
};

const printRow = (label: string, {direct, bare, router}: Record<Way, LoadResult>): void => {
	const cells = [
		label,
		...[direct, bare, router].map(({
			perSecond, p50Ms, p95Ms, cpuUs,
		}) => `${perSecond.toFixed(0)}/s, ${p50Ms.toFixed(2)}, ${p95Ms.toFixed(2)} ms, ${cpuUs.toFixed(0)} us`),
		`${((100 * router.perSecond) / bare.perSecond).toFixed(0)} %, ${((100 * bare.cpuUs) / router.cpuUs).toFixed(0)} %`,
		`${(router.p50Ms / direct.p50Ms).toFixed(2)}, ${(router.p95Ms / direct.p95Ms).toFixed(2)}`,
		`${(router.p95Ms - direct.p95Ms).toFixed(2)} ms`,
	];
	print(`| ${cells.join(' | ')} |`);
};

const measureCalls = async (): Promise<void> => {
	const single = await SingleInstance.start({
		standIns: {},
		programs: {target: {file: program('target-server'), args: args.ids ? ['returns-ids'] : []}},
		services: ({target}) => ({
			target: {
				kind: 'plain',
				owner: 'bench',
				class: 'urgent',
				idempotent: ['POST /check'],
				limits: {inFlight: 1000, requestsPerSecond: requestLimit},
				backends: [{id: 'target', address: target, dataCentre: 'a'}],
			},
		}),
	});
	const bare = await single.group.startListening('bare', program('pass-through'), [single.addresses.target!]);
	const pidOf = (id: string): number | undefined => single.group.processes.find(({name}) => name === id)?.child.pid;
	const targets = {
		direct: {address: single.addresses.target!, path: '/check', pid: pidOf('target')},
		bare: {address: bare, path: '/services/target/check', pid: pidOf('bare')},
		router: {address: single.callers, path: '/services/target/check', pid: pidOf('one')},
	};
	await Promise.all(ways.map(async way => runLoad({...targets[way], callers: 16, runMs: warmUpMs})));
	print(`The backend server returns ${args.ids ? 'the id of a request' : 'no id'}.\n`);
	print('| Callers | Direct (rate, p50, p95, processor time) | Bare pass-through | Router | Router / bare: rate, requests by processor time | p50, p95 router / direct | Added at p95 |');
	print('| --- | --- | --- | --- | --- | --- | --- |');
	let highest = 0;
	for (const callers of callerCounts) {
		// eslint-disable-next-line no-await-in-loop
		const results = await compare(targets, callers);
		highest = Math.max(highest, results.router.perSecond);
		printRow(String(callers), results);
	}

	printRow(`${halfLoadCallers} at half load`, await compare(targets, halfLoadCallers, highest / 2));
	print(`\nResident memory after the load: ${((await single.residentBytes()) / (1024 * 1024)).toFixed(0)} MB`);
	await single.stop();
};

if (args.calls) {
	await measureCalls();
}

if (args.streams) {
	const {samples, bytesPerStream} = await measureStreams();
	print(`Resident memory by open streams: ${samples.map(({streams, bytes}) => `${streams}: ${(bytes / (1024 * 1024)).toFixed(0)} MB`).join(', ')}`);
	print(`Slope: ${(bytesPerStream / 1024).toFixed(1)} KB per stream`);
}
