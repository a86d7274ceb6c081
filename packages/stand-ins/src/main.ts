#!/usr/bin/env node
/** Starts one stand-in as a process. */
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {startBackend} from './backend-server.js';
import {ClientCrowd} from './client-crowd.js';
import type {ClientPlan} from './client-crowd.js';
import {startEngine} from './engine/engine-server.js';
import {startPlatformList} from './platform-list.js';

const announce = (address: string): void => {
	process.stdout.write(`listening ${address}\n`);
};

await yargs(hideBin(process.argv))
	.scriptName('baobabpier-stand-in')
	.option('port', {type: 'number', default: 0})
	.option('id', {type: 'string', default: 'stand-in'})
	.option('returns-ids', {type: 'boolean', default: true, describe: 'Whether answers carry the request\'s id'})
	.command('engine', 'Starts a model engine.', command => command
		.option('role', {choices: ['prefill', 'decode'] as const, demandOption: true})
		.option('pieces', {type: 'number', default: 40})
		.option('prefill-tokens-per-second', {type: 'number', default: 20_000})
		.option('token-ms', {type: 'number', default: 10})
		.option('token-ms-per-stream', {type: 'number', default: 0.5})
		.option('kv-keep-ms', {type: 'number', default: 800})
		.option('link-tokens-per-second', {type: 'number', default: 200_000})
		.option('output-tokens', {type: 'number', default: 60})
		.option('fences-orders', {type: 'boolean', default: true}), async args => {
		const engine = await startEngine(args, args.port, args.returnsIds);
		announce(engine.address);
	})
	.command('backend', 'Starts a plain backend server.', command => command, async args => {
		const backend = await startBackend(args.id, args.port, args.returnsIds);
		announce(backend.address);
	})
	.command('platform', 'Starts the platform\'s instance list.', command => command.option('lag-ms', {type: 'number', default: 500}), async args => {
		const list = await startPlatformList(args.lagMs, args.port);
		announce(list.address);
	})
	.command('crowd', 'Sends a crowd of clients to an address.', command => command
		.option('address', {type: 'string', demandOption: true})
		.option('plan', {type: 'string', demandOption: true, describe: 'File with what each client does, in JSON'})
		.option('for-ms', {type: 'number', demandOption: true}), async ({address, plan, forMs}) => {
		const crowd = new ClientCrowd(address, JSON.parse(await readFile(plan, 'utf8')) as ClientPlan);
		void crowd.start();
		await sleep(forMs);
		crowd.close();
		// Clients that are still to connect would keep the process
		process.exit(0);
	})
	.demandCommand(1)
	.strict()
	.parseAsync();
