/** The connections to one address and the requests that wait for them. */
import {Buffer} from 'node:buffer';
import {ConnectionPlan} from '@baobabpier/core';
import type {ConnectionId, PlanStep} from '@baobabpier/core';
import {createLog} from '../log.js';
import type {Exchange} from './exchange.js';
import {matchResponseHead} from './response-head.js';
import {ServerConnection} from './server-connection.js';
import type {ForeignMoment, ServerTransportOptions} from './types.js';

const log = createLog('transport');
/** Default connect timeout, in milliseconds: a machine without power never responds, others respond within a few milliseconds. */
const defaultConnectTimeoutMs = 250;
/** How long a maximum of connections is used before it is asked for again, in milliseconds. */
const maxConnectionsTtlMs = 1000;

/**
 * Carries out the connection plan of an address.
 *
 * @example
 * const pool = new AddressPool('10.0.0.9:8080', options);
 * pool.send(exchange);
 */
export class AddressPool {
	readonly #plan = new ConnectionPlan<Exchange>(() => this.#maxConnections());
	readonly #connections = new Map<ConnectionId, ServerConnection>();
	#limit = {value: 0, until: 0};
	#openError: NodeJS.ErrnoException | undefined;
	#isClosed = false;

	constructor(private readonly address: string, private readonly options: ServerTransportOptions) {}

	/** Whether no connection is open and no request waits. */
	get isEmpty(): boolean {
		return this.#plan.isEmpty && this.#connections.size === 0;
	}

	/** Sends a request on a connection of its lane, as soon as there is one. */
	send(exchange: Exchange): void {
		this.#run(this.#plan.add(exchange));
	}

	/** Aborts a request: one that waits has not been sent. */
	abort(exchange: Exchange, reason: Error): void {
		const steps = this.#plan.cancel(exchange);
		if (steps === undefined) {
			exchange.abort(reason);
			return;
		}

		this.#run(steps);
		exchange.fail({kind: 'unsent', detail: reason.message});
	}

	/** Closes idle connections at once, and those in use when their response is complete. */
	discard(): void {
		this.#run(this.#plan.discard());
	}

	/** Closes all connections; requests on them break, and waiting ones are not sent. */
	destroy(): void {
		this.#isClosed = true;
		for (const connection of this.#connections.values()) {
			connection.destroy();
		}
	}

	#maxConnections(): number {
		const now = performance.now();
		if (now >= this.#limit.until) {
			this.#limit = {value: this.options.maxConnectionsTo(this.address), until: now + maxConnectionsTtlMs};
		}

		return this.#limit.value;
	}

	#run(steps: ReadonlyArray<PlanStep<Exchange>>): void {
		const pending = [...steps];
		for (const step of pending) {
			switch (step.kind) {
				case 'open': {
					this.#open(step.connection);
					break;
				}

				case 'send': {
					// A request that is withdrawn here leaves its connection to the next one
					if (step.request.withdrawIfHeldBack()) {
						pending.push(...this.#plan.handleHeldBack(step.connection));
					} else {
						this.#connections.get(step.connection)!.send(step.request);
					}

					break;
				}

				case 'close': {
					const connection = this.#connections.get(step.connection);
					this.#connections.delete(step.connection);
					connection?.destroy();
					break;
				}

				case 'fail': {
					const error = this.#openError;
					step.request.fail({
						kind: 'unsent', detail: error?.message ?? 'the connection was closed before the request was written', isUnreachable: error !== undefined, isRefused: (error)?.code === 'ECONNREFUSED',
					});
					break;
				}
			}
		}
	}

	#open(id: ConnectionId): void {
		if (this.#isClosed) {
			this.#run(this.#plan.handleClosed(id));
			return;
		}

		const connection: ServerConnection = new ServerConnection(this.address, this.options.connectTimeoutMs ?? defaultConnectTimeoutMs, {
			onOpened: () => {
				if (this.#connections.has(id)) {
					this.#run(this.#plan.handleOpened(id));
				}
			},
			onClosed: error => {
				this.#connections.delete(id);
				this.#openError = error;
				this.#run(this.#plan.handleClosed(id));
				this.#openError = undefined;
			},
			judge: responseId => this.#plan.judge(id, responseId),
			onForeign: (moment, last, responseId) => {
				this.#recordForeign(connection, moment, last, responseId);
			},
			onUnexpectedBytes: (last, bytes) => {
				this.#recordForeign(connection, 'idle', last, bytes === undefined ? undefined : this.#readId(bytes));
				this.#run(this.#plan.handleUnexpectedBytes(id));
			},
			onEnd: () => {
				if (this.#connections.has(id)) {
					this.#run(this.#plan.handleEnd(id));
				}
			},
			onUnwritten: () => {
				this.#run(this.#plan.handleUnwritten(id));
			},
			onRefused: () => {
				this.#run(this.#plan.handleHeldBack(id));
			},
		});
		this.#connections.set(id, connection);
	}

	#readId(bytes: Uint8Array): string | undefined {
		const match = matchResponseHead(Buffer.from(bytes).toString('latin1'));
		return match.kind === 'head' ? this.options.readResponseId(match.rawHeaders) : undefined;
	}

	#recordForeign(connection: ServerConnection, moment: ForeignMoment, last: Exchange | undefined, responseId: string | undefined): void {
		const kind = last?.request.kind ?? 'run';
		log('A response belongs to another request.', {
			kind, moment, requestId: last?.requestId, responseId, server: last?.request.server, address: this.address, connection: connection.localPort,
		});
		this.options.onForeignResponse?.(kind, moment);
	}
}
