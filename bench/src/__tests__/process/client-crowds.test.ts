/**
 * Clients that the limits don't bind, against the daemon's own interface with its default settings. Guards against a daemon that uses more than its
 * machine has, or answers ordinary requests no longer, while such clients go on and come back.
 */
import {ClientCrowd, ProcessUsage} from '@baobabpier/stand-ins';
import type {ClientPlan} from '@baobabpier/stand-ins';
import {request} from 'undici';
import {
	afterEach, beforeEach, describe, expect, test,
} from 'vitest';
import {SingleInstance} from '@baobabpier/bench';

/** What the daemon may use in these tests, in megabytes, and descriptors. */
const limits = {megabytes: 160, descriptors: 1000};
/** Bound of a wait for one ordinary response, in milliseconds. */
const answerTimeoutMs = 20_000;
/** Bound of a test whose clients connect slowly: beside a full queue of new connections each of them tries again after seconds. */
const crowdTimeoutMs = 300_000;
/** Ordinary requests that are sent one after another beside a crowd. */
const ordinaryRequests = 3;

let single: SingleInstance;
let crowd: ClientCrowd | undefined;

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
		settings: {stop: {readinessDelayMs: 1, quorumWaitMs: 1}},
	});
});

afterEach(async () => {
	crowd?.close();
	crowd = undefined;
	await single.stop();
});

const ask = async (): Promise<number | string> => {
	try {
		const response = await request(`http://${single.callers}/services/desk/availability`, {
			method: 'POST', body: 'ordinary', headersTimeout: answerTimeoutMs, bodyTimeout: answerTimeoutMs, reset: true,
		});
		await response.body.dump();
		return response.statusCode;
	} catch (error) {
		return (error as {readonly code?: string}).code ?? String(error);
	}
};

const completion = 'POST /v1/completions HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\n';
const plain = 'POST /services/desk/availability HTTP/1.1\r\nHost: h\r\n';
const chunked = 'Transfer-Encoding: chunked\r\n\r\n';
const oneByteChunks = '1\r\nx\r\n'.repeat(10_000);
const longChunk = `${(61_000).toString(16)}\r\n${'x'.repeat(61_000)}\r\n`;

type Crowd = {readonly name: string; readonly address: () => string; readonly plan: Omit<ClientPlan, 'reads' | 'returns'>};

const callers = (): string => single.callers;
const peers = (): string => single.peers;

describe('a daemon with default settings survives', {timeout: crowdTimeoutMs}, () => {
	test.each<Crowd>([
		{name: '100 completions of one-byte chunks without pause', address: callers, plan: {clients: 100, start: `${completion}${chunked}`, repeat: oneByteChunks}},
		{name: '100 plain calls of one-byte chunks without pause', address: callers, plan: {clients: 100, start: `${plain}${chunked}`, repeat: oneByteChunks}},
		{name: '100 calls of one-byte chunks without pause at the peers\' port', address: peers, plan: {clients: 100, start: `POST /rpc HTTP/1.1\r\nHost: h\r\n${chunked}`, repeat: oneByteChunks}},
		{name: '3,000 bodies of 61,000 bytes', address: callers, plan: {clients: 3000, start: `${completion}${chunked}${longChunk}`}},
		{name: '6,000 heads of 14,000 bytes', address: callers, plan: {clients: 6000, start: `${plain}X-Filler: ${'y'.repeat(14_000)}`}},
		{name: '3,000 heads at the peers\' port', address: peers, plan: {clients: 3000, start: `POST /rpc HTTP/1.1\r\nX-Filler: ${'y'.repeat(14_000)}`}},
	])('$name', async ({address, plan}) => {
		const usage = new ProcessUsage(single.daemon.child.pid!);
		crowd = new ClientCrowd(address(), {...plan, reads: true, returns: true});
		await crowd.start();
		const statuses: Array<number | string> = [];
		for (let sent = 0; sent < ordinaryRequests; sent++) {
			// eslint-disable-next-line no-await-in-loop
			statuses.push(await ask());
		}

		const peak = await usage.stop();
		expect(single.daemon.child.exitCode).toBeNull();
		expect(statuses).toEqual(statuses.map(() => 200));
		expect(peak.megabytes).toBeLessThanOrEqual(limits.megabytes);
		expect(peak.descriptors).toBeLessThanOrEqual(limits.descriptors);
	});
});
