/** Calls an instance's operators' methods. */
import {randomUUID} from 'node:crypto';
import {readFile} from 'node:fs/promises';
import type {RpcMethod} from '@baobabpier/core';
import {createJSONRPCRequest} from 'json-rpc-2.0';
import type {JSONRPCResponse} from 'json-rpc-2.0';
import {request} from 'undici';

const callMs = 10_000;

/** Where an instance is and how to prove who asks. */
export type OperatorTarget = {
	/** `host:port` of the instance's peer port. */
	readonly instance: string;
	readonly secretFile: string;
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
	const response = await answer.body.json() as JSONRPCResponse;
	if (answer.statusCode !== 200 || response.error !== undefined) {
		throw new Error(`${command.method}: ${response.error?.message ?? `HTTP status ${answer.statusCode}`}`);
	}

	if (response.id !== call.id) {
		throw new Error(`${command.method}: the result belongs to another call`);
	}

	return response.result as Result;
};
