/** Retries beside a silent run: how many there are, and what they are charged. */
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, expect, test, vi,
} from 'vitest';
import {RetryBudgets} from '../../gateway/retry-budgets.js';
import {exchangeRaw, GatewayHarness} from './gateway-harness.js';
import type {EngineRequest} from './gateway-harness.js';

const chunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;
const eventOf = (number: number): string => chunk(`id: ${number}\ndata: a\n\n`);
const head = (id: string, framing: string, status: string): string => `HTTP/1.1 ${status}\r\nx-id: ${id}\r\nx-stamp: s\r\n${framing}\r\n`;

afterEach(() => {
	vi.restoreAllMocks();
});

// Guards against a retry budget that is used up by runs which never reached an engine
test('a failure beside a silent run is charged once for each run that an engine got', async () => {
	const harness = new GatewayHarness();
	const acquire = vi.spyOn(RetryBudgets.prototype, 'tryAcquire');
	let runs = 0;
	const first = async ({socket, id}: EngineRequest): Promise<void> => {
		runs += 1;
		socket.write(head(id, 'transfer-encoding: chunked\r\n', '200 OK') + eventOf(1) + eventOf(2));
		await sleep(1900);
		socket.write(`${eventOf(3)}${eventOf(4)}0\r\n\r\n`);
	};

	const one = await harness.startEngine('d1', 'decode', request => {
		void first(request);
	});
	const other = await harness.startEngine('d2', 'decode', ({socket, id}) => {
		runs += 1;
		socket.write(`${head(id, 'content-length: 6\r\n', '500 Internal Server Error')}failed`);
	});
	const gateway = await harness.startGateway([[one, one], ...Array.from({length: 20}, () => [other, other] as const)], 4);
	const answer = await exchangeRaw(gateway, '/stream/', 'r1');
	harness.close();
	expect(answer.endsWith('0\r\n\r\n')).toBe(true);
	expect(runs).toBe(3);
	expect(acquire.mock.results.filter(({value}) => value === true)).toHaveLength(runs - 1);
}, 10_000);

// Guards against calls that run on more engines than their route's attempts: a run without a head has begun as well
test('beside a run that is silent before its head, failures use up the attempts of the route', async () => {
	const harness = new GatewayHarness();
	const maxAttempts = 3;
	let runs = 0;
	const one = await harness.startEngine('d1', 'decode', () => {
		runs += 1;
	});
	const other = await harness.startEngine('d2', 'decode', ({socket, id}) => {
		runs += 1;
		socket.write(`${head(id, 'content-length: 6\r\n', '500 Internal Server Error')}failed`);
	});
	const gateway = await harness.startGateway([[one, one], ...Array.from({length: 20}, () => [other, other] as const)], 4);
	await exchangeRaw(gateway, '/stream/', 'r1');
	harness.close();
	expect(runs).toBeLessThanOrEqual(maxAttempts);
}, 10_000);
