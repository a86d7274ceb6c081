/** Calls JSON-RPC methods of an instance's peer port. */
import {randomUUID} from 'node:crypto';
import type {RpcMethod} from '@baobabpier/core';
import {request} from 'undici';
import type {Dispatcher} from 'undici';

const callMs = 10_000;

/** Which port is called, and how. */
export type PeerTarget = {
	/** `host:port` of the peer port. */
	readonly address: string;
	readonly secret: string;
	/** Connections to use; the process's own when undefined. */
	readonly dispatcher?: Dispatcher;
};

/**
 * Calls a method once.
 *
 * @throws Error when there is no result within 10,000 ms.
 * @example
 * const status = await callPeer({address, secret}, STATUS, {});
 */
export const callPeer = async <Params, Result>({address, secret, dispatcher}: PeerTarget, command: RpcMethod<Params, Result>, params: Params): Promise<Result> => {
	const id = randomUUID();
	const answer = await request(`http://${address}/rpc`, {
		method: 'POST',
		headers: {'content-type': 'application/json', authorization: `Bearer ${secret}`},
		body: JSON.stringify({
			jsonrpc: '2.0', id, method: command.method, params,
		}),
		signal: AbortSignal.timeout(callMs),
		dispatcher,
	});
	const {result, error, id: answered} = await answer.body.json() as {result?: Result; error?: {message: string}; id?: string};
	if (result !== undefined && answered !== id) {
		throw new Error(`${command.method}: the result belongs to another call`);
	}

	if (result === undefined) {
		throw new Error(error?.message ?? `HTTP status ${answer.statusCode}`);
	}

	return result;
};
