/** Tells failures before anything was sent from those after. */

const connectCodes = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT']);

/**
 * Whether a call failed while its connection was being opened, so that nothing of it was sent.
 *
 * @example
 * isConnectFailure(Object.assign(new Error('refused'), {code: 'ECONNREFUSED'})); // True
 */
export const isConnectFailure = (error: unknown): boolean => {
	const {code, syscall} = error as {code?: string; syscall?: string};
	return connectCodes.has(code ?? '') || syscall === 'connect';
};
