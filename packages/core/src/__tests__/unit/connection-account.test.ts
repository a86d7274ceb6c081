/** Guards against clients that open connections without end and so keep ordinary ones, or those of another port, out. */
import {describe, expect, test} from 'vitest';
import {
	ConnectionAccount, defaultResourceLimits, resourceLimits,
} from '@baobabpier/core';
import type {ConnectionHandle, ConnectionPort, ConnectionStage} from '@baobabpier/core';

const megabyte = 1024 * 1024;

/** Opens a connection; returns what had to give way, or `refused`. */
const open = (port: ConnectionPort, stage: ConnectionStage): {readonly handle?: ConnectionHandle; readonly displaced: ConnectionStage | 'refused' | undefined} => {
	const admission = port.admit();
	if (admission.kind === 'refused') {
		return {displaced: 'refused'};
	}

	port.setStage(admission.handle, stage);
	return {handle: admission.handle, displaced: admission.kind === 'displaces' ? admission.displaced.stage : undefined};
};

describe('a port that is full', () => {
	test.each<{readonly name: string; readonly held: readonly ConnectionStage[]; readonly displaced: ConnectionStage | 'refused'}>([
		{name: 'one that is about to be closed', held: ['partialHead', 'closing', 'silent'], displaced: 'closing'},
		{name: 'one with a part of a head before a silent one', held: ['silent', 'partialHead', 'serving'], displaced: 'partialHead'},
		{name: 'one of the many with parts of heads', held: ['silent', 'partialHead', 'partialHead'], displaced: 'partialHead'},
		{name: 'one of the many with parts of bodies', held: ['silent', 'partialBody', 'partialBody'], displaced: 'partialBody'},
		{name: 'one of the many silent ones', held: ['partialBody', 'silent', 'silent'], displaced: 'silent'},
		{name: 'one with a part of a body before one whose client reads nothing', held: ['unread', 'partialBody', 'idle'], displaced: 'partialBody'},
		{name: 'an idle one last', held: ['serving', 'idle', 'serving'], displaced: 'idle'},
		{name: 'none that has a whole request', held: ['serving', 'serving', 'serving'], displaced: 'refused'},
	])('closes $name', ({held, displaced}) => {
		const port = new ConnectionAccount(100).openPort({guaranteed: 3, max: 3});
		for (const stage of held) {
			open(port, stage);
		}

		expect(open(port, 'silent').displaced).toBe(displaced);
		expect(port.size).toBe(3);
	});

	test('closes the connection that has been longest in its stage', () => {
		const port = new ConnectionAccount(100).openPort({guaranteed: 2, max: 2});
		const first = open(port, 'silent').handle!;
		const second = open(port, 'silent').handle!;
		port.setStage(first, 'serving');
		port.setStage(first, 'silent');
		const admission = port.admit();
		expect(admission).toMatchObject({kind: 'displaces', displaced: second});
	});
});

describe('an ordinary client whose head arrives behind its connection', () => {
	const {max} = defaultResourceLimits.ports.callers;
	test.each([
		{crowd: 'partialHead', newcomers: 20_000, isKept: true},
		{crowd: 'partialBody', newcomers: 20_000, isKept: true},
		{crowd: 'silent', newcomers: max - 1, isKept: true},
		{crowd: 'silent', newcomers: max, isKept: false},
	] as const)('is kept ($isKept) while $newcomers clients come with $crowd before its head does', ({crowd, newcomers, isKept}) => {
		const port = new ConnectionAccount(defaultResourceLimits.connections).openPort(defaultResourceLimits.ports.callers);
		for (let index = 0; index < max; index++) {
			open(port, crowd);
		}

		const ordinary = open(port, 'silent').handle!;
		let isOpen = true;
		for (let index = 0; index < newcomers; index++) {
			const admission = port.admit();
			isOpen &&= admission.kind !== 'displaces' || admission.displaced !== ordinary;
			if (admission.kind !== 'refused') {
				port.setStage(admission.handle, crowd);
			}
		}

		expect(isOpen).toBe(isKept);
	});
});

describe('a crowd at one port', () => {
	test.each([
		{memory: 88, descriptors: 1000},
		{memory: 128, descriptors: 1000},
		{memory: 178, descriptors: 1000},
		{memory: 178, descriptors: 4100},
		{memory: 346, descriptors: 1000},
	])('takes no guaranteed part of another one, nor more than the machine has ($memory MB, $descriptors descriptors)', ({memory, descriptors}) => {
		const {connections, ports} = resourceLimits({memoryBytes: memory * megabyte, descriptors});
		const all = [ports.callers, ports.partners, ports.balancer, ports.scrapers];
		for (const crowded of all.keys()) {
			const account = new ConnectionAccount(connections);
			const opened = all.map(bounds => account.openPort(bounds));
			for (let index = 0; index < 3000; index++) {
				open(opened[crowded]!, 'serving');
			}

			for (const [index, port] of opened.entries()) {
				if (index !== crowded) {
					expect(Array.from({length: all[index]!.guaranteed}, () => open(port, 'serving').displaced)).toEqual(Array.from({length: all[index]!.guaranteed}, () => undefined));
				}

				for (let more = 0; more < 3000; more++) {
					open(port, 'silent');
				}
			}

			expect(account.size).toBeLessThanOrEqual(connections);
			expect(account.size).toBeLessThanOrEqual(0.6 * descriptors);
		}
	});

	test('a port that is closed leaves its part to the others', () => {
		const account = new ConnectionAccount(10);
		const [first, second] = [account.openPort({guaranteed: 5, max: 10}), account.openPort({guaranteed: 5, max: 10})];
		for (let index = 0; index < 8; index++) {
			open(first, 'serving');
		}

		expect(first.size).toBe(5);
		account.closePort(second);
		expect(open(first, 'serving').displaced).toBeUndefined();
	});
});
