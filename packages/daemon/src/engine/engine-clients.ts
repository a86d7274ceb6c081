/** One client per engine address, made when first needed. */
import type {EngineClient, EngineHold, EngineId} from '@baobabpier/core';
import {TracedEngineClient} from '../observability/traced-engine-client.js';
import type {ForeignResponseListener} from '../transport/types.js';
import {HttpEngineClient} from './http-engine-client.js';

/** The engines' clients of this process. */
export class EngineClients {
	readonly #clients = new Map<string, {readonly http: HttpEngineClient; readonly traced: EngineClient}>();
	readonly #aliveListeners = new Map<string, () => void>();

	constructor(private readonly onForeignResponse?: ForeignResponseListener) {}

	/** The client of an engine. */
	get(id: EngineId, address: string): EngineClient {
		const key = `${id}@${address}`;
		const known = this.#clients.get(key);
		if (known !== undefined) {
			return known.traced;
		}

		const http = new HttpEngineClient(id, address, hold => {
			this.#aliveListeners.get(`${hold.requestId}/${hold.attempt}`)?.();
		}, this.onForeignResponse);
		const traced = new TracedEngineClient(id, http);
		this.#clients.set(key, {http, traced});
		return traced;
	}

	/** Calls `listener` at each keep-alive of a hold's stream; returns the teardown. */
	registerAliveListener(hold: EngineHold, listener: () => void): () => void {
		const key = `${hold.requestId}/${hold.attempt}`;
		this.#aliveListeners.set(key, listener);
		return () => {
			this.#aliveListeners.delete(key);
		};
	}

	/** Closes every client. */
	async close(): Promise<void> {
		await Promise.all([...this.#clients.values()].map(async ({http}) => http.close()));
	}
}
