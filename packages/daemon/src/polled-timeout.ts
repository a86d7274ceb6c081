/** Timeouts that expire only after the process has read what arrived in time. */
import {setImmediate as nextTurn} from 'node:timers/promises';

/** A timeout in progress. */
export type PolledTimeout = {
	/** Clears the timeout; it does not expire any more. */
	clear(): void;
	/** Lets the process end before it expires. */
	unref(): void;
};

/**
 * Calls back after `ms` milliseconds. Timers run before the event loop polls: after a pause of the process a plain timer ends a
 * wait whose response has arrived meanwhile, so that this one lets a whole poll phase pass first.
 *
 * @example
 * const timeout = startPolledTimeout(250, () => socket.destroy());
 * socket.once('connect', () => timeout.clear());
 */
export const startPolledTimeout = (ms: number, onExpired: () => void): PolledTimeout => {
	let isCleared = false;
	const expire = async (): Promise<void> => {
		await nextTurn();
		await nextTurn();
		if (!isCleared) {
			onExpired();
		}
	};

	const timer = setTimeout(() => {
		void expire();
	}, ms);
	return {
		clear() {
			isCleared = true;
			clearTimeout(timer);
		},
		unref() {
			timer.unref();
		},
	};
};

/**
 * A signal that aborts after `ms` milliseconds, in place of `AbortSignal.timeout`.
 *
 * @example
 * await transport.sendRequest({...request, signal: createPolledSignal(1000)});
 */
export const createPolledSignal = (ms: number): AbortSignal => {
	const abort = new AbortController();
	startPolledTimeout(ms, () => {
		abort.abort(new Error(`no response within ${ms} ms`));
	}).unref();
	return abort.signal;
};
