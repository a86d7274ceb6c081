/** A backend server on a raw TCP socket that fails at a chosen point of a request. */
import {createServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {Buffer} from 'node:buffer';

export type Behaviour =
	/** Sends a complete response. */
	| 'answer'
	/** Resets the connection before it reads. */
	| 'resetBefore'
	/** Resets the connection after the first part of the request. */
	| 'resetHalfway'
	/** Reads the whole request, executes it, and resets the connection. */
	| 'resetAfter'
	/** Reads the whole request, executes it, and sends no response. */
	| 'silence'
	/** Sends a complete response after 300 ms. */
	| 'late'
	/** Executes the request and resets the connection in the middle of the response. */
	| 'halfAnswer'
	/** Sends a response, and resets the keep-alive connection when the next request begins. */
	| 'closeKept';

const responseDelayMs = 300;

/** A response with the id of its request, so that the connection is kept. */
const responseTo = (request: string, status: number): string => {
	const id = /^x-request-id: (?<id>\S+)/imv.exec(request)?.groups?.id ?? '';
	return `HTTP/1.1 ${status} Status\r\ncontent-length: 6\r\ncontent-type: text/plain\r\nx-request-id: ${id}\r\n\r\nbooked`;
};

const isComplete = (text: string): boolean => {
	const end = text.indexOf('\r\n\r\n');
	if (end === -1) {
		return false;
	}

	const length = /content-length: (?<bytes>\d+)/iv.exec(text)?.groups?.bytes;
	const body = text.slice(end + 4);
	return length === undefined ? (!/chunked/iv.test(text) || body.endsWith('0\r\n\r\n')) : body.length >= Number(length);
};

/** Counts requests begun and requests executed. */
export class RawBackend {
	static async start(behaviour: Behaviour): Promise<RawBackend> {
		const backend = new RawBackend(behaviour);
		await new Promise<void>(resolve => {
			backend.#server.listen(0, '127.0.0.1', resolve);
		});
		return backend;
	}

	begun = 0;
	runs = 0;
	/** Status of its responses. */
	status = 200;
	readonly #sockets = new Set<Socket>();
	readonly #server = createServer(socket => {
		this.#serve(socket);
	});

	private constructor(readonly behaviour: Behaviour) {}

	get address(): string {
		return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
	}

	async close(): Promise<void> {
		for (const socket of this.#sockets) {
			socket.destroy();
		}

		await new Promise(resolve => {
			this.#server.close(resolve);
		});
	}

	#serve(socket: Socket): void {
		this.#sockets.add(socket);
		socket.on('error', () => {/* Resets are expected here */});
		if (this.behaviour === 'resetBefore') {
			socket.resetAndDestroy();
			return;
		}

		let text = '';
		let responses = 0;
		socket.on('data', (bytes: Uint8Array) => {
			this.begun += text === '' ? 1 : 0;
			text += Buffer.from(bytes).toString();
			if (this.behaviour === 'resetHalfway' || (this.behaviour === 'closeKept' && responses > 0)) {
				socket.resetAndDestroy();
			} else if (isComplete(text)) {
				const response = responseTo(text, this.status);
				text = '';
				this.runs += 1;
				responses += 1;
				this.#respond(socket, response);
			}
		});
	}

	#respond(socket: Socket, response: string): void {
		switch (this.behaviour) {
			case 'resetAfter': {
				socket.resetAndDestroy();
				break;
			}

			case 'silence': {
				break;
			}

			case 'late': {
				setTimeout(() => {
					socket.write(response);
				}, responseDelayMs);
				break;
			}

			case 'halfAnswer': {
				socket.write(response.slice(0, -3));
				setTimeout(() => {
					socket.resetAndDestroy();
				}, 20);
				break;
			}

			default: {
				socket.write(response);
			}
		}
	}
}
