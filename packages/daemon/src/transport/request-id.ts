/** Ids that servers of the product's own interface return with the responses to requests. */
import {randomBytes} from 'node:crypto';
import type {ResponseBinding} from '@baobabpier/core';
import {headerValue} from '../gateway/raw-headers.js';

/** Header that carries the id of a request, and of its response. */
export const requestIdHeader = 'x-request-id';

/** Maximum length of the part of an id that names a caller's request, in characters; some servers shorten long ids. */
const maxNameCharacters = 64;

/** Tells issued ids from those that servers make up. */
const issuedMark = 'bp';
/** End of every issued id: the mark, the source and the number of the request. */
const issuedEnd = /(?:^|-)bp[\da-f]{8}-\d+$/v;

/** An id that no other request carries. */
export type IssuedId = {
	/** Value of the header. */
	readonly value: string;
	readonly binding: ResponseBinding;
};

/**
 * Issues an id for each request, also for those that callers send under one id.
 *
 * @example
 * const ids = new RequestIdSource();
 * ids.issue('order-7'); // {value: 'order-7-bp5e0fa1c2-1', binding: {kind: 'echoedIfSupported', requestId: 'order-7-bp5e0fa1c2-1'}}
 */
export class RequestIdSource {
	readonly #source = `${issuedMark}${randomBytes(4).toString('hex')}`;
	#count = 0;

	/** Issues an id that begins with `name`, where given: its letters, digits, `_` and `-`, which servers leave as they are. */
	issue(name?: string): IssuedId {
		this.#count += 1;
		const end = `${this.#source}-${this.#count}`;
		const value = name === undefined ? end : `${name.slice(0, maxNameCharacters).replaceAll(/[^\w\-]/gv, '-')}-${end}`;
		return {value, binding: {kind: 'echoedIfSupported', requestId: value}};
	}
}

/**
 * Returns the issued id that a response names; undefined for a response without an id, or with one that its server made up.
 *
 * @example
 * readIssuedId(['x-request-id', 'order-7-bp5e0fa1c2-1']); // 'order-7-bp5e0fa1c2-1'
 */
export const readIssuedId = (rawHeaders: readonly string[]): string | undefined => {
	const value = headerValue(rawHeaders, requestIdHeader);
	return value !== undefined && issuedEnd.test(value) ? value : undefined;
};
