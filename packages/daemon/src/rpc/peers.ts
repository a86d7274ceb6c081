/** One RPC client per instance, made when first needed. */
import type {InstanceId} from '@baobabpier/core';
import type {InstanceEntry} from '../settings/parse-settings.js';
import type {ForeignResponseListener} from '../transport/types.js';
import {RpcCallError, RpcClient} from './rpc-client.js';

/** The clients of the other instances. */
export class Peers {
	readonly #clients = new Map<InstanceId, RpcClient>();
	readonly #entries: ReadonlyMap<InstanceId, InstanceEntry>;

	/** `addressOf` resolves instances that the settings don't list. */
	constructor(
		instances: readonly InstanceEntry[],
		private readonly secret: string,
		private readonly addressOf: (id: InstanceId) => string | undefined = () => undefined,
		private readonly onForeignResponse?: ForeignResponseListener,
	) {
		this.#entries = new Map(instances.map(entry => [entry.id, entry]));
	}

	/** The client of an instance. Throws `RpcCallError` when the settings don't list it. */
	get(id: InstanceId): RpcClient {
		const known = this.#clients.get(id);
		if (known !== undefined) {
			return known;
		}

		const address = this.#entries.get(id)?.peers ?? this.addressOf(id);
		if (address === undefined) {
			throw new RpcCallError(`instance "${id}" is not in the settings`, false);
		}

		const client = new RpcClient(address, this.secret, this.onForeignResponse);
		this.#clients.set(id, client);
		return client;
	}

	/** Closes every client. */
	async close(): Promise<void> {
		await Promise.all([...this.#clients.values()].map(async client => client.close()));
	}
}
