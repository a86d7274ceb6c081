/** Opens an HTTP port for an h3 app. */
import {createServer} from 'node:http';
import type {Server} from 'node:http';
import {defaultResourceLimits} from '@baobabpier/core';
import type {PortBounds} from '@baobabpier/core';
import {toNodeHandler} from 'h3';
import type {H3} from 'h3';
import {ServerConnections} from './server-connections.js';

/** What a port allows a connection before its request reaches a handler. */
export type PortLimits = {
	/** Longest time for a request's headers, in milliseconds. */
	readonly headersTimeoutMs: number;
	readonly maxHeaderBytes: number;
	/** Connections at a time; a further one displaces one without a complete request. */
	readonly connections: PortBounds;
};

/** Limits of a port that has none of its own. */
export const defaultPortLimits: PortLimits = {headersTimeoutMs: 10_000, maxHeaderBytes: 16 * 1024, connections: defaultResourceLimits.ports.partners};
const timeoutCheckMs = 500;

/** Splits `host:port`. */
export const splitAddress = (address: string): {readonly host: string; readonly port: number} => {
	const colon = address.lastIndexOf(':');
	return {host: address.slice(0, colon).replaceAll(/[\[\]]/gv, ''), port: Number(address.slice(colon + 1))};
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
 * Listens on an address with an h3 app, and keeps track of the connections.
 *
 * @throws Error when the address can't be listened on.
 * @example
 * const connections = await openConnections(app, '127.0.0.1:8001');
 */
export const openConnections = async (app: H3, address: string, limits: PortLimits = defaultPortLimits): Promise<ServerConnections> => {
	const handler = toNodeHandler(app);
	const connections = new ServerConnections(createServer({
		headersTimeout: limits.headersTimeoutMs, maxHeaderSize: limits.maxHeaderBytes, requestTimeout: 0, connectionsCheckingInterval: timeoutCheckMs,
	}), (req, res) => {
		void handler(req, res);
	});
	connections.setBounds(limits.connections);
	await listenOn(connections.server, address);
	return connections;
};

/**
 * Listens on an address.
 *
 * @throws Error when the address can't be listened on.
 * @example
 * const server = await openPort(app, '127.0.0.1:8001');
 */
export const openPort = async (app: H3, address: string, limits: PortLimits = defaultPortLimits): Promise<Server> => {
	const {server} = await openConnections(app, address, limits);
	return server;
};
