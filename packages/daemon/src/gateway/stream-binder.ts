/** Finds the software version to which a stream is bound as its call arrives. */
import type {
	Clock, RequestId, ServiceName, SoftwareVersion,
} from '@baobabpier/core';
import {createLog} from '../log.js';
import type {OriginDirectory} from '../streams/origin-directory.js';
import type {FleetView} from './fleet-view.js';
import {StreamBinding} from './stream-binding.js';
import type {Call} from './types.js';

const log = createLog('stream');
/** Time beyond a call's deadline for which its origin stays known, in milliseconds. */
const originMarginMs = 10_000;

/** What a binding depends on in a call. */
type BoundCall = Pick<Call, 'deadlineAt' | 'lastEventId' | 'requestId' | 'resumes'> & {readonly route: Pick<Call['route'], 'resumable'>};

/** Dependencies of a stream binder. */
export type StreamBinderParts = {
	readonly origins: Pick<OriginDirectory, 'lookup' | 'record'>;
	readonly fleet: Pick<FleetView, 'soleVersion'>;
	readonly clock: Clock;
};

/**
 * Creates the bindings of streams.
 *
 * @example
 * const binding = await new StreamBinder(parts).bind(call, service);
 */
export class StreamBinder {
	constructor(private readonly parts: StreamBinderParts) {}

	/** Binds a stream that a caller takes up to the software version that began it; undefined where that version is not known. */
	async bind(call: BoundCall, service: ServiceName): Promise<StreamBinding | undefined> {
		if (call.resumes === undefined && call.lastEventId === undefined) {
			return new StreamBinding(undefined, async softwareVersion => this.#record(call, call.requestId, softwareVersion));
		}

		const found = call.resumes === undefined ? undefined : await this.parts.origins.lookup(call.resumes);
		const version = found ?? this.parts.fleet.soleVersion(service);
		log('A caller takes up a stream.', {
			requestId: call.requestId, resumes: call.resumes, lastEventId: call.lastEventId, softwareVersion: version, isRecorded: found !== undefined,
		});
		if (version === undefined) {
			return undefined;
		}

		if (call.resumes !== undefined) {
			// The caller may come back once more
			void this.#record(call, call.resumes, version);
		}

		return new StreamBinding(version, async () => undefined);
	}

	/** Records the version of the stream that a request began, for as long as its caller may come back; only a resumable stream can be taken up. */
	async #record({route, deadlineAt}: BoundCall, requestId: RequestId, softwareVersion: SoftwareVersion): Promise<void> {
		if (route.resumable) {
			await this.parts.origins.record({requestId, softwareVersion, ttlMs: Math.ceil(deadlineAt - this.parts.clock.now()) + originMarginMs});
		}
	}
}
