/** Lists of the platform and sinks of traces that send an answer again where a later one is due. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {ServerListEntry} from '@baobabpier/core';
import {
	afterEach, expect, test, vi,
} from 'vitest';
import {OtlpExporter} from '../../observability/otlp-exporter.js';
import {PlatformWatcher} from '../../platform-watcher.js';
import {RepeatingServer, responseOf} from './repeating-server.js';

/** Long enough for a kept connection to be free again. */
const betweenCallsMs = 20;

const open: Array<{close(): Promise<void>}> = [];

afterEach(async () => {
	await Promise.all(open.splice(0).map(async part => part.close()));
});

test.each(['same', 'none'] as const)('a mark is not undone by a list that is sent again (id returned: %s)', async returns => {
	const server = await RepeatingServer.start({
		repeat: 'togetherWithNext', returns, respond: (req, idLine) => responseOf(200, idLine, JSON.stringify([{id: 'e1', state: req.number === 1 ? 'live' : 'leaving'}])),
	});
	const lists: Array<readonly ServerListEntry[]> = [];
	let failures = 0;
	const watcher = new PlatformWatcher(server.address, {
		onList(entries) {
			lists.push(entries);
		},
		onListFailed() {
			failures += 1;
		},
	});
	open.push(server, {
		async close() {
			await watcher.stop();
		},
	});
	watcher.start();
	await vi.waitFor(() => {
		expect(lists.length).toBeGreaterThanOrEqual(3);
	}, {timeout: 5000});
	expect(lists.map(([entry]) => entry?.state).slice(0, 3)).toEqual(['live', 'leaving', 'leaving']);
	expect(failures).toBe(0);
});

test('a batch of spans that the sink refused does not pass for delivered', async () => {
	const server = await RepeatingServer.start({
		repeat: 'beforeNext', returns: 'none', respond: (req, idLine) => responseOf(req.number === 1 ? 200 : 503, idLine, '{}'),
	});
	open.push(server);
	const exporter = new OtlpExporter(`http://${server.address}/v1/traces`, {});
	const codes: number[] = [];
	for (let batch = 0; batch < 2; batch++) {
		// eslint-disable-next-line no-await-in-loop
		codes.push(await new Promise<number>(resolve => {
			exporter.export([], ({code}) => {
				resolve(code);
			});
		}));
		// eslint-disable-next-line no-await-in-loop
		await sleep(betweenCallsMs);
	}

	expect(codes).toEqual([0, 1]);
});
