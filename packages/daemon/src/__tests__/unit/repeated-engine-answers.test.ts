/** Engines that send an answer again where a later one is due. */
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, describe, expect, test,
} from 'vitest';
import {toId} from '@baobabpier/core';
import type {
	AttemptNumber, DecodeChunk, EngineFault, EngineHold, EngineId, FencingToken, InstanceId, KvHandle, RequestId, Result,
	EngineFaultError,
} from '@baobabpier/core';
import {RepeatingServer, responseOf} from './repeating-server.js';
import type {RawRequest, RepeatMoment, ReturnedId} from './repeating-server.js';
import {HttpEngineClient} from '@baobabpier/daemon';

/** Long enough for a kept connection to be free again. */
const betweenCallsMs = 20;

const holdOf = (number: number): EngineHold => ({requestId: toId<RequestId>(`r${number}`), attempt: 1 as AttemptNumber});
const handleOf = (number: number): KvHandle => ({
	engine: toId<EngineId>('e1'), kvId: `kv${number}`, tokens: number, expiresInMs: 800,
});

const open: Array<{close(): Promise<void>}> = [];

afterEach(async () => {
	await Promise.all(open.splice(0).map(async part => part.close()));
});

const collect = async (stream: AsyncIterable<DecodeChunk>): Promise<Result<unknown, EngineFault> | {readonly chunks: readonly DecodeChunk[]} | EngineFault> => {
	const chunks: DecodeChunk[] = [];
	try {
		for await (const chunk of stream) {
			chunks.push(chunk);
		}
	} catch (error) {
		return (error as EngineFaultError).fault;
	}

	return {chunks};
};

const valueOf = <T>(result: Result<T, EngineFault>): unknown => result.ok ? {value: result.val} : result.val;

const json = 'content-type: application/json\r\n';
const answer = (body: unknown) => (idLine: string): string => responseOf(200, json + idLine, JSON.stringify(body));
const expired = (idLine: string): string => responseOf(410, json + idLine, '{"kind":"expired"}');
const chunksOf = (number: number) => [{seq: 0, texts: [`t${number}`]}, {seq: 1, end: 'stop'}];
const stream = (number: number) => (idLine: string): string => {
	const body = chunksOf(number).map(message => `data: ${JSON.stringify(message)}\n\n`).join('');
	return `HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n${idLine}\r\n${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`;
};

const eventsOf = (number: number) => ({chunks: [{kind: 'tokens', seq: 0, texts: [`t${number}`]}, {kind: 'end', seq: 1, finish: 'stop'}]});

const reportOf = (number: number) => ({
	incarnation: `i${number}`, role: 'decode', pieces: 40, freePieces: number, queuedTokens: 0, running: 0, held: [],
});

type Row = {
	readonly name: string;
	readonly call: (client: HttpEngineClient, number: number) => Promise<unknown>;
	/** What the engine answers to the call of a number. */
	readonly respond: (number: number) => (idLine: string) => string;
	readonly own: (number: number) => unknown;
};

const {signal} = new AbortController();
const rows: readonly Row[] = [
	{
		name: 'reserve',
		call: async (client, number) => valueOf(await client.reserve(holdOf(number), 1, toId<InstanceId>('i1'))),
		respond: number => answer({incarnation: `life${number}`}),
		own: number => ({value: `life${number}`}),
	},
	{
		name: 'prefill',
		call: async (client, number) => valueOf(await client.prefill({...holdOf(number), tokens: number} as unknown as Parameters<HttpEngineClient['prefill']>[0], signal)),
		respond: number => answer({kvId: `kv${number}`, tokens: number, expiresInMs: 800}),
		own: number => ({value: handleOf(number)}),
	},
	{
		name: 'transfer',
		call: async (client, number) => valueOf(await client.transfer(holdOf(number), handleOf(number), 'p:1', signal)),
		respond: number => number === 1 ? expired : answer({imported: true}),
		own: number => number === 1 ? {kind: 'expired'} : {value: undefined},
	},
	{
		name: 'decode',
		call: async (client, number) => collect(client.decode({...holdOf(number), maxTokens: 9, sentTokens: 0} as unknown as Parameters<HttpEngineClient['decode']>[0], signal)),
		respond: stream,
		own: eventsOf,
	},
	{
		name: 'resume', call: async (client, number) => collect(client.resume(holdOf(number), 0, signal)), respond: stream, own: eventsOf,
	},
	{
		name: 'decode after a failure',
		call: async (client, number) => collect(client.resume(holdOf(number), 0, signal)),
		respond: number => number === 1 ? expired : stream(number),
		own: number => number === 1 ? {kind: 'expired'} : eventsOf(number),
	},
	{
		name: 'cancel', call: async (client, number) => valueOf(await client.cancel(holdOf(number))), respond: number => number === 1 ? answer({freed: 1}) : expired, own: number => number === 1 ? {value: undefined} : {kind: 'expired'},
	},
	{
		name: 'change',
		call: async (client, number) => valueOf(await client.change(number as FencingToken, {kind: 'setRole', role: 'decode'} as unknown as Parameters<HttpEngineClient['change']>[1])),
		respond: number => number === 1 ? answer({taken: true}) : idLine => responseOf(412, json + idLine, '{"kind":"refused","detail":"old"}'),
		own: number => number === 1 ? {value: undefined} : {kind: 'refused', detail: 'old'},
	},
	{
		name: 'report', call: async client => valueOf(await client.report()), respond: number => answer(reportOf(number)), own: number => ({value: {...reportOf(number), engine: 'e1'}}),
	},
];

const returns: readonly ReturnedId[] = ['same', 'none'];
const moments: readonly RepeatMoment[] = ['beforeNext', 'togetherWithNext', 'never'];
const cases = rows.flatMap(row => returns.flatMap(returned => moments.map(repeat => [`${row.name}; id returned: ${returned}; ${repeat}`, {...row, returned, repeat}] as const)));

describe('a second call gets its own answer or none, from an engine that repeats the first one', () => {
	test.each(cases)('%s', async (_, {call, respond, own, returned, repeat}) => {
		const server = await RepeatingServer.start({
			repeat, returns: returned, respond: (req: RawRequest, idLine) => respond(req.number)(idLine),
		});
		const client = new HttpEngineClient(toId<EngineId>('e1'), server.address);
		open.push(server, client);
		const outcomes: unknown[] = [];
		for (const number of [1, 2, 3]) {
			// eslint-disable-next-line no-await-in-loop
			outcomes.push(await call(client, number));
			// eslint-disable-next-line no-await-in-loop
			await sleep(betweenCallsMs);
		}

		expect([outcomes[0], outcomes[2]]).toEqual([own(1), own(3)]);
		if (returned === 'same' && server.copies > 0) {
			expect(outcomes[1]).toMatchObject({kind: 'lost'});
		} else {
			expect(outcomes[1]).toEqual(own(2));
		}

		expect(server.requests).toHaveLength(3);
		expect(server.connections).toBe(returned === 'same' ? 1 + server.copies : 3);
	});
});
