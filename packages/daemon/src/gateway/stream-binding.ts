/** Decides at which engines a stream may go on: what two software versions write does not fit together, and engines don't check it. */
import {softwareVersionOf} from '@baobabpier/core';
import type {ListedServer, SoftwareVersion} from '@baobabpier/core';
import type {KvSource} from './types.js';

/**
 * Binds a stream to the software version that wrote its first event.
 *
 * @example
 * const binding = new StreamBinding(undefined, async version => origins.record({requestId, softwareVersion: version, ttlMs}));
 * binding.admits(engine); // True for all engines
 * await binding.bind(engine);
 * binding.admits(other); // True for engines of the same version
 */
export class StreamBinding {
	#version: SoftwareVersion | undefined;

	/** A stream that begins has no version yet; `record` tells other instances of the version once it has one. */
	constructor(version: SoftwareVersion | undefined, private readonly record: (version: SoftwareVersion) => Promise<void>) {
		this.#version = version;
	}

	/** The only version at which the stream goes on; undefined before its first event. */
	get version(): SoftwareVersion | undefined {
		return this.#version;
	}

	/** Whether an engine may serve the stream, from memory that another engine wrote where `source` is given. */
	admits(engine: ListedServer, source?: KvSource): boolean {
		const version = softwareVersionOf(engine);
		return (this.#version === undefined || this.#version === version) && (source === undefined || source.softwareVersion === version);
	}

	/** Binds the stream to the version of the engine that brings its first event; resolves when the event may be passed on. */
	async bind(engine: ListedServer): Promise<void> {
		this.#version = softwareVersionOf(engine);
		await this.record(this.#version);
	}
}
