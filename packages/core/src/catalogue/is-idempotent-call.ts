/** Determines which calls of a plain service are idempotent. */
import type {PlainService} from './types.js';

const idempotentMethods = new Set(['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE', 'TRACE']);

/**
 * Returns whether a call may be retried. The lists in the service's catalogue entry take precedence over the HTTP method (RFC 9110, 9.2.2).
 *
 * @example
 * isIdempotentCall(service, 'POST', '/bookings'); // False unless listed
 */
export const isIdempotentCall = (service: PlainService, method: string, path: string): boolean => {
	const call = `${method} ${path}`;
	if (service.nonIdempotent.includes(call)) {
		return false;
	}

	return service.idempotent.includes(call) || idempotentMethods.has(method);
};
