#!/usr/bin/env node
/** The command-line tool `baobabpier`. */
import process from 'node:process';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {
	applyCatalogue, checkCatalogue, diffCatalogue, getCatalogue, showHistory,
} from './catalogue-commands.js';
import {exitCodes} from './exit-codes.js';
import type {ExitCode} from './exit-codes.js';
import {explain, explainStreams} from './explain-command.js';
import {createOutput} from './output.js';
import {liftQuarantine, listQuarantine, setQuarantine} from './quarantine-commands.js';
import {listRateLimits} from './rate-limits-command.js';
import {showStatus} from './status-command.js';
import {
	cancelStop, planStop, showStops, stopKinds,
} from './stop-commands.js';

const run = async (command: () => Promise<ExitCode>): Promise<void> => {
	try {
		process.exitCode = await command();
	} catch (error) {
		process.stderr.write(`baobabpier: ${(error as Error).message}\n`);
		process.exitCode = exitCodes.failed;
	}
};

const targetOptions = {
	instance: {type: 'string', demandOption: true, describe: 'IP:port of an instance\'s peer port'},
	'secret-file': {type: 'string', demandOption: true, describe: 'File with the shared secret'},
} as const;

const defaultWaitMs = 30_000;
const segmentsArgument = {type: 'string', array: true, demandOption: true} as const;
const fileArgument = {type: 'string', demandOption: true} as const;

await yargs(hideBin(process.argv))
	.scriptName('baobabpier')
	.option('json', {type: 'boolean', default: false, describe: 'Print JSON'})
	.command('catalogue', 'Reads and changes the catalogue.', catalogue => catalogue
		.command('get', 'Prints the catalogue in force.', command => command.options(targetOptions), async args => {
			await run(async () => getCatalogue(args, createOutput(args.json)));
		})
		.command('check <file>', 'Checks a catalogue file.', command => command.positional('file', fileArgument), async args => {
			await run(async () => checkCatalogue(args.file, createOutput(args.json)));
		})
		.command('diff <file>', 'Compares a catalogue file with the catalogue in force.', command => command.options(targetOptions).positional('file', fileArgument), async args => {
			await run(async () => diffCatalogue(args, args.file, createOutput(args.json)));
		})
		.command('history', 'Prints the accepted changes.', command => command.options(targetOptions).option('revision', {type: 'number', describe: 'Print this revision\'s text'}), async args => {
			await run(async () => showHistory(args, args.revision, createOutput(args.json)));
		})
		.command('apply <file>', 'Proposes a catalogue file.', command => command
			.options(targetOptions)
			.positional('file', fileArgument)
			.option('expected', {type: 'number', describe: 'Revision that was edited; the one in force by default'})
			.option('order-id', {type: 'string', describe: 'Id of this order, kept across resends'})
			.option('wait', {type: 'boolean', default: false, describe: 'Wait until the change is in force on every instance'})
			.option('wait-ms', {type: 'number', default: defaultWaitMs, describe: 'Longest wait'})
			.option('author', {type: 'string', default: process.env.USER ?? 'operator'}), async args => run(async () => applyCatalogue(args, args, createOutput(args.json))))
		.demandCommand(1))
	.command('stop', 'Plans stops that cut off no request.', stop => stop
		.command('plan <kind> <id>', 'Plans a stop and waits for its drain.', command => command
			.options(targetOptions)
			.positional('kind', {choices: Object.keys(stopKinds) as Array<keyof typeof stopKinds>, demandOption: true})
			.positional('id', fileArgument)
			.option('within', {type: 'number', default: 30_000, describe: 'Milliseconds that the drain should take at most'})
			.option('wait', {type: 'boolean', default: true, describe: 'Wait for the end of the drain'})
			.option('order-id', {type: 'string', describe: 'Id of this order, kept across resends'})
			.option('author', {type: 'string', default: process.env.USER ?? 'operator'}), async args => run(async () => planStop(args, args, createOutput(args.json))))
		.command('status', 'Prints the stops in force.', command => command.options(targetOptions), async args => run(async () => showStops(args, createOutput(args.json))))
		.command('cancel <order-id>', 'Takes a stop out of force.', command => command
			.options(targetOptions)
			.positional('order-id', fileArgument), async args => run(async () => cancelStop(args, args.orderId, createOutput(args.json))))
		.demandCommand(1))
	.command('quarantine', 'Shows and changes the prompt segments whose requests are refused.', quarantine => quarantine
		.command('list', 'Prints the quarantined and, at the leader, the suspected segments.', command => command.options(targetOptions), async args => run(async () => listQuarantine(args, createOutput(args.json))))
		.command('set <segments..>', 'Quarantines prompts that have all of these segments.', command => command
			.options(targetOptions)
			.positional('segments', segmentsArgument)
			.option('author', {type: 'string', default: process.env.USER ?? 'operator'}), async args => run(async () => setQuarantine(args, args, createOutput(args.json))))
		.command('lift <segments..>', 'Lifts a quarantine.', command => command
			.options(targetOptions)
			.positional('segments', segmentsArgument)
			.option('author', {type: 'string', default: process.env.USER ?? 'operator'}), async args => run(async () => liftQuarantine(args, args, createOutput(args.json))))
		.demandCommand(1))
	.command('rate-limits', 'Prints the limits of requests that servers name, as the leader knows them.', command => command.options(targetOptions), async args => run(async () => listRateLimits(args, createOutput(args.json))))
	.command('status', 'Prints an instance\'s status.', command => command.options(targetOptions), async args => run(async () => showStatus(args, createOutput(args.json))))
	.command('explain <request-id> <files..>', 'Explains a request from collected log files.', command => command
		.positional('request-id', fileArgument)
		.positional('files', {type: 'string', array: true, demandOption: true}), async args => run(async () => explain(args.requestId, args.files, createOutput(args.json))))
	.command('explain-streams <files..>', 'Counts the streams of collected log files by how they ended and why they were late.', command => command
		.positional('files', {type: 'string', array: true, demandOption: true})
		.option('wait', {type: 'number', default: 400, describe: 'Longest wait for a placement of a stream in time, in milliseconds'})
		.option('pause', {type: 'number', default: 300, describe: 'Longest pause between outputs of a stream in time, in milliseconds'}), async args => run(async () => {
		const limits = {waitMs: args.wait, pauseMs: args.pause};
		return explainStreams(args.files, limits, createOutput(args.json));
	}))
	.demandCommand(1)
	.strict()
	.fail((message, error) => {
		process.stderr.write(`baobabpier: ${message ?? error.message}\n`);
		process.exit(exitCodes.invalid);
	})
	.parseAsync();
