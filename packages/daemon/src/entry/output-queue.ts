/** A bounded queue between a request's output and its caller's connection. */
import type {RequestOutcome} from '@baobabpier/core';
import type {OutputSink} from '../requests/model-request-task.js';

const maxQueuedTexts = 64;

/** What the caller's side takes from the queue. */
export type OutputItem =
	| {readonly kind: 'text'; readonly text: string}
	| {readonly kind: 'end'; readonly outcome: RequestOutcome};

/** Joins texts that wait, and makes the writer wait when too many do. */
export class OutputQueue implements OutputSink {
	#texts: string[] = [];
	#outcome: RequestOutcome | undefined;
	#wakeReader: (() => void) | undefined;
	#wakeWriter: (() => void) | undefined;

	write(texts: readonly string[]): void {
		this.#texts.push(...texts);
		this.#wakeReader?.();
	}

	end(outcome: RequestOutcome): void {
		this.#outcome = outcome;
		this.#wakeReader?.();
		this.#wakeWriter?.();
	}

	async ready(): Promise<void> {
		if (this.#texts.length >= maxQueuedTexts && this.#outcome === undefined) {
			await new Promise<void>(resolve => {
				this.#wakeWriter = resolve;
			});
		}
	}

	/** Takes all waiting output, or the end after it. */
	async take(): Promise<OutputItem> {
		while (this.#texts.length === 0 && this.#outcome === undefined) {
			// eslint-disable-next-line no-await-in-loop
			await new Promise<void>(resolve => {
				this.#wakeReader = resolve;
			});
		}

		if (this.#texts.length === 0) {
			return {kind: 'end', outcome: this.#outcome!};
		}

		const text = this.#texts.join('');
		this.#texts = [];
		this.#wakeWriter?.();
		return {kind: 'text', text};
	}
}
