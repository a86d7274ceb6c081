#!/usr/bin/env node
/** The daemon `baobabpierd`. */
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {parseArgs} from 'node:util';
import {getHeapStatistics} from 'node:v8';
import {formatFault} from '@baobabpier/core';
import createDebug from 'debug';
import {startDaemon} from './daemon.js';
import {createLog} from './log.js';
import {checkHost} from './settings/check-host.js';
import {nodeOptionsOf} from './settings/node-options.js';
import {defaultMachineSettings, parseSettings} from './settings/parse-settings.js';
import type {Settings} from './settings/parse-settings.js';

const log = createLog('daemon');
const usageExit = 2;
const bytesPerMegabyte = 1024 * 1024;

const fail = (lines: readonly string[]): never => {
	process.stderr.write(`${lines.join('\n')}\n`);
	process.exit(usageExit);
};

/** Warns where V8 would let garbage take more than the machine has. */
const checkHeap = (settings: Settings): void => {
	const {memoryMegabytes} = settings.machine ?? defaultMachineSettings;
	const heapMegabytes = Math.round(getHeapStatistics().heap_size_limit / bytesPerMegabyte);
	if (heapMegabytes > memoryMegabytes) {
		log.warn('The heap may exceed the memory of the machine.', {heapMegabytes, memoryMegabytes, nodeOptions: nodeOptionsOf(settings).join(' ')});
	}
};

const {values} = parseArgs({options: {settings: {type: 'string'}, check: {type: 'boolean', default: false}, 'node-options': {type: 'boolean', default: false}}});
if (values.settings === undefined) {
	fail(['Usage: baobabpierd --settings <file.toml> [--check | --node-options]']);
}

const isStarting = !values.check && !values['node-options'];
const file = values.settings!;
const readSettings = async (): Promise<string> => {
	try {
		return await readFile(file, 'utf8');
	} catch (error) {
		return fail([`${file}: can't be read: ${(error as {code?: string}).code ?? (error as Error).message}`]);
	}
};

const text = await readSettings();
const settings = parseSettings(text);
const hostFaults = await checkHost(text, {ports: isStarting});
const faults = [...(settings.err ? settings.val : []), ...hostFaults];
if (settings.err || faults.length > 0) {
	fail(faults.map(fault => formatFault(file, fault)));
} else if (values['node-options']) {
	process.stdout.write(`${nodeOptionsOf(settings.val).join(' ')}\n`);
} else if (values.check) {
	process.stdout.write('The settings are valid.\n');
} else {
	createDebug.enable(process.env.DEBUG ?? 'baobabpier:*');
	checkHeap(settings.val);
	const daemon = await startDaemon(settings.val);
	for (const signal of ['SIGTERM', 'SIGINT'] as const) {
		process.on(signal, () => {
			void daemon.stop();
		});
	}

	await daemon.closed;
	process.exit(0);
}
