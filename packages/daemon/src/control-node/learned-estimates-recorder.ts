/** Records the estimates that the pools' owner has learned in the control log, so that the next owner starts with them. */
import {differSignificantly} from '@baobabpier/core';
import type {ControlLog} from '@baobabpier/core';
import {createLog} from '../log.js';
import type {PoolHost} from '../pools/pool-host.js';

const log = createLog('learned');
/** Interval at which the learned estimates are compared with the recorded ones, in milliseconds: several streams long, so that few are written. */
const recordIntervalMs = 3000;

/** Dependencies of the recorder. */
export type LearnedEstimatesRecorderParts = {
	readonly control: Pick<ControlLog, 'state' | 'submit'>;
	readonly pools: Pick<PoolHost, 'learnedEstimates'>;
	/** Whether this instance is certain to own the pools. */
	readonly isLeading: () => boolean;
};

/** Appends estimates that changed significantly to the control log. */
export class LearnedEstimatesRecorder {
	#timer: NodeJS.Timeout | undefined;
	#isWriting = false;

	constructor(private readonly parts: LearnedEstimatesRecorderParts) {}

	start(): void {
		this.#timer = setInterval(() => {
			void this.record();
		}, recordIntervalMs);
	}

	stop(): void {
		clearInterval(this.#timer);
	}

	/** Records the estimates that changed significantly, one service after another. */
	async record(): Promise<void> {
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
