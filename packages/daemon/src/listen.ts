/** Opens an HTTP port for an h3 app. */
import {Buffer} from 'node:buffer';
import {createServer, STATUS_CODES} from 'node:http';
import type {Server} from 'node:http';
import type {Duplex} from 'node:stream';
import {errorResponses, routerError, toErrorBody} from '@baobabpier/core';
import type {ErrorKind} from '@baobabpier/core';
import {toNodeHandler} from 'h3';
import type {H3} from 'h3';

/** What a port allows a connection before its request reaches a handler. */
export type PortLimits = {
	/** Longest time for a request's headers, in milliseconds. */
	readonly headersTimeoutMs: number;
	readonly maxHeaderBytes: number;
	/** Connections at a time; more are closed at once. */
	readonly maxConnections: number;
};

const defaultLimits: PortLimits = {headersTimeoutMs: 10_000, maxHeaderBytes: 16 * 1024, maxConnections: 10_000};
const timeoutCheckMs = 500;

/** Splits `host:port`. */
export const splitAddress = (address: string): {readonly host: string; readonly port: number} => {
	const colon = address.lastIndexOf(':');
	return {host: address.slice(0, colon).replaceAll(/[\[\]]/gv, ''), port: Number(address.slice(colon + 1))};
};

const kindOf = (code: string | undefined): ErrorKind => {
	switch (code) {
		case 'HPE_HEADER_OVERFLOW': {
			return 'headersTooLarge';
		}

		case 'ERR_HTTP_REQUEST_TIMEOUT': {
			return 'requestTimeout';
		}

		default: {
			return 'malformedRequest';
		}
	}
};

const rawAnswer = (kind: ErrorKind): string => {
	const {status} = errorResponses[kind];
	const body = JSON.stringify(toErrorBody(routerError(kind)));
	const head = [`HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}`, 'content-type: application/json', `content-length: ${Buffer.byteLength(body)}`, 'connection: close'];
	return `${head.join('\r\n')}\r\n\r\n${body}`;
};

/** Answers requests that never reach a handler; a connection whose answer has begun is only closed. */
const registerClientErrors = (server: Server): void => {
	const busy = new WeakSet<Duplex>();
	server.on('request', (req, res) => {
		busy.add(req.socket);
		res.once('finish', () => {
			busy.delete(req.socket);
		});
	});
	server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
		if (busy.has(socket) || !socket.writable || error.code === 'ECONNRESET') {
			socket.destroy();
			return;
		}

		socket.end(rawAnswer(kindOf(error.code)), () => {
			socket.destroy();
		});
	});
};

/**
 * Makes a server listen on an address; resolves once it does.
 *
 * @throws Error when the address can't be listened on.
 * @example
 * await listenOn(createServer(handler), '127.0.0.1:8001');
 */
export const listenOn = async (server: Server, address: string, backlog?: number): Promise<void> => {
	const {host, port} = splitAddress(address);
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen({host, port, backlog}, () => {
			server.off('error', reject);
			resolve();
		});
	});
};

/**
 * Listens on an address.
 *
 * @throws Error when the address can't be listened on.
 * @example
 * const server = await openPort(app, '127.0.0.1:8001');
 */
export const openPort = async (app: H3, address: string, limits: PortLimits = defaultLimits): Promise<Server> => {
	const server = createServer({
		headersTimeout: limits.headersTimeoutMs, maxHeaderSize: limits.maxHeaderBytes, requestTimeout: 0, connectionsCheckingInterval: timeoutCheckMs,
	}, toNodeHandler(app));
	server.maxConnections = limits.maxConnections;
	registerClientErrors(server);
	await listenOn(server, address);
	return server;
};
