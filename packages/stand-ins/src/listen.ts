/** Starts an h3 app on a loopback port. */
import {createServer} from 'node:http';
import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	H3, HTTPError, toNodeHandler,
} from 'h3';
import type {H3Event} from 'h3';
import {FaultBoard} from './faults.js';
import type {Fault} from './faults.js';

/** How often a held call looks whether it may go on, in milliseconds. */
const holdPollMs = 20;

/** A running stand-in. */
export type RunningServer = {
	/** `host:port`. */
	readonly address: string;
	close(): Promise<void>;
};

/**
 * Listens on `port` of the loopback address; 0 takes a free port.
 *
 * @example
 * const server = await listen(app, 0);
 */
export const listen = async (app: H3, port: number): Promise<RunningServer> => {
	const server: Server = createServer(toNodeHandler(app));
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, '127.0.0.1', resolve);
	});
	const {port: actualPort} = server.address() as AddressInfo;
	return {
		address: `127.0.0.1:${actualPort}`,
		async close() {
			server.closeAllConnections();
			await new Promise(resolve => {
				server.close(resolve);
			});
		},
	};
};

const destroySocket = (event: H3Event): Response => {
	event.runtime?.node?.req.socket.destroy();
	return new Response(undefined, {status: 500});
};

const never = async (): Promise<never> => new Promise(() => {/* Stays open until the caller gives up */});

/** An h3 app whose calls obey a fault board, set by `PUT /faults`. */
export class FaultyApp {
	readonly app: H3 = new H3({silent: true});
	readonly faults = new FaultBoard();

	/** Answers carry the `x-request-id` of their request unless `returnsIds` is false. */
	constructor(returnsIds = true) {
		if (returnsIds) {
			this.app.use(event => {
				const requestId = event.req.headers.get('x-request-id');
				if (requestId !== null) {
					event.res.headers.set('x-request-id', requestId);
					event.res.errHeaders.set('x-request-id', requestId);
				}
			});
		}

		this.app.put('/faults', async event => {
			this.faults.set(await event.req.json() as Fault[]);
			return {ok: true};
		});
	}

	/** Registers a handler behind the faults. */
	on(method: 'GET' | 'POST', path: string, handler: (event: H3Event) => unknown): void {
		this.app.on(method, path, async event => this.run(event, handler));
	}

	/** Runs a handler behind the faults. */
	async run(event: H3Event, handler: (event: H3Event) => unknown): Promise<unknown> {
		const path = event.url.pathname;
		const delayMs = this.faults.delayMs(path);
		if (delayMs > 0) {
			await sleep(delayMs);
		}

		while (this.faults.has('hold', path)) {
			// eslint-disable-next-line no-await-in-loop
			await sleep(holdPollMs);
		}

		if (this.faults.has('reset', path)) {
			return destroySocket(event);
		}

		if (this.faults.has('full', path)) {
			throw new HTTPError({status: 409, body: {kind: 'full', freePieces: 0}});
		}

		const answer = await handler(event);
		if (this.faults.has('silence', path)) {
			await never();
		}

		return this.faults.has('dropAnswer', path) ? destroySocket(event) : answer;
	}
}
