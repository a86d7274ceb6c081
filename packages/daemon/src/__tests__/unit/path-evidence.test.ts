/** Which failed calls put the path to servers in doubt. */
import {
	afterEach, beforeEach, expect, test,
} from 'vitest';
import {exchangeRaw, GatewayHarness} from './gateway-harness.js';
import type {EngineRequest} from './gateway-harness.js';
import {openPath} from './open-path.js';

let harness: GatewayHarness;
beforeEach(() => {
	harness = new GatewayHarness();
});
afterEach(() => {
	harness.close();
});

const reset = ({socket}: EngineRequest): void => {
	socket.resetAndDestroy();
};

/** Sends one event, and nothing more before the caller's deadline. */
const fallSilent = ({socket, id}: EngineRequest): void => {
	socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-stamp: s\r\ntransfer-encoding: chunked\r\n\r\nf\r\nid: 1\ndata: x\n\n\r\n`);
};

const refuse = ({socket, id}: EngineRequest): void => {
	socket.write(`HTTP/1.1 500 Failed\r\nx-id: ${id}\r\nx-stamp: s\r\ncontent-length: 0\r\n\r\n`);
};

// Guards against a lost path that goes unnoticed because only some kinds of calls break
test.each<{readonly name: string; readonly prefill: (req: EngineRequest) => void; readonly decode: (req: EngineRequest) => void; readonly isDirect: boolean; readonly failures: readonly string[]}>([
	{
		name: 'a read of a prompt that breaks', prefill: reset, decode: reset, isDirect: false, failures: ['p'],
	},
	{
		name: 'a stream that breaks', prefill: reset, decode: reset, isDirect: true, failures: ['d'],
	},
	{
		name: 'a stream that falls silent', prefill: reset, decode: fallSilent, isDirect: true, failures: ['d'],
	},
	{
		name: 'a read of a prompt that fails', prefill: refuse, decode: refuse, isDirect: false, failures: [],
	},
])('$name', async ({prefill, decode, isDirect, failures}) => {
	const reader = await harness.startEngine('p', 'prefill', prefill);
	const writer = await harness.startEngine('d', 'decode', decode);
	const recorded = new Set<string>();
	harness.path = {
		...openPath, recordFailure(server) {
			recorded.add(server);
		},
	};
	const gateway = await harness.startGateway([[isDirect ? writer : reader, writer], undefined]);
	await exchangeRaw(gateway, '/stream/x', 'r');
	expect([...recorded]).toEqual(failures);
});
