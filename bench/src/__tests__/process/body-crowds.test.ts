/** Crowds of clients whose requests never end, against the daemon's own interface. Guards against a daemon that runs out of memory or descriptors. */
import {BodyCrowd, ProcessUsage} from '@baobabpier/stand-ins';
import type {CrowdPlan} from '@baobabpier/stand-ins';
import {request} from 'undici';
import {
	afterEach, beforeEach, describe, expect, test,
} from 'vitest';
import {SingleInstance} from '@baobabpier/bench';

/** What the daemon may use in these tests, in megabytes, and descriptors. */
const limits = {megabytes: 160, descriptors: 1000};
/** Bound of a wait for a response: the crowd keeps the process busy, and only that there is one counts. */
const answerTimeoutMs = 60_000;

let single: SingleInstance;
let crowd: BodyCrowd | undefined;

beforeEach(async () => {
	single = await SingleInstance.start({
		standIns: {desk: ['backend', '--id', 'desk'], p: ['engine', '--role', 'prefill'], d: ['engine', '--role', 'decode', '--pieces', '4']},
		services: ({desk, p, d}) => ({
			llm: {
				kind: 'model', owner: 'o', class: 'urgent', engines: [
					{
						id: 'p', address: p, dataCentre: 'a', role: 'prefill', pieces: 4,
					},
					{
						id: 'd', address: d, dataCentre: 'a', role: 'decode', pieces: 4,
					},
				],
			},
			desk: {
				kind: 'plain', owner: 'o', class: 'urgent', idempotent: ['POST /availability'], backends: [{id: 'desk', address: desk, dataCentre: 'a'}],
			},
		}),
		// A stop has nobody to wait for
		settings: {entry: {maxConnections: 800, maxBufferedBytes: 16_777_216}, stop: {readinessDelayMs: 1, quorumWaitMs: 1}},
	});
});

afterEach(async () => {
	crowd?.close();
	crowd = undefined;
	await single.stop();
});

const plans: ReadonlyArray<{readonly name: string; readonly plan: CrowdPlan}> = [
	{name: '60 bodies of 20,000 chunks of a byte', plan: {clients: 60, chunks: {bytes: 1, count: 20_000}}},
	{name: '1,500 bodies of 61,000 bytes', plan: {clients: 1500, chunks: {bytes: 61_000, count: 1}}},
	{name: '120 bodies of 3 chunks of a megabyte', plan: {clients: 120, chunks: {bytes: 1_048_576, count: 3}}},
];

describe.each([
	{name: 'completions', line: 'POST /v1/completions', more: ''},
	{name: 'idempotent calls of a plain service', line: 'POST /services/desk/availability', more: ''},
	{name: 'calls with a key', line: 'POST /services/desk/book', more: 'Idempotency-Key: k\r\n'},
	{name: 'other calls of a plain service', line: 'POST /services/desk/book', more: ''},
])('$name', ({line, more}) => {
	test.each(plans)('survive $name that stay open', async ({plan}) => {
		const {pid} = single.daemon.child;
		const usage = new ProcessUsage(pid!);
		crowd = new BodyCrowd(single.callers, `${line} HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\n${more}`, plan);
		await crowd.send();
		const response = await request(`http://${single.callers}/services/desk/availability`, {
			method: 'POST', body: 'ordinary', headersTimeout: answerTimeoutMs, bodyTimeout: answerTimeoutMs,
		});
		await response.body.dump();
		const peak = await usage.stop();
		expect(single.daemon.child.exitCode).toBeNull();
		expect(response.statusCode).toBe(200);
		expect(peak.megabytes).toBeLessThanOrEqual(limits.megabytes);
		expect(peak.descriptors).toBeLessThanOrEqual(limits.descriptors);
	});
});
