/** Opens TCP connections for undici within a time that its own timers are too coarse for. */
import {connect} from 'node:net';
import type {Socket} from 'node:net';
import type {buildConnector} from 'undici';
import {startPolledTimeout} from './polled-timeout.js';

/** Code of the error of a connection that its peer reset. */
const resetCode = 'ERR_CONNECTION_RESET';

/**
 * Makes a connector that gives up after `timeoutMs`; its error says that nothing was sent.
 * `onReset` is called for each connection that its peer resets, before undici hears of its end.
 *
 * @example
 * createTimedConnect(250)({hostname: '10.0.0.9', port: '8080', protocol: 'http:'}, callback);
 */
export const createTimedConnect = (timeoutMs: number, onReset?: () => void): buildConnector.connector => (options, callback) => {
	let socket: Socket;
	try {
		socket = connect({host: options.hostname, port: Number(options.port), noDelay: true});
	} catch (error) {
		// An address that can't be connected to is refused at once; its caller expects to be called back later
		queueMicrotask(() => {
			callback(error as Error, null);
		});
		return;
	}

	const timeout = startPolledTimeout(timeoutMs, () => {
		socket.destroy(Object.assign(new Error(`no connection to ${options.hostname}:${options.port} within ${timeoutMs} ms`), {code: 'UND_ERR_CONNECT_TIMEOUT'}));
	});
	const fail = (error: Error): void => {
		timeout.clear();
		callback(error, null);
	};

	// Undici takes a reset for the end of an answer without a length; under another code it is the failure that it is
	socket.on('error', (error: NodeJS.ErrnoException) => {
		if (error.code === 'ECONNRESET') {
			error.code = resetCode;
			onReset?.();
		}
	});
	// A reset that arrives together with data ends the socket as a close would; only its peer's address is gone then
	socket.once('end', () => {
		if (socket.remoteAddress === undefined) {
			onReset?.();
		}
	});
	socket.once('error', fail);
	socket.once('connect', () => {
		timeout.clear();
		socket.off('error', fail);
		callback(null, socket);
	});
};
