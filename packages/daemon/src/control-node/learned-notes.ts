/** Writes down what the pools' owner learns of its engines, so that the next owner need not learn it anew. */
import {differSignificantly} from '@baobabpier/core';
import type {ControlLog} from '@baobabpier/core';
import {createLog} from '../log.js';
import type {PoolHost} from '../pools/pool-host.js';

const log = createLog('learned');
/** How often learned figures are compared with those written down, in milliseconds: several streams long, and few writes. */
const noteMs = 3000;

/** What the notes work with. */
export type LearnedNotesParts = {
	readonly control: Pick<ControlLog, 'state' | 'submit'>;
	readonly pools: Pick<PoolHost, 'learnedEstimates'>;
	/** Whether this instance surely owns the pools. */
	readonly isLeading: () => boolean;
};

/** Appends figures that changed notably to the control log. */
export class LearnedNotes {
	#timer: NodeJS.Timeout | undefined;
	#isWriting = false;

	constructor(private readonly parts: LearnedNotesParts) {}

	start(): void {
		this.#timer = setInterval(() => {
			void this.note();
		}, noteMs);
	}

	stop(): void {
		clearInterval(this.#timer);
	}

	/** Writes what is worth it, one service after the other. */
	async note(): Promise<void> {
		const {control, pools, isLeading} = this.parts;
		if (this.#isWriting || !isLeading()) {
			return;
		}

		this.#isWriting = true;
		try {
			for (const [service, figures] of pools.learnedEstimates()) {
				if (differSignificantly(control.state.learnedEstimates(service), figures)) {
					// eslint-disable-next-line no-await-in-loop
					await control.submit<'engines.learned'>({kind: 'engines.learned', service, figures});
					const {prefill, direct, outputs} = figures;
					log('Learned figures are written down.', {
						service, prefillTokensPerMs: prefill?.tokensPerMs, prefillLatencyMs: prefill?.latencyMs, directTokensPerMs: direct?.tokensPerMs, outputPart: outputs?.first,
					});
				}
			}
		} catch (error) {
			log('Learned figures could not be written down.', {detail: (error as Error).message});
		} finally {
			this.#isWriting = false;
		}
	}
}
