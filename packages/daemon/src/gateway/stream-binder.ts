/** Finds the service and the software version to which a stream is bound as its call arrives. */
import type {
	Clock, RequestId, ServiceName, StreamOrigin,
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
type BoundCall = Pick<Call, 'deadlineAt' | 'lastEventId' | 'requestId' | 'resumes'> & {readonly route: Pick<Call['route'], 'resumable' | 'targets'>};

/** A stream's binding, and the service whose engines run it. */
export type BoundStream = {
	readonly binding: StreamBinding;
	readonly service: ServiceName;
};

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
 * const bound = await new StreamBinder(parts).bind(call, service); // Another service than the one drawn, where that one began the stream
 */
export class StreamBinder {
	constructor(private readonly parts: StreamBinderParts) {}

	/** Binds a stream that a caller takes up to the service, if the route still has it, and the software version that began it; undefined where that version is not known. */
	async bind(call: BoundCall, drawn: ServiceName): Promise<BoundStream | undefined> {
		if (call.resumes === undefined && call.lastEventId === undefined) {
			return {service: drawn, binding: new StreamBinding(undefined, async softwareVersion => this.#record(call, call.requestId, {service: drawn, softwareVersion}))};
		}

		const found = call.resumes === undefined ? undefined : await this.parts.origins.lookup(call.resumes);
		const service = found !== undefined && call.route.targets.some(target => target.service === found.service && target.weight > 0) ? found.service : drawn;
		const version = found?.softwareVersion ?? this.parts.fleet.soleVersion(service);
		log('A caller takes up a stream.', {
			requestId: call.requestId, resumes: call.resumes, lastEventId: call.lastEventId, service, softwareVersion: version, isRecorded: found !== undefined,
		});
		if (version === undefined) {
			return undefined;
		}

		if (call.resumes !== undefined && found !== undefined) {
			// The caller may come back once more
			void this.#record(call, call.resumes, found);
		}

		return {service, binding: new StreamBinding(version, async () => undefined)};
	}

	/** Records the origin of the stream that a request began, for as long as its caller may come back; only a resumable stream can be taken up. */
	async #record({route, deadlineAt}: BoundCall, requestId: RequestId, origin: StreamOrigin): Promise<void> {
		if (route.resumable) {
			await this.parts.origins.record({...origin, requestId, ttlMs: Math.ceil(deadlineAt - this.parts.clock.now()) + originMarginMs});
		}
	}
}
