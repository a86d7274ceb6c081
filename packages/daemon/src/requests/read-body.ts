/** Reads bodies up to a bound. */
import {Buffer} from 'node:buffer';
import {Readable} from 'node:stream';

/** A body that was read whole, or one that is too long to keep and must be passed on as it comes. */
export type BoundedBody =
	| {readonly kind: 'whole'; readonly bytes: Uint8Array}
	| {readonly kind: 'long'; readonly stream: Readable};

/**
 * Reads a body until its end or until it is over `limit` bytes.
 *
 * @throws Error when the body breaks off.
 * @example
 * const body = await readBounded(req, 65_536);
 */
export const readBounded = async (body: Readable | Uint8Array, limit: number): Promise<BoundedBody> => {
	if (body instanceof Uint8Array) {
		return {kind: 'whole', bytes: body};
	}

	const iterator = body[Symbol.asyncIterator]() as AsyncIterableIterator<Uint8Array>;
	const parts: Uint8Array[] = [];
	let size = 0;
	while (size <= limit) {
		// One part after the other
		// eslint-disable-next-line no-await-in-loop
		const next = await iterator.next();
		if (next.done === true) {
			return {kind: 'whole', bytes: Buffer.concat(parts)};
		}

		parts.push(next.value);
		size += next.value.length;
	}

	const rest = async function * (): AsyncGenerator<Uint8Array> {
		yield * parts;
		yield * iterator;
	};

	return {kind: 'long', stream: Readable.from(rest(), {objectMode: false})};
};
