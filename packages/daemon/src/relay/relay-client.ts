/** Serves calls through other entry instances while this one reaches no server. */
import {Buffer} from 'node:buffer';
import {addMs, isErrorKind, routerError} from '@baobabpier/core';
import type {
	Clock, InstanceId, Instant, RelayPartner, RoutingVersion,
} from '@baobabpier/core';
import {createLog} from '../log.js';
import type {CallScope} from '../gateway/call-scope.js';
import {EventSplitter} from '../gateway/event-splitter.js';
import type {StreamEvent} from '../gateway/event-splitter.js';
import {isUrgent} from '../gateway/plain-route.js';
import {forwardableHeaders} from '../gateway/raw-headers.js';
import {errorReply, serverReply} from '../gateway/reply.js';
import type {Reply} from '../gateway/reply.js';
import type {
	Call, CallerDialect, ResponseHead, ServerDialect,
} from '../gateway/types.js';
import {failureOf} from '../transport/exchange.js';
import type {ServerTransport} from '../transport/server-transport.js';
import type {OpenResponse} from '../transport/types.js';
import type {PathWatch} from './path-watch.js';
import {isDeclined, relayHeaderNames, relayHeaders} from './relay-headers.js';

const log = createLog('relay');
/** Maximum number of partners that one call is offered to. */
const maxOffers = 4;
/** Maximum number of calls at one partner at a time, and of connections to it. */
export const maxCallsPerPartner = 64;
/** No further partner is asked this long after the first one, in milliseconds: each may wait for a configuration or be slow to connect to. */
const maxOfferingMs = 700;
/** Time for which a partner that declined, or could not be reached, gets no calls, in milliseconds. */
const partnerBackoffMs = 1000;
/** Maximum size of an error response, in bytes. */
const maxErrorBytes = 64 * 1024;

/** Dependencies of a relay client. */
export type RelayClientParts = {
	readonly dataCentre: RelayPartner['dataCentre'];
	readonly secret: string;
	readonly path: Pick<PathWatch, 'isCut' | 'settled'>;
	readonly partners: () => readonly RelayPartner[];
	readonly routingVersion: () => RoutingVersion | undefined;
	readonly transport: ServerTransport;
	readonly caller: CallerDialect;
	readonly server: ServerDialect;
	readonly clock: Clock;
};

/** Takes the events of a relayed stream. */
export type RelaySink = {
	start(head: ResponseHead): void;
	/** Passes an event on; returns false where no more are wanted. */
	write(event: StreamEvent): boolean;
	end(): void;
};

/** What became of a call that was offered to partners. */
export type RelayOutcome =
	/** No partner takes it: it has not run. */
	| {readonly kind: 'declined'}
	/** The reply of a partner's server, or of the partner. */
	| {readonly kind: 'reply'; readonly reply: Reply}
	| {readonly kind: 'complete'}
	/** The partner's response ended early. */
	| {readonly kind: 'broken'; readonly detail: string};

type PartnerState = {
	inFlight: number;
	backoffUntil: Instant | undefined;
};

/**
 * Offers calls to the partners, one after another, until one takes it. A call is sent to another partner only if the one
 * before certainly did not run it.
 *
 * @example
 * if (relay.isNeeded) outcome = await relay.send(call, scope, sink);
 */
export class RelayClient {
	/** Calls that partners took. */
	relayedCalls = 0;
	readonly #states = new Map<InstanceId, PartnerState>();

	constructor(private readonly parts: RelayClientParts) {}

	/** Whether calls are to be served by partners. */
	get isNeeded(): boolean {
		return this.parts.path.isCut && this.hasPartners;
	}

	get hasPartners(): boolean {
		return this.parts.partners().length > 0;
	}

	/** Whether an address is a partner's. */
	isPartner(address: string): boolean {
		return this.parts.partners().some(partner => partner.address === address);
	}

	/** Whether calls are to be served by partners, once it is known whether the path to servers is lost. */
	async becomesNeeded(): Promise<boolean> {
		await this.parts.path.settled();
		return this.isNeeded;
	}

	/** Sends a call, or the rest of a stream behind `lastEventId`, to a partner. */
	async send(call: Call, scope: CallScope, sink: RelaySink, lastEventId?: string): Promise<RelayOutcome> {
		const offered = new Set<InstanceId>();
		const offeringUntil = addMs(this.parts.clock.now(), maxOfferingMs);
		while (offered.size < maxOffers && scope.reason === undefined && this.parts.clock.now() < offeringUntil) {
			const partner = this.#choose(offered, call.sender !== undefined);
			if (partner === undefined) {
				break;
			}

			offered.add(partner.id);
			// Partners are asked one after another
			// eslint-disable-next-line no-await-in-loop
			const outcome = await this.#offer(partner, call, scope, sink, lastEventId);
			if (outcome.kind !== 'declined') {
				this.relayedCalls += 1;
				return outcome;
			}
		}

		log('No partner takes a call.', {requestId: call.requestId, offered: offered.size, known: this.parts.partners().length});
		return {kind: 'declined'};
	}

