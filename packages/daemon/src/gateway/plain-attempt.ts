/** One attempt of a plain call at a server. */
import {createLog} from '../log.js';
import {startPolledTimeout} from '../polled-timeout.js';
import type {PolledTimeout} from '../polled-timeout.js';
import type {CallScope} from './call-scope.js';

const log = createLog('plain');

/** What an attempt needs to know of its call while it runs. */
export type AttemptControl = {
	readonly signal: AbortSignal;
	/** Whether the attempt was ended because it is not needed any more. */
	readonly isSuperseded: () => boolean;
	/** Whether it was ended because another attempt has the answer. */
	readonly isOvertaken: () => boolean;
	/** Whether the server had been silent for too long. */
	readonly isSilent: () => boolean;
};

/**
 * An attempt in progress. A silent one goes on: another attempt may begin beside it, and the first answer ends the others.
 *
 * @example
 * const attempt = new PlainAttempt(scope, async control => send(control), {silenceMs: 250});
 * await Promise.race([attempt.settled, attempt.silence]);
 */
export class PlainAttempt<Outcome> {
	readonly settled: Promise<{readonly attempt: PlainAttempt<Outcome>; readonly outcome: Outcome}>;
	/** Resolves once the server has been silent for too long. */
	readonly silence: Promise<'silence'>;
	/** Resolves once the response takes longer than most; never where no hedged attempt may begin. */
	readonly hedge: Promise<'hedge'>;
	readonly #abort = new AbortController();
	#isSuperseded = false;
	#isOvertaken = false;
	#isSilent = false;

	/** A time of undefined means that no other attempt may begin for that reason. */
	constructor(scope: CallScope, send: (control: AttemptControl) => Promise<Outcome>, {silenceMs, hedgeMs}: {readonly silenceMs: number | undefined; readonly hedgeMs?: number | undefined}) {
		const abortWithCall = (): void => {
			this.#abort.abort(scope.signal.reason);
		};

		scope.signal.addEventListener('abort', abortWithCall, {once: true});
		let timeout: PolledTimeout | undefined;
		let hedgeTimeout: PolledTimeout | undefined;
		this.silence = new Promise(resolve => {
			timeout = silenceMs === undefined
				? undefined
				: startPolledTimeout(silenceMs, () => {
					this.#isSilent = true;
					resolve('silence');
				});
		});
		this.hedge = new Promise(resolve => {
			hedgeTimeout = hedgeMs === undefined
				? undefined
				: startPolledTimeout(hedgeMs, () => {
					resolve('hedge');
				});
		});
		const run = async (): Promise<{readonly attempt: PlainAttempt<Outcome>; readonly outcome: Outcome}> => {
			try {
				return {
					attempt: this, outcome: await send({
						signal: this.#abort.signal, isSuperseded: () => this.#isSuperseded, isOvertaken: () => this.#isOvertaken, isSilent: () => this.#isSilent,
					}),
				};
			} finally {
				timeout?.clear();
				hedgeTimeout?.clear();
				scope.signal.removeEventListener('abort', abortWithCall);
			}
		};

		this.settled = run();
	}

	/** Ends the attempt, because another one has the answer or its call is over. */
	supersede(isOvertaken: boolean): void {
		this.#isSuperseded = true;
		this.#isOvertaken = isOvertaken;
		// Nobody waits for its outcome any more
		this.settled.catch((error: unknown) => {
			log('A superseded attempt failed.', {error: (error as Error).message});
		});
		this.#abort.abort(new Error('another server answered first'));
	}
}
