/** A running instance before a backend server that sends an answer again on each connection. */
import {afterEach, expect, test} from 'vitest';
import {request} from 'undici';
import {RepeatingServer, responseOf} from '../../../../packages/daemon/src/__tests__/unit/repeating-server.js';
import {SingleInstance} from '../../demo/single-instance.js';

const callers = 8;
const callsEach = 40;
const open: Array<() => Promise<void>> = [];

afterEach(async () => {
	for (const close of open.splice(0).toReversed()) {
		// eslint-disable-next-line no-await-in-loop
		await close();
	}
});

type Call = {readonly target: string; readonly headers: Record<string, string>};

const callOf = (number: number): Call => {
	switch (number % 3) {
		case 0: {
			return {target: `/check?n=${number}`, headers: {}};
		}

		case 1: {
			return {target: `/bookings?n=${number}`, headers: {}};
		}

		default: {
			return {target: `/bookings?n=${number}`, headers: {'idempotency-key': `key-${number}`, 'x-request-id': 'the-same'}};
		}
	}
};

test.each([
	{returns: 'same', fewestAnswered: 0.3},
	{returns: 'none', fewestAnswered: 1},
	{returns: 'ofTheServer', fewestAnswered: 1},
] as const)('callers get their own answers whole or an unknown outcome (id returned: $returns)', async ({returns, fewestAnswered}) => {
	const server = await RepeatingServer.start({
		repeat: 'beforeNext', returns, respond: ({target}, idLine) => responseOf(200, idLine, `the answer to ${target}`.repeat(1 + (target.length * 100))),
	});
	open.push(async () => server.close());
	const single = await SingleInstance.start({
		standIns: {},
		services: () => ({
			desk: {
				kind: 'plain',
				owner: 'hire',
				class: 'urgent',
				idempotent: ['POST /check'],
				limits: {inFlight: 100, requestsPerSecond: 10_000},
				backends: [{id: 'desk-1', address: server.address, dataCentre: 'a'}],
			},
		}),
	});
	open.push(async () => single.stop());

	const outcomes: string[] = [];
	const call = async (number: number): Promise<void> => {
		const {target, headers} = callOf(number);
		const answer = await request(`http://${single.callers}/services/desk${target}`, {method: 'POST', headers, body: 'x'.repeat(number)});
		const text = await answer.body.text();
		if (answer.statusCode === 200) {
			expect(text).toBe(`the answer to ${target}`.repeat(1 + (target.length * 100)));
			outcomes.push('answered');
		} else {
			const {error} = JSON.parse(text) as {error: {kind: string; run: string}};
			expect([error.kind, error.run]).toEqual(['outcomeUnknown', 'unknown']);
			outcomes.push(error.kind);
		}
	};

	await Promise.all(Array.from({length: callers}, async (_, caller) => {
		for (let index = 0; index < callsEach; index++) {
			// eslint-disable-next-line no-await-in-loop
			await call((caller * callsEach) + index);
		}
	}));

	expect(outcomes).toHaveLength(callers * callsEach);
	expect(outcomes.filter(outcome => outcome === 'answered').length).toBeGreaterThanOrEqual(fewestAnswered * outcomes.length);
	// Each call reached the server once
	expect(new Set(server.requests.map(({target}) => target)).size).toBe(server.requests.length);
	if (returns === 'same') {
		expect(server.copies).toBeGreaterThan(0);
	}
});
