/** State of one stream while it is relayed to its caller. */
import type {
	EngineId, Instant, ListedServer, PaceSample, ServiceName,
} from '@baobabpier/core';
import {toId} from '@baobabpier/core';
import type {TransportFailure} from '../transport/types.js';
import type {CallScope} from './call-scope.js';
import type {CallResult} from './fleet-view.js';
import type {StreamBinding} from './stream-binding.js';
import type {StreamRun} from './stream-run.js';
import type {ResponseHead, Call} from './types.js';

/** Retry delay after an engine rejected a placed request, in milliseconds: about one prefill. */
export const rejectedRetryAfterMs = 200;

/** Output side of a stream, towards the caller. */
export type StreamOutput = {
	/** Whether the response head has been sent. */
	readonly isStarted: boolean;
	/** Sends the response head. */
	start(head: ResponseHead): void;
	write(bytes: Uint8Array): void;
	/** Ends a complete stream. */
	end(): void;
	/** Ends the stream such that the caller detects it as incomplete. */
	abort(): void;
};

/** Outcome of a call at a decode engine. */
export type DecodeOutcome =
	| {readonly kind: 'complete'}
	| {readonly kind: 'relay'; readonly head: ResponseHead; readonly body: Uint8Array}
	/** The engine's reason, and the number of requests running and waiting there if the engine reports it. */
	| {readonly kind: 'notRun'; readonly isMisdirected: boolean; readonly load: number | undefined; readonly detail: string}
	/** Another run of the stream delivered first. */
	| {readonly kind: 'superseded'; readonly detail: string}
	| TransportFailure;

/** A run whose engine has sent nothing for a while. It goes on until another run delivers an event. */
export type SilentRun = {
	readonly run: StreamRun;
	readonly engine: EngineId;
	/** Releases its placement; further calls have no effect. */
	release(): void;
};

/** An engine with reserved memory; without a lease if the pool's owner granted the placement. */
export type ReservedEngine = {
	readonly server: ListedServer;
	readonly lease: string | undefined;
};

/** Records whether a call's engine failed or served it. */
export const recordResult = ({failed, served}: StreamProgress, {id}: ListedServer, result: CallResult): void => {
	if (result === 'failed') {
		failed.push(toId<EngineId>(id));
	} else if (result === 'good') {
		served.push(toId<EngineId>(id));
	}
};

/** Mutable state of one stream across its rounds. */
export type StreamProgress = {
	readonly call: Call;
	readonly service: ServiceName;
	/** Scope of the current round: that of the call, or a part of it while another run is silent. */
	scope: CallScope;
	readonly out: StreamOutput;
	/** Decides at which engines the stream may go on. */
	readonly binding: StreamBinding;
	/** Runs in progress: one, or a silent one and the one that may take its place. */
	readonly runs: Set<StreamRun>;
	/** The silent run beside which rounds look for another engine. */
	silent: SilentRun | undefined;
	/** Whether an engine may have run the call: a later refusal then says nothing about it. */
	mayHaveRun: boolean;
	/** Whether the next send needs a retry from the budget. */
	isRetryDue: boolean;
	readonly excluded: Set<EngineId>;
	/** Engines that the next placement avoids if others have room. */
	avoided: readonly EngineId[];
	/** Addresses to which the call was sent, for any purpose. */
	readonly sentTo: Set<string>;
	/** Number of sends that may have been executed, with those in progress. */
	sent: number;
	/** Number of prefills that were sent. */
	prefills: number;
	lastEventId: string | undefined;
	/** Engines that failed or succeeded since the last placement was released. */
	readonly failed: EngineId[];
	readonly served: EngineId[];
	/** Engines that rejected the stream for lack of memory since the last placement was released. */
	readonly rejectedBy: EngineId[];
	/** Number of events that were passed to the caller. */
	events: number;
	/** When the last of them was passed on; undefined before the first. */
	lastEventAt: Instant | undefined;
	isComplete: boolean;
	/** Timing of the last run's events; undefined unless there were several. */
	pace: PaceSample | undefined;
};
