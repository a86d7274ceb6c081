/** Reads callers' bodies under limits of size, time and memory. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {Readable} from 'node:stream';
import {err, ok, routerError} from '@baobabpier/core';
import type {Result, RouterError} from '@baobabpier/core';
import {IncomingBodies} from '../transport/incoming-bodies.js';
import type {BodyFailure} from '../transport/incoming-bodies.js';

/** Thrown into a body that pauses for too long while it is passed on. */
export class BodyTimeoutError extends Error {
	override readonly name = 'BodyTimeoutError';
}

/** What the reader allows. */
export type BodyReaderLimits = {
	/** Longest time to read a whole body, and longest pause of one that is passed on, in milliseconds. */
	readonly bodyTimeoutMs: number;
	/** Bytes of whole bodies held at a time, over all requests. */
	readonly maxBufferedBytes: number;
};

const declaredLength = (req: IncomingMessage): number | undefined => {
	const text = req.headers['content-length'];
	return text === undefined ? undefined : Number(text);
};

/** Length of a body as its headers give it: 0 for none, undefined for chunks. */
export const bodyLength = (req: IncomingMessage): number | undefined => declaredLength(req) ?? (req.headers['transfer-encoding'] === undefined ? 0 : undefined);

/** Reads bodies for one port. */
export class BodyReader {
	readonly #bodies: IncomingBodies;

	constructor(private readonly limits: BodyReaderLimits) {
		this.#bodies = new IncomingBodies(limits.maxBufferedBytes);
	}

	/** Memory of whole bodies held now, in bytes. */
	get bufferedBytes(): number {
		return this.#bodies.bytes;
	}

	/**
	 * Reads a whole body; its memory counts until `res` closes.
	 *
	 * @example
	 * const body = await reader.read(req, res, 4 * 1024 * 1024);
	 */
	async read(req: IncomingMessage, res: ServerResponse, limit: number): Promise<Result<Uint8Array, RouterError>> {
		const encoding = req.headers['content-encoding'];
		if (encoding !== undefined && encoding !== 'identity') {
			return err(routerError('malformedRequest', `content-encoding "${encoding}" is not taken`));
		}

		if ((declaredLength(req) ?? 0) > limit) {
			return err(routerError('bodyTooLarge', `${declaredLength(req)} bytes are over ${limit}`));
		}

		const body = await this.#bodies.read(req, res, {maxBytes: limit, timeoutMs: this.limits.bodyTimeoutMs});
		return 'kind' in body ? err(this.#toError(body, limit)) : ok(body);
	}

	/** Reads a body of at most `limit` bytes whole; a longer one is returned as a stream of all its bytes, which goes on as `passOn` does. */
	async readStart(req: IncomingMessage, res: ServerResponse, limit: number): Promise<Result<((signal: AbortSignal) => Readable) | Uint8Array, RouterError>> {
		const body = await this.#bodies.read(req, res, {maxBytes: limit, timeoutMs: this.limits.bodyTimeoutMs, keepsStart: true});
		if (!('kind' in body)) {
			return ok(body);
		}

		return body.kind === 'long' ? ok(signal => this.passOn(req, signal, body.start)) : err(this.#toError(body, limit));
	}

	/**
	 * Passes a body on as it arrives, behind the bytes that were read of it; a pause longer than the timeout, or the signal, ends it with an error.
	 * The time in which the reader of the result is slow does not count.
	 */
	passOn(req: IncomingMessage, signal: AbortSignal, start?: Uint8Array): Readable {
		return Readable.from(this.#pieces(req, signal, start), {objectMode: false});
	}

	#toError(failure: BodyFailure, limit: number): RouterError {
		switch (failure.kind) {
			case 'long':
			case 'tooLarge': {
				return routerError('bodyTooLarge', `over ${limit} bytes`);
			}

			case 'noRoom': {
				return routerError('overloaded', 'too many bodies are being read', failure.retryAfterMs);
			}

			case 'late': {
				return routerError('requestTimeout', `the body took over ${this.limits.bodyTimeoutMs} ms`);
			}

			case 'broken': {
				return routerError('malformedRequest', 'the body ended early');
			}
		}
	}

	async * #pieces(req: IncomingMessage, signal: AbortSignal, start: Uint8Array | undefined): AsyncGenerator<Uint8Array> {
		if (start !== undefined) {
			yield start;
		}

		const iterator = req.iterator({destroyOnReturn: false}) as AsyncIterator<Uint8Array, undefined>;
		while (true) {
			// eslint-disable-next-line no-await-in-loop
			const next = await this.#withTimeout(iterator.next(), signal);
			if (next.done) {
				return;
			}

			yield next.value;
		}
	}

	async #withTimeout<T>(step: Promise<T>, signal: AbortSignal): Promise<T> {
		let fail = (): void => {/* Replaced below */};
		const late = new Promise<never>((_resolve, reject) => {
			fail = () => {
				reject(new BodyTimeoutError('the body did not go on in time'));
			};
		});
		const timer = setTimeout(fail, this.limits.bodyTimeoutMs);
		signal.addEventListener('abort', fail, {once: true});
		try {
			return await Promise.race([step, late]);
		} finally {
			clearTimeout(timer);
			signal.removeEventListener('abort', fail);
		}
	}
}
