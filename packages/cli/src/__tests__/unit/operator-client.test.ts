/** An instance that sends an answer again where a later one is due. */
import {once} from 'node:events';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {defineRpcMethod} from '@baobabpier/core';
import {
	afterEach, beforeEach, expect, test,
} from 'vitest';
import {callInstance} from '@baobabpier/cli';

const COUNT = defineRpcMethod<Record<string, never>, {n: number}>('count'); // eslint-disable-line @typescript-eslint/naming-convention

/** Long enough for a kept connection to be free again. */
const betweenCallsMs = 20;

let folder: string;
let server: Server;
const sockets = new Set<Socket>();

beforeEach(async () => {
	folder = await mkdtemp(join(tmpdir(), 'baobabpier-operator-'));
	await writeFile(join(folder, 'secret'), 's');
});

afterEach(async () => {
	for (const socket of sockets) {
		socket.destroy();
	}

	server.close();
	await rm(folder, {recursive: true, force: true});
});

/** Answers calls with their number; `respond` writes the answers of a connection. */
const start = async (respond: (socket: Socket, answers: readonly string[]) => void, idOf: (id: string) => string = id => id): Promise<string> => {
	let calls = 0;
	server = createServer(socket => {
		const answers: string[] = [];
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.on('data', (bytes: Uint8Array) => {
			const {id} = JSON.parse(bytes.toString().split('\r\n\r\n')[1]!) as {id: string};
			calls += 1;
			const body = JSON.stringify({jsonrpc: '2.0', id: idOf(id), result: {n: calls}});
			answers.push(`HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: ${body.length}\r\n\r\n${body}`);
			respond(socket, answers);
		});
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	return `127.0.0.1:${(server.address() as AddressInfo).port}`;
};

const respondWithFirst = (socket: Socket, answers: readonly string[]): void => {
	socket.write(answers[0]!);
};

test('a second call gets its own result from an instance that repeats the first one', async () => {
	const target = {instance: await start(respondWithFirst), secretFile: join(folder, 'secret')};
	expect(await callInstance(target, COUNT, {})).toEqual({n: 1});
	await sleep(betweenCallsMs);
	expect(await callInstance(target, COUNT, {})).toEqual({n: 2});
});

test('a result under another id is no result', async () => {
	const target = {instance: await start(respondWithFirst, id => `${id}0`), secretFile: join(folder, 'secret')};
	await expect(callInstance(target, COUNT, {})).rejects.toThrow('another call');
});
