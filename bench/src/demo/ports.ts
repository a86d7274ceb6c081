/** Free loopback ports. */
import {randomInt} from 'node:crypto';
import {createServer} from 'node:net';
import type {Server} from 'node:net';

/** Ports below those that systems give to outgoing connections, which would take a free one before it is used. */
const range = {first: 15_000, beyond: 30_000} as const;

/** Listens on a port; undefined where it is in use. */
const tryListen = async (port: number): Promise<Server | undefined> => new Promise(resolve => {
	const server = createServer();
	server.once('error', () => {
		resolve(undefined);
	});
	server.listen(port, '127.0.0.1', () => {
		resolve(server);
	});
});

/** Finds ports that are free now. */
export const freePorts = async (count: number): Promise<number[]> => {
	const servers = new Map<number, Server>();
	while (servers.size < count) {
		const port = randomInt(range.first, range.beyond);
		// eslint-disable-next-line no-await-in-loop
		const server = servers.has(port) ? undefined : await tryListen(port);
		if (server !== undefined) {
			servers.set(port, server);
		}
	}

	await Promise.all([...servers.values()].map(async server => new Promise(resolve => {
		server.close(resolve);
	})));
	return [...servers.keys()];
};
