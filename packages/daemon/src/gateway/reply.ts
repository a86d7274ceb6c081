/** What a caller is answered with. */
import type {RouterError} from '@baobabpier/core';
import type {ResponseHead} from './types.js';

/** The outcome of a call. */
export type Reply =
	/** A server's answer, unchanged. */
	| {readonly kind: 'relay'; readonly head: ResponseHead; readonly body: Uint8Array}
	| {readonly kind: 'error'; readonly error: RouterError}
	/** The answer went out piece by piece, or was broken off. */
	| {readonly kind: 'streamed'};

/** Makes an error reply. */
export const errorReply = (error: RouterError): Reply => ({kind: 'error', error});
