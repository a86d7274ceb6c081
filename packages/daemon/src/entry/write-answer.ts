/** Writes answers to callers at the callers' own pace. */
import type {ServerResponse} from 'node:http';
import type {Readable} from 'node:stream';
import {breakOff} from '../server-connections.js';

/**
 * Writes one piece; resolves once the caller's connection takes more, or has closed.
 *
 * @example
 * await writePiece(res, 'data: {}\n\n');
 */
export const writePiece = async (res: ServerResponse, piece: string | Uint8Array): Promise<void> => {
	if (res.closed || res.write(piece)) {
		return;
	}

	await new Promise<void>(resolve => {
		const go = (): void => {
			res.off('drain', go);
			res.off('close', go);
			resolve();
		};

		res.once('drain', go);
		res.once('close', go);
	});
};

/** Passes a body on. A body that breaks off breaks the caller's transfer; a caller that goes ends the body. */
export const passBody = (res: ServerResponse, body: Readable): void => {
	body.on('data', (piece: Uint8Array) => {
		if (!res.write(piece)) {
			body.pause();
		}
	});
	res.on('drain', () => {
		body.resume();
	});
	body.once('end', () => {
		res.end();
	});
	body.once('error', () => {
		breakOff(res);
	});
	body.once('close', () => {
		if (!res.writableEnded) {
			breakOff(res);
		}
	});
	res.once('close', () => {
		body.destroy();
	});
};
