/** A stand-in for the platform's list of live and leaving instances, servers and engines. */
import {FaultyApp, listen} from './listen.js';
import type {RunningServer} from './listen.js';

/** One line of the platform's list. */
export type PlatformEntry = {
	readonly id: string;
	readonly state: 'live' | 'leaving';
	/** Number of the mark, growing per list; left out by lists without numbers. */
	readonly mark?: number;
};

/**
 * Starts a platform list that shows each mark `lagMs` milliseconds late.
 *
 * Routes: `GET /instances`, `POST /mark` with `{id, state, mark}` or `{id, state: 'gone'}`, `PUT /faults`.
 *
 * @example
 * const list = await startPlatformList(500, 0);
 */
export const startPlatformList = async (lagMs: number, port: number): Promise<RunningServer> => {
	const entries = new Map<string, PlatformEntry>();
	const server = new FaultyApp();
	server.on('GET', '/instances', () => [...entries.values()]);
	server.app.post('/mark', async event => {
		const {id, state, mark} = await event.req.json() as {id: string; state: 'live' | 'leaving' | 'gone'; mark?: number};
		setTimeout(() => {
			if (state === 'gone') {
				entries.delete(id);
			} else {
				entries.set(id, {id, state, ...(mark === undefined ? {} : {mark})});
			}
		}, lagMs);
		return {marked: id};
	});
	return listen(server.app, port);
};
