/** What a process uses, as the machine counts it. */
import {readdir, readFile} from 'node:fs/promises';
import {setTimeout as sleep} from 'node:timers/promises';

const sampleMs = 20;

/** Samples the resident memory and the open descriptors of a process while it runs. */
export class ProcessUsage {
	#peakKilobytes = 0;
	#peakDescriptors = 0;
	#isStopped = false;
	readonly #sampling: Promise<void>;

	constructor(private readonly pid: number) {
		this.#sampling = this.#sample();
	}

	/** Ends the sampling; returns the peaks, which are 0 where the process was gone from the start. */
	async stop(): Promise<{readonly megabytes: number; readonly descriptors: number}> {
		this.#isStopped = true;
		await this.#sampling;
		return {megabytes: Math.round(this.#peakKilobytes / 1024), descriptors: this.#peakDescriptors};
	}

	async #sample(): Promise<void> {
		while (!this.#isStopped) {
			try {
				// eslint-disable-next-line no-await-in-loop
				const [status, descriptors] = await Promise.all([readFile(`/proc/${this.pid}/status`, 'utf8'), readdir(`/proc/${this.pid}/fd`)]);
				this.#peakKilobytes = Math.max(this.#peakKilobytes, Number(/^VmRSS:\s+(?<kilobytes>\d+) kB$/mv.exec(status)?.groups?.kilobytes ?? 0));
				this.#peakDescriptors = Math.max(this.#peakDescriptors, descriptors.length);
			} catch {
				// The process has ended, which the test finds by its id
				return;
			}

			// eslint-disable-next-line no-await-in-loop
			await sleep(sampleMs);
		}
	}
}
