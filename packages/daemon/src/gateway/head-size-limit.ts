/** Bounds what a server may send before the head of its answer is whole. */
import {subscribe, unsubscribe} from 'node:diagnostics_channel';
import type {Socket} from 'node:net';

/**
 * Bytes between a request and the end of its answer's head, at most: interim answers and a head of 16 KiB, which is the
 * HTTP parser's limit for header fields. The parser bounds neither a status line nor the number of interim answers.
 */
const maxHeadBytes = 64 * 1024;

/** Lower status codes are interim answers. */
const firstFinalStatus = 200;
const sentChannel = 'undici:client:sendHeaders';
const headChannel = 'undici:request:headers';

type SentMessage = {readonly request: WeakKey; readonly socket: Socket};
type HeadMessage = {readonly request: WeakKey; readonly response: {readonly statusCode: number}};

/** Bytes read on a socket when its request was sent; undefined while no head is awaited. */
const awaitedSince = new WeakMap<Socket, number | undefined>();

const guard = (socket: Socket): void => {
	socket.on('readable', () => {
		const since = awaitedSince.get(socket);
		if (since !== undefined && socket.bytesRead - since > maxHeadBytes) {
			socket.destroy(new Error(`the head is over ${maxHeadBytes} bytes`));
		}
	});
};

/**
 * Destroys connections whose server sends more than a head before the head is whole. Returns what ends the guard.
 *
 * @see https://undici.nodejs.org/#/docs/api/DiagnosticsChannel
 * @example
 * const stopGuard = registerHeadGuard();
 */
export const enforceHeadSizeLimit = (): () => void => {
	const sockets = new WeakMap<WeakKey, Socket>();
	const onSent = (message: unknown): void => {
		const {request, socket} = message as SentMessage;
		if (!awaitedSince.has(socket)) {
			guard(socket);
		}

		awaitedSince.set(socket, socket.bytesRead);
		sockets.set(request, socket);
	};

	const onHead = (message: unknown): void => {
		const {request, response} = message as HeadMessage;
		const socket = sockets.get(request);
		if (socket !== undefined && response.statusCode >= firstFinalStatus) {
			awaitedSince.set(socket, undefined);
		}
	};

	subscribe(sentChannel, onSent);
	subscribe(headChannel, onHead);
	return () => {
		unsubscribe(sentChannel, onSent);
		unsubscribe(headChannel, onHead);
	};
};
