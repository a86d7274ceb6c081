/** Calls an instance's operators' methods. */
import {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import {readFile} from 'node:fs/promises';
import type {RpcMethod} from '@baobabpier/core';
import {createJSONRPCRequest} from 'json-rpc-2.0';
import type {JSONRPCResponse} from 'json-rpc-2.0';
import {request} from 'undici';

const callMs = 10_000;
/** Maximum size of a result, in bytes: that of the largest catalogue with its history. */
const maxResultBytes = 64 * 1024 * 1024;

/** Where an instance is and how to prove who asks. */
export type OperatorTarget = {
	/** `host:port` of the instance's peer port. */
	readonly instance: string;
	readonly secretFile: string;
};

/** Reads a body whole. Throws Error when it is too long. */
const readText = async (body: AsyncIterable<Uint8Array>): Promise<string> => {
	const chunks: Uint8Array[] = [];
	let bytes = 0;
	for await (const chunk of body) {
		bytes += chunk.length;
		if (bytes > maxResultBytes) {
			throw new Error(`the answer is over ${maxResultBytes} bytes`);
		}

		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString();
};

/**
 * Calls a method.
 *
 * @throws Error when the instance can't be reached or refuses.
 * @example
 * const status = await callInstance(target, STATUS, {});
 */
export const callInstance = async <Params, Result>(target: OperatorTarget, command: RpcMethod<Params, Result>, params: Params): Promise<Result> => {
	const secret = await readFile(target.secretFile, 'utf8');
	const call = createJSONRPCRequest(randomUUID(), command.method, params);
	const answer = await request(`http://${target.instance}/rpc`, {
		method: 'POST',
		headers: {'content-type': 'application/json', authorization: `Bearer ${secret.trim()}`},
		body: JSON.stringify(call),
		signal: AbortSignal.timeout(callMs),
		// Closes the connection after the call
		reset: true,
	});
	const response = JSON.parse(await readText(answer.body)) as JSONRPCResponse;
	if (answer.statusCode !== 200 || response.error !== undefined) {
		throw new Error(`${command.method}: ${response.error?.message ?? `HTTP status ${answer.statusCode}`}`);
	}

	if (response.id !== call.id) {
		throw new Error(`${command.method}: the result belongs to another call`);
	}

	return response.result as Result;
};
