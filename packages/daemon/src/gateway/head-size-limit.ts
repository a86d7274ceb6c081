/** Limits how many bytes a server may send before the head of its response is complete. */
import {subscribe, unsubscribe} from 'node:diagnostics_channel';
import type {Socket} from 'node:net';

/**
 * Maximum bytes between a request and the end of its response head: room for interim responses and a head of 16 KiB, which
 * is the HTTP parser's limit for header fields. The parser limits neither the status line nor the number of interim responses.
 */
const maxHeadBytes = 64 * 1024;

/** Lower status codes are interim responses. */
const minFinalStatus = 200;
const requestSentChannel = 'undici:client:sendHeaders';
const responseHeadChannel = 'undici:request:headers';

type RequestSentMessage = {readonly request: WeakKey; readonly socket: Socket};
type ResponseHeadMessage = {readonly request: WeakKey; readonly response: {readonly statusCode: number}};

/** Bytes that had been read on a socket when its request was sent; undefined while no response head is pending. */
const bytesReadAtRequest = new WeakMap<Socket, number | undefined>();

const limitHeadSize = (socket: Socket): void => {
	socket.on('readable', () => {
		const startBytes = bytesReadAtRequest.get(socket);
		if (startBytes !== undefined && socket.bytesRead - startBytes > maxHeadBytes) {
			socket.destroy(new Error(`the response head exceeds ${maxHeadBytes} bytes`));
		}
	});
};

/**
 * Destroys connections whose server sends more than the maximum before its response head is complete. Returns a function
 * that removes the limit.
 *
 * @see https://undici.nodejs.org/#/docs/api/DiagnosticsChannel
 * @example
 * const removeHeadSizeLimit = enforceHeadSizeLimit();
 */
export const enforceHeadSizeLimit = (): () => void => {
	const sockets = new WeakMap<WeakKey, Socket>();
	const onRequestSent = (message: unknown): void => {
		const {request, socket} = message as RequestSentMessage;
		if (!bytesReadAtRequest.has(socket)) {
			limitHeadSize(socket);
		}

		bytesReadAtRequest.set(socket, socket.bytesRead);
		sockets.set(request, socket);
	};

	const onResponseHead = (message: unknown): void => {
		const {request, response} = message as ResponseHeadMessage;
		const socket = sockets.get(request);
		if (socket !== undefined && response.statusCode >= minFinalStatus) {
			bytesReadAtRequest.set(socket, undefined);
		}
	};

	subscribe(requestSentChannel, onRequestSent);
	subscribe(responseHeadChannel, onResponseHead);
	return () => {
		unsubscribe(requestSentChannel, onRequestSent);
		unsubscribe(responseHeadChannel, onResponseHead);
	};
};
