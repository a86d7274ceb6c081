/** Samples the gauges of the process at an interval. */
import {monitorEventLoopDelay} from 'node:perf_hooks';
import process from 'node:process';
import type {MetricNameOf} from './metric-table.js';
import type {Metrics} from './metrics.js';

const sampleMs = 10_000;
const nanosPerMs = 1e6;

/** Gauges that other parts hold, read at each sample. */
export type GaugeSources = Readonly<Partial<Record<MetricNameOf<'gauge'>, () => number>>>;

/**
 * Starts sampling; returns the teardown.
 *
 * @example
 * const stopSampling = registerGauges(metrics, {'requests.open': () => entry.inFlight});
 */
export const registerGauges = (metrics: Metrics, sources: GaugeSources): () => void => {
	const delay = monitorEventLoopDelay();
	delay.enable();
	const sample = (): void => {
		metrics.gauge('process.resident', process.memoryUsage.rss());
		metrics.gauge('process.loop_delay', delay.percentile(99) / nanosPerMs);
		delay.reset();
		for (const [name, read] of Object.entries(sources) as Array<[MetricNameOf<'gauge'>, () => number]>) {
			metrics.gauge(name, read());
		}
	};

	sample();
	const timer = setInterval(sample, sampleMs);
	return () => {
		clearInterval(timer);
		delay.disable();
	};
};
