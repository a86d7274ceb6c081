/** Sends the metrics of the closed table to a StatsD sink. */
import StatsD from 'hot-shots';
import type {InstanceId, DataCentreId} from '@baobabpier/core';
import {createLog} from '../log.js';
import type {MetricNameOf, MetricTags} from './metric-table.js';

const log = createLog('metrics');
const maxDatagramBytes = 1400;
const flushMs = 1000;

/** Where the parts tell what they measured. */
export type Metrics = {
	count<Name extends MetricNameOf<'counter'>>(name: Name, value: number, tags: MetricTags<Name>): void;
	time<Name extends MetricNameOf<'timer'>>(name: Name, ms: number, tags: MetricTags<Name>): void;
	gauge<Name extends MetricNameOf<'gauge'>>(name: Name, value: number): void;
	close(): Promise<void>;
};

/** Sends nothing. */
export const noMetrics: Metrics = {
	count() {/* Off */},
	time() {/* Off */},
	gauge() {/* Off */},
	async close() {/* Nothing is open */},
};

/** Sends by UDP; a datagram that is lost is lost. */
export class StatsdMetrics implements Metrics {
	readonly #client: InstanceType<typeof StatsD>;

	constructor(sink: {readonly host: string; readonly port: number}, labels: {readonly instance: InstanceId; readonly dataCentre: DataCentreId}) {
		this.#client = new StatsD({
			...sink,
			prefix: 'baobabpier.',
			globalTags: labels,
			maxBufferSize: maxDatagramBytes,
			bufferFlushInterval: flushMs,
			includeDataDogTags: false,
			originDetection: false,
			errorHandler(error) {
				log('Metrics could not be sent.', {reason: error.message});
			},
		});
	}

	count<Name extends MetricNameOf<'counter'>>(name: Name, value: number, tags: MetricTags<Name>): void {
		this.#client.increment(name, value, tags);
	}

	time<Name extends MetricNameOf<'timer'>>(name: Name, ms: number, tags: MetricTags<Name>): void {
		this.#client.timing(name, ms, tags);
	}

	gauge<Name extends MetricNameOf<'gauge'>>(name: Name, value: number): void {
		this.#client.gauge(name, value);
	}

	async close(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#client.close(() => {
				resolve();
			});
		});
	}
}
