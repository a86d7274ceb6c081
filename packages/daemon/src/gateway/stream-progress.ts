/** What is known of one stream on its way to its caller. */
import type {
	EngineId, ListedServer, PaceSample, ServiceName,
} from '@baobabpier/core';
import {toId} from '@baobabpier/core';
import type {CallScope} from './call-scope.js';
import type {CallResult} from './fleet-view.js';
import type {SendFault} from './server-transport.js';
import type {ResponseHead, Call} from './types.js';

/** Time to come back after an engine rejected a placed request, in milliseconds: about one prefill. */
export const rejectedComeBackMs = 200;

/** Where the events of a stream go. */
export type StreamOutput = {
	/** Whether the head went out. */
	readonly isBegun: boolean;
	/** Sends the head of the answer. */
	begin(head: ResponseHead): void;
	write(bytes: Uint8Array): void;
	/** Ends a complete stream. */
	end(): void;
	/** Ends a stream so that it does not look complete. */
	breakOff(): void;
};

/** What came of a call at a decode engine. */
export type DecodeOutcome =
	| {readonly kind: 'complete'}
	| {readonly kind: 'relay'; readonly head: ResponseHead; readonly body: Uint8Array}
	/** The engine's reason, and the requests running and waiting there, where it says so. */
	| {readonly kind: 'notRun'; readonly isMisplaced: boolean; readonly load: number | undefined; readonly detail: string}
	| SendFault;

/** An engine with room reserved on it; no lease where the pool's owner gave the place. */
export type EngineRoom = {
	readonly server: ListedServer;
	readonly lease: string | undefined;
};

/** Takes note of what a call's result says of its engine. */
export const noteResult = ({failed, served}: Progress, {id}: ListedServer, result: CallResult): void => {
	if (result === 'failed') {
		failed.push(toId<EngineId>(id));
	} else if (result === 'good') {
		served.push(toId<EngineId>(id));
	}
};

/** What is known of one stream on its way. */
export type Progress = {
	readonly call: Call;
	readonly service: ServiceName;
	readonly scope: CallScope;
	readonly out: StreamOutput;
	readonly excluded: Set<EngineId>;
	/** Sends that may have run. */
	sent: number;
	/** Prefills that were sent. */
	prefills: number;
	lastEventId: string | undefined;
	/** Engines that failed or did their part since the last place was given back. */
	readonly failed: EngineId[];
	readonly served: EngineId[];
	/** Events that the caller got. */
	events: number;
	isComplete: boolean;
	/** How the events of the last run came, where there were several. */
	pace: PaceSample | undefined;
};
