/** Tries of one idempotent call that run side by side: the first answer wins, and the others are aborted. */
import {
	err, errorResponses, routerError, toUncertainError,
} from '@baobabpier/core';
import type {Result, RouterError} from '@baobabpier/core';
import type {PlainAnswer} from './plain-call.js';

type Answer = Result<PlainAnswer, RouterError>;

type RunningTry = {
	readonly abort: AbortController;
	/** Settles with the try itself, so that a race tells which one it was. */
	readonly settled: Promise<{readonly which: RunningTry; readonly answer: Answer}>;
};

/**
 * Runs tries of a call. A try that has not begun its answer after `patienceMs` milliseconds is not given up:
 * the next one starts beside it.
 *
 * @see Dean and Barroso, "The Tail at Scale", 2013.
 * @example
 * tries.start(async signal => send(signal));
 * const answer = await tries.wait(); // Undefined: start another, or finish
 */
export class HedgedTries {
	readonly #running = new Set<RunningTry>();
	#mayHaveRun = false;
	#last: Answer = err(routerError('noBackend'));

	/** All tries are aborted with `deadline`. */
	constructor(private readonly patienceMs: number, deadline: AbortSignal) {
		deadline.addEventListener('abort', () => {
			for (const {abort} of this.#running) {
				abort.abort(deadline.reason);
			}
		}, {once: true});
	}

	/** Starts one more try. */
	start(send: (signal: AbortSignal) => Promise<Answer>): void {
		const abort = new AbortController();
		const settle = async (): Promise<{which: RunningTry; answer: Answer}> => ({answer: await send(abort.signal), which: running});
		const running: RunningTry = {abort, settled: settle()};
		this.#running.add(running);
	}

	/** Waits for an answer; undefined when a try failed or all of them are slow. */
	async wait(): Promise<Answer | undefined> {
		let timer: NodeJS.Timeout | undefined;
		const patience = new Promise<undefined>(resolve => {
			timer = setTimeout(() => {
				resolve(undefined);
			}, this.patienceMs);
		});
		const first = await Promise.race([patience, ...this.#settlements()]);
		clearTimeout(timer);
		return first === undefined ? undefined : this.#take(first);
	}

	/** Waits for the tries that still run; returns the first answer or the last error. */
	async finish(): Promise<Answer> {
		while (this.#running.size > 0) {
			// One settlement after the other
			// eslint-disable-next-line no-await-in-loop
			const answer = this.#take(await Promise.race(this.#settlements()));
			if (answer !== undefined) {
				return answer;
			}
		}

		return this.#last.mapErr(error => toUncertainError(error, this.#mayHaveRun, 'outcomeUnknown'));
	}

	#settlements(): Array<RunningTry['settled']> {
		return Array.from(this.#running, async ({settled}) => settled);
	}

	#take({which, answer}: {which: RunningTry; answer: Answer}): Answer | undefined {
		this.#running.delete(which);
		if (answer.err) {
			this.#mayHaveRun ||= errorResponses[answer.val.kind].run === 'unknown';
			this.#last = answer;
			return undefined;
		}

		for (const {abort, settled} of this.#running) {
			abort.abort();
			void settled.then(({answer: late}) => late.ok && late.val.body.destroy());
		}

		return answer;
	}
}
