/** A stand-in plain backend server: availability checks and bookings that it counts. */
import {HTTPError} from 'h3';
import {FaultyApp, listen} from './listen.js';
import type {RunningServer} from './listen.js';

/** A running stand-in backend server. */
export type BackendServer = RunningServer & {
	/** Runs of each booking reference. */
	readonly runs: ReadonlyMap<string, number>;
};

const chunkBytes = 64 * 1024;

const bytesStream = (total: number): ReadableStream<Uint8Array> => {
	let left = total;
	return new ReadableStream<Uint8Array>({
		pull(controller) {
			const size = Math.min(left, chunkBytes);
			controller.enqueue(new Uint8Array(size).fill(0x61));
			left -= size;
			if (left === 0) {
				controller.close();
			}
		},
	}, {highWaterMark: 0});
};

/**
 * Starts a stand-in backend server; `returnsIds` tells whether answers carry the `x-request-id` of their request.
 *
 * Routes: `GET /availability`, `POST /availability`, `POST /bookings` with `{ref}`, `GET /bytes?n=`, `GET /counters`.
 *
 * @example
 * const backend = await startBackend('desk-a', 0);
 */
export const startBackend = async (id: string, port: number, returnsIds = true): Promise<BackendServer> => {
	const runs = new Map<string, number>();
	const server = new FaultyApp(returnsIds);
	const availability = (): unknown => ({server: id, free: 12});
	server.on('GET', '/availability', availability);
	server.on('POST', '/availability', availability);
	server.on('POST', '/bookings', async event => {
		const {ref} = await event.req.json() as {ref?: string};
		if (ref === undefined) {
			throw new HTTPError({status: 400, body: {problem: 'ref is missing'}});
		}

		runs.set(ref, (runs.get(ref) ?? 0) + 1);
		return {server: id, ref, booked: true};
	});
	server.on('GET', '/bytes', event => new Response(bytesStream(Number(event.url.searchParams.get('n')))));
	server.app.get('/counters', () => Object.fromEntries(runs));
	const running = await listen(server.app, port);
	return {...running, runs};
};
