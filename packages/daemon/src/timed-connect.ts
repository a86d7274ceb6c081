/** Opens TCP connections for undici within a time that its own timers are too coarse for. */
import {connect} from 'node:net';
import type {buildConnector} from 'undici';

/**
 * Makes a connector that gives up after `timeoutMs`; its error says that nothing was sent.
 *
 * @example
 * new Pool(origin, {connect: createTimedConnect(250)});
 */
export const createTimedConnect = (timeoutMs: number): buildConnector.connector => (options, callback) => {
	const socket = connect({host: options.hostname, port: Number(options.port), noDelay: true});
	const timer = setTimeout(() => {
		socket.destroy(Object.assign(new Error(`no connection to ${options.hostname}:${options.port} within ${timeoutMs} ms`), {code: 'UND_ERR_CONNECT_TIMEOUT'}));
	}, timeoutMs);
	const fail = (error: Error): void => {
		clearTimeout(timer);
		callback(error, null); // eslint-disable-line @typescript-eslint/no-restricted-types
	};

	socket.once('error', fail);
	socket.once('connect', () => {
		clearTimeout(timer);
		socket.off('error', fail);
		callback(null, socket); // eslint-disable-line @typescript-eslint/no-restricted-types
	});
};
