/** Joins the chunks of a request's body, so that what waits to be read takes memory for its bytes and not for each chunk. */
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';

/** Chunks of at least this size are passed on as they are, in bytes. */
const minChunkBytes = 4096;
const initialBytes = 1024;
/** Most bytes that are joined into one chunk. */
const maxBytes = 16 * 1024;

/**
 * Makes a request join small chunks of its body. Node.js emits one object for each chunk of a chunked body, which takes hundreds of times the memory of
 * a chunk of one byte while it waits. Chunks are joined until the end of a turn of the event loop, and further while the reader has not taken what came before.
 *
 * @example
 * server.on('request', req => coalesceBody(req, bytes => {
 * 	received += bytes;
 * }));
 */
export const coalesceBody = (req: IncomingMessage, onChunk: (bytes: number) => void): void => {
	const push = req.push.bind(req);
	const read = req._read.bind(req);
	const declaredBytes = Number(req.headers['content-length'] ?? Number.NaN);
	let joined = Buffer.alloc(0);
	let size = 0;
	let mayPush = true;
	let isScheduled = false;

	const flush = (): void => {
		if (size > 0) {
			const chunk = Buffer.from(joined.subarray(0, size));
			size = 0;
			mayPush = push(chunk);
		}
	};

	const flushIfRead = (): void => {
		isScheduled = false;
		if (req.readableLength === 0 && !req.destroyed) {
			flush();
		}
	};

	const append = (chunk: Uint8Array): void => {
		if (size + chunk.length > maxBytes) {
			flush();
		}

		if (size + chunk.length > joined.length) {
			const grown = Buffer.allocUnsafeSlow(Math.min(maxBytes, Math.max(initialBytes, 2 * (size + chunk.length))));
			grown.set(joined.subarray(0, size));
			joined = grown;
		}

		joined.set(chunk, size);
		size += chunk.length;
		if (!isScheduled) {
			isScheduled = true;
			setImmediate(flushIfRead);
		}
	};

	req.push = (chunk: Uint8Array | null): boolean => { // eslint-disable-line @typescript-eslint/no-restricted-types
		if (chunk === null) {
			flush();
			return push(null);
		}

		onChunk(chunk.length);
		if (chunk.length >= minChunkBytes || (size === 0 && chunk.length === declaredBytes)) {
			flush();
			mayPush = push(chunk);
			return mayPush;
		}

		append(chunk);
		return mayPush;
	};

	const take = req.read.bind(req);
	// A paused reader that has emptied its buffer asks for no more bytes where some are on their way
	req.read = (bytes?: number): unknown => {
		const chunk: unknown = take(bytes);
		if (req.readableLength === 0) {
			flush();
		}

		return chunk;
	};

	req._read = bytes => {
		mayPush = true;
		flush();
		read(bytes);
	};
};