	/** Near partners before far ones, then the one with the fewest calls of this instance. A partner that doesn't know teams would pass the caller's key on to servers. */
	#choose(offered: ReadonlySet<InstanceId>, needsTeams: boolean): RelayPartner | undefined {
		const now = this.parts.clock.now();
		const usable = this.parts.partners().filter(({id, knowsTeams}) => {
			const {inFlight, backoffUntil} = this.#stateOf(id);
			return (!needsTeams || knowsTeams === true) && !offered.has(id) && inFlight < maxCallsPerPartner && (backoffUntil === undefined || backoffUntil <= now);
		});
		const isFar = ({dataCentre}: RelayPartner): number => Number(dataCentre !== this.parts.dataCentre);
		return usable.toSorted((a, b) => isFar(a) - isFar(b) || this.#stateOf(a.id).inFlight - this.#stateOf(b.id).inFlight)[0];
	}

	// eslint-disable-next-line max-params
	async #offer(partner: RelayPartner, call: Call, scope: CallScope, sink: RelaySink, lastEventId: string | undefined): Promise<RelayOutcome> {
		const {transport, caller, secret, routingVersion} = this.parts;
		const state = this.#stateOf(partner.id);
		state.inFlight += 1;
		try {
			const takenUp = lastEventId === undefined ? {names: new Set<string>(), headers: []} : caller.takeUpHeaders(call.resumes ?? call.requestId, lastEventId);
			const response = await transport.sendRequest({
				kind: 'relay', binding: {kind: 'echoed', requestId: call.requestId}, address: partner.address, method: call.method, target: call.target, headers: [
					...forwardableHeaders(call.rawHeaders, new Set([...relayHeaderNames, ...takenUp.names])), ...takenUp.headers, ...relayHeaders({remainingMs: scope.remainingMs(), routingVersion: routingVersion() ?? 0}, secret),
				], body: call.body, signal: scope.signal, isUrgent: isUrgent(call),
			});
			const outcome = response.kind === 'head' ? await this.#read(response, call, scope, sink) : this.#failureOf(response);
			log('A call was offered to a partner.', {
				requestId: call.requestId, partner: partner.id, outcome: outcome.kind, status: response.kind === 'head' ? response.status : undefined, detail: 'detail' in response ? response.detail : ('detail' in outcome ? outcome.detail : undefined),
			});
			state.backoffUntil = outcome.kind === 'declined' && scope.reason === undefined ? addMs(this.parts.clock.now(), partnerBackoffMs) : undefined;
			return outcome;
		} finally {
			state.inFlight -= 1;
		}
	}

	#failureOf(failure: Exclude<Awaited<ReturnType<ServerTransport['sendRequest']>>, OpenResponse>): RelayOutcome {
		return failure.kind === 'unsent' ? {kind: 'declined'} : {kind: 'broken', detail: failure.detail};
	}

	async #read(response: OpenResponse, call: Call, scope: CallScope, sink: RelaySink): Promise<RelayOutcome> {
		const {transport, server} = this.parts;
		if (isDeclined(response.rawHeaders)) {
			await transport.readBody(response, maxErrorBytes);
			return {kind: 'declined'};
		}

		const head = server.readHead(response.status, response.rawHeaders);
		if (call.route.kind === 'stream' && head.isAuthentic && head.status === 200) {
			return this.#readStream(response, head, scope, sink);
		}

		const body = await transport.readBody(response);
		if ('kind' in body) {
			return {kind: 'broken', detail: body.detail};
		}

		return {kind: 'reply', reply: head.isAuthentic ? serverReply(call, head, body) : readError(body)};
	}

	async #readStream(response: OpenResponse, head: ResponseHead, scope: CallScope, sink: RelaySink): Promise<RelayOutcome> {
		const splitter = new EventSplitter();
		let isStarted = false;
		try {
			for await (const chunk of response.body as AsyncIterable<Uint8Array>) {
				for (const event of splitter.push(chunk)) {
					if (scope.reason !== undefined) {
						return {kind: 'broken', detail: scope.reason};
					}

					if (!isStarted) {
						isStarted = true;
						sink.start(head);
					}

					if (!sink.write(event)) {
						return {kind: 'broken', detail: 'another run of the stream delivered first'};
					}
				}
			}
		} catch (error) {
			return {kind: 'broken', detail: failureOf(error).detail};
		}

		if (response.mayBeTruncated() || splitter.pendingBytes > 0) {
			return {kind: 'broken', detail: 'the stream ended within an event'};
		}

		if (!isStarted) {
			sink.start(head);
		}

		sink.end();
		return {kind: 'complete'};
	}

	#stateOf(id: InstanceId): PartnerState {
		let state = this.#states.get(id);
		if (state === undefined) {
			state = {inFlight: 0, backoffUntil: undefined};
			this.#states.set(id, state);
		}

		return state;
	}
}

/** The error that a partner answered with; one that can't be read promises nothing. */
const readError = (body: Uint8Array): Reply => {
	try {
		const {error} = JSON.parse(Buffer.from(body).toString()) as {readonly error?: {readonly kind?: unknown; readonly retryAfterMs?: unknown}};
		if (isErrorKind(error?.kind)) {
			return errorReply(routerError(error.kind, undefined, typeof error.retryAfterMs === 'number' ? error.retryAfterMs : undefined));
		}
	} catch (error) {
		log('An error of a partner can\'t be read.', {detail: (error as Error).message});
	}

	return errorReply(routerError('answerLost', 'the response of another instance can\'t be read'));
};
