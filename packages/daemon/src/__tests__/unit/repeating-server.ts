/** A server on a raw TCP socket that sends an earlier response again where a later one is due. */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';

/** A request as it arrived. */
export type RawRequest = {
	readonly method: string;
	readonly target: string;
	readonly id: string | undefined;
	readonly body: string;
	/** Number of the request at this server, from 1. */
	readonly number: number;
};

/** When the copy of a connection's first response is sent. */
export type RepeatMoment =
	/** Once the next request is complete, before its response. */
	| 'beforeNext'
	/** Once the next request is complete, in the same segment as its response. */
	| 'togetherWithNext'
	/** Once the head of the next request has arrived. */
	| 'afterNextHead'
	/** Once the next request is complete, which gets no response. */
	| 'insteadOfNext'
	/** Right after the response. */
	| 'atOnce'
	/** Never. */
	| 'never';

/** Which id a response carries. */
export type ReturnedId = 'same' | 'none' | 'ofTheServer';

export type RepeatingServerPlan = {
	readonly repeat: RepeatMoment;
	readonly returns: ReturnedId;
	/** The complete response; `idLine` is its id header, or empty. */
	readonly respond: (req: RawRequest, idLine: string) => string;
};

/** Milliseconds between the copy and the response that is due. */
const dueDelayMs = 5;

type ParsedRequest = {
	readonly req: Omit<RawRequest, 'number'>;
	readonly rest: string;
};

const decodeChunks = (text: string): {readonly body: string; readonly rest: string} | undefined => {
	let body = '';
	let at = 0;
	for (;;) {
		const lineEnd = text.indexOf('\r\n', at);
		if (lineEnd === -1) {
			return undefined;
		}

		const size = Number.parseInt(text.slice(at, lineEnd), 16);
		const end = lineEnd + 2 + size + 2;
		if (text.length < end) {
			return undefined;
		}

		body += text.slice(lineEnd + 2, lineEnd + 2 + size);
		at = end;
		if (size === 0) {
			return {body, rest: text.slice(end)};
		}
	}
};

/** Reads the first request of a text; undefined while it is incomplete. */
const parseRequest = (text: string): ParsedRequest | undefined => {
	const headEnd = text.indexOf('\r\n\r\n');
	if (headEnd === -1) {
		return undefined;
	}

	const head = text.slice(0, headEnd);
	const [method, target] = head.split(' ', 2) as [string, string];
	const id = /^x-request-id: (?<id>\S+)/imv.exec(head)?.groups?.id;
	const after = text.slice(headEnd + 4);
	if (/^transfer-encoding: chunked/imv.test(head)) {
		const decoded = decodeChunks(after);
		return decoded && {
			req: {
				method, target, id, body: decoded.body,
			}, rest: decoded.rest,
		};
	}

	const length = Number(/^content-length: (?<length>\d+)/imv.exec(head)?.groups?.length ?? 0);
	return after.length < length
		? undefined
		: {
			req: {
				method, target, id, body: after.slice(0, length),
			}, rest: after.slice(length),
		};
};

/** Writes a response with a length. */
export const responseOf = (status: number, headerLines: string, body: string): string => `HTTP/1.1 ${status} Any\r\ncontent-length: ${Buffer.byteLength(body)}\r\n${headerLines}\r\n${body}`;

/** Counts requests and connections. */
export class RepeatingServer {
	static async start(plan: RepeatingServerPlan): Promise<RepeatingServer> {
		const server = new RepeatingServer(plan);
		server.#server.listen(0, '127.0.0.1');
		await once(server.#server, 'listening');
		return server;
	}

	readonly requests: RawRequest[] = [];
	/** Copies sent. */
	copies = 0;
	/** Connections accepted. */
	connections = 0;
	readonly #sockets = new Set<Socket>();
	readonly #server = createServer(socket => {
		this.#serve(socket);
	});

	private constructor(private readonly plan: RepeatingServerPlan) {}

	get address(): string {
		return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
	}

	/** Connections that are open. */
	get open(): number {
		return this.#sockets.size;
	}

	async close(): Promise<void> {
		for (const socket of this.#sockets) {
			socket.destroy();
		}

		await new Promise(resolve => {
			this.#server.close(resolve);
		});
	}

	#idLine(req: RawRequest): string {
		switch (this.plan.returns) {
			case 'same': {
				return req.id === undefined ? '' : `x-request-id: ${req.id}\r\n`;
			}

			case 'ofTheServer': {
				return `x-request-id: 0b7e64c1-52a0-4d7f-9c11-9a55f2c0${String(req.number).padStart(4, '0')}\r\n`;
			}

			case 'none': {
				return '';
			}
		}
	}

	#serve(socket: Socket): void {
		this.connections += 1;
		this.#sockets.add(socket);
		socket.on('error', () => {/* Clients reset connections that are out of step */});
		socket.once('close', () => {
			this.#sockets.delete(socket);
		});
		let text = '';
		let first: string | undefined;
		let isCopySent = this.plan.repeat === 'never';
		const takeCopy = (): string => {
			if (first === undefined || isCopySent) {
				return '';
			}

			isCopySent = true;
			this.copies += 1;
			return first;
		};

		socket.on('data', (bytes: Uint8Array) => {
			text += Buffer.from(bytes).toString('latin1');
			if (this.plan.repeat === 'afterNextHead' && text.includes('\r\n\r\n')) {
				socket.write(takeCopy());
			}

			for (let parsed = parseRequest(text); parsed !== undefined; parsed = parseRequest(text)) {
				text = parsed.rest;
				const req: RawRequest = {...parsed.req, number: this.requests.length + 1};
				this.requests.push(req);
				const response = this.plan.respond(req, this.#idLine(req));
				this.#write(socket, takeCopy(), response);
				first ??= response;
				if (this.plan.repeat === 'atOnce') {
					this.#writeLater(socket, takeCopy());
				}
			}
		});
	}

	#write(socket: Socket, copy: string, response: string): void {
		if (copy === '') {
			socket.write(response);
			return;
		}

		if (this.plan.repeat === 'togetherWithNext') {
			socket.write(copy + response);
			return;
		}

		socket.write(copy);
		if (this.plan.repeat !== 'insteadOfNext') {
			this.#writeLater(socket, response);
		}
	}

	#writeLater(socket: Socket, text: string): void {
		setTimeout(() => {
			if (text !== '' && socket.writable) {
				socket.write(text);
			}
		}, dueDelayMs);
	}
}
