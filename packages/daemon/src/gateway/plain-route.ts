/** Serves calls to plain services: sends each call to one server, and to further servers where the call may be retried. */
import {
	chooseServer, knownMeanMs, requestsAt, routerError, spreadRetryDelay, toId,
} from '@baobabpier/core';
import type {
	BackendId, Clock, DataCentreId, EngineId, HedgingPolicy, ListedServer, RandomSource, RunPhase, ServerLoad, ServiceName,
} from '@baobabpier/core';
import {createLog} from '../log.js';
import type {PathWatch} from '../relay/path-watch.js';
import type {ServerTransport} from '../transport/server-transport.js';
import type {TransportFailure} from '../transport/types.js';
import type {CallScope} from './call-scope.js';
import type {CrashGuard} from './crash-guard.js';
import {resultOfUnsent} from './fleet-view.js';
import type {FleetView} from './fleet-view.js';
import {errorReply, serverReply} from './reply.js';
import {PlainAttempt} from './plain-attempt.js';
import type {AttemptControl} from './plain-attempt.js';
import type {Reply} from './reply.js';
import type {RetryBudgets} from './retry-budgets.js';
import {priorityOf} from './types.js';
import type {ResponseHead, Call, ServerDialect} from './types.js';

const log = createLog('plain');
/** Another server gets a safe call too after this many times the usual response time without a response. */
const attemptSilenceFactor = 6;
/** Least time without a response after which that happens, in milliseconds. */
const minAttemptSilenceMs = 250;
/** Minimum retry delay suggested to the caller when every server is full, in milliseconds: several usual response times. */
const minRetryAfterMs = 120;
/** Jitter added to the suggested retry delay, in milliseconds, so that callers don't retry at the same time. */
const retryAfterJitterMs = 180;
/** Longest wait of a call for its trial, as a fraction of the time left and in multiples of the target latency. */
const maxTrialWaitFraction = 0.5;
const trialWaitTargets = 4;
/** Lowest status code of a server error. */
const minServerErrorStatus = 500;

/** Dependencies of a plain route. */
export type PlainRouteParts = {
	readonly dataCentre: DataCentreId;
	readonly fleet: FleetView;
	readonly transport: ServerTransport;
	readonly dialect: ServerDialect;
	readonly retryBudgets: RetryBudgets;
	/** Undefined where the operator allows no extra work. */
	readonly hedging?: HedgingPolicy | undefined;
	readonly guard: CrashGuard;
	readonly path: Pick<PathWatch, 'recordFailure'>;
	readonly clock: Clock;
	readonly random: RandomSource;
};

type AttemptResult =
	/** The server's complete response to this call. */
	| {readonly kind: 'answer'; readonly head: ResponseHead; readonly body: Uint8Array}
	/** The server reports that it did not execute the call. */
	| {readonly kind: 'notRun'; readonly isMisdirected: boolean}
	| TransportFailure;

type Outcome = {
	readonly result: AttemptResult;
	readonly server: ListedServer;
	readonly load: ServerLoad;
};

/** Sends calls whose responses are buffered completely before they are forwarded to the caller. */
export class PlainRoute {
	constructor(private readonly parts: PlainRouteParts) {}

	/** Serves a call. Returns a `streamed` reply, which is not sent, when the caller has disconnected. */
	async serve(call: Call, service: ServiceName, scope: CallScope): Promise<Reply> {
		this.parts.retryBudgets.recordCall(service);
		if (call.route.kind === 'safe') {
			this.parts.hedging?.recordCall();
		}

		const unregister = this.parts.guard.register(call, scope);
		try {
			return await this.#serve(call, service, scope);
		} finally {
			unregister();
		}
	}

	async #serve(call: Call, service: ServiceName, scope: CallScope): Promise<Reply> {
		const {
			retryBudgets, hedging, fleet, guard, dataCentre, clock, random,
		} = this.parts;
		const tried = new Set<BackendId>();
		const open = new Set<PlainAttempt<Outcome>>();
		let attempts = 0;
		let lastReply: Reply | undefined;
		/** Whether an attempt may have been executed: a later refusal then says nothing about the call. */
		let mayHaveRun = false;
		/** Whether the next attempt is a hedged one, whose credit is taken. */
		let isHedge = false;
		const hedges = new Set<PlainAttempt<Outcome>>();
		/** Whether another attempt may begin now: beside an open one only after a silence or for a hedge. */
		let canBegin = true;
		/** Resolves where the latest attempt is silent. */
		let silence: Promise<'silence'> | undefined;
		let wakes: ReadonlyArray<Promise<'hedge' | 'silence'>> = [];
		while (scope.reason === undefined) {
			// Attempts begin one after another
			// eslint-disable-next-line no-await-in-loop
			const decision = await guard.admit(call, scope, maxTrialWaitMs(call, scope));
			const isRefused = decision.kind === 'quarantined' || decision.kind === 'busy';
			if (isRefused && open.size === 0) {
				const refusal = decision.kind === 'busy' ? routerError('overloaded', 'requests that may have crashed a server run one at a time', this.#retryAfterMs(call, service)) : routerError('quarantined');
				lastReply = mayHaveRun ? lastReply : errorReply(refusal);
				break;
			}

			const load = isRefused ? undefined : chooseServer(fleet.loads(service, isUrgent(call)), dataCentre, tried, clock.now(), random.next());
			const server = load === undefined ? undefined : fleet.get(load.id);
			if (load === undefined && !isRefused) {
				fleet.logUnavailable(call.requestId, service, undefined, isUrgent(call));
			}

			const begun = attempts + open.size;
			if (canBegin && load !== undefined && server !== undefined && begun < call.route.maxAttempts && (begun === 0 || retryBudgets.tryAcquire(service))) {
				tried.add(server.id);
				const canRetry = call.route.kind === 'safe' && begun + 1 < call.route.maxAttempts;
				const attempt = new PlainAttempt<Outcome>(scope, async control => {
					const result = await this.#send(call, server, load, scope, control);
					return {result, server, load};
				}, {silenceMs: canRetry ? Math.max(minAttemptSilenceMs, attemptSilenceFactor * (knownMeanMs(load.responseTime, clock.now()) ?? 0)) : undefined, hedgeMs: canRetry ? hedging?.delayMs(service) : undefined});
				open.add(attempt);
				if (isHedge) {
					hedges.add(attempt);
				}

				({silence} = attempt);
				wakes = [attempt.hedge, silence];
			} else if (open.size === 0) {
				break;
			} else if (isHedge) {
				hedging?.refund();
				wakes = silence === undefined ? [] : [silence];
			} else {
				wakes = canBegin ? [] : [...open].map(async attempt => attempt.silence);
			}

			isHedge = false;
			canBegin = true;
			// eslint-disable-next-line no-await-in-loop
			let settled = await Promise.race([...[...open].map(async attempt => attempt.settled), ...wakes]);
			if (settled === 'hedge') {
				isHedge = this.#beginHedge(call, service, tried);
				if (isHedge) {
					log('A response takes longer than most; a hedged attempt begins.', {requestId: call.requestId, server: server?.id});
					continue;
				}

				// eslint-disable-next-line no-await-in-loop
				settled = await Promise.race([...[...open].map(async attempt => attempt.settled), ...(silence === undefined ? [] : [silence])]);
			}

			if (settled === 'silence') {
				silence = undefined;
				log('A server is silent.', {requestId: call.requestId, server: server?.id, open: open.size});
				continue;
			}

			open.delete(settled.attempt);
			const {result, load: {inFlight, failing}} = settled.outcome;
			attempts += result.kind === 'unsent' ? 0 : 1;
			log('A call got an outcome at a server.', {
				requestId: call.requestId, server: settled.outcome.server.id, digest: call.sharedSegments[0], attempt: attempts, outcome: result.kind, status: result.kind === 'answer' ? result.head.status : undefined,
				detail: 'detail' in result ? result.detail : undefined, inFlight, failing: Number(failing.toFixed(2)), leftMs: Math.round(scope.remainingMs()),
			});
			const isCertainlyNotRun = result.kind === 'unsent' || result.kind === 'notRun';
			lastReply = mayHaveRun && isCertainlyNotRun ? lastReply : this.#replyTo(result, call, service, scope);
			mayHaveRun ||= !isCertainlyNotRun;
			if (isFinal(call, result)) {
				break;
			}

			if (hedges.has(settled.attempt) && open.size > 0) {
				// The credit was for one more attempt; the first one has not failed yet
				canBegin = false;
			}
		}

		if (open.size > 0 && scope.reason !== undefined) {
			lastReply = errorReply(routerError('timeout'));
		}

		for (const attempt of open) {
			attempt.supersede(scope.reason === undefined);
		}

		if (scope.reason === 'callerGone') {
			return {kind: 'streamed'};
		}

		return scope.reason === 'quarantined' && lastReply === undefined ? errorReply(routerError('quarantined')) : lastReply ?? errorReply(routerError('noBackend', `no server of ${service} can be reached`, this.#retryAfterMs(call, service)));
	}

	/** Takes the credit for a hedged attempt at the server that is best for it now; false where there is none, or that server is busy. */
	#beginHedge(call: Call, service: ServiceName, tried: ReadonlySet<BackendId>): boolean {
		const {fleet, dataCentre, clock, hedging} = this.parts;
		const load = chooseServer(fleet.loads(service, isUrgent(call)), dataCentre, tried, clock.now(), 0);
		return load !== undefined && hedging?.tryBegin(requestsAt(load, clock.now()) / Math.max(1, load.slots)) === true;
	}

	/** The reply to the caller when this attempt is the last. */
	#replyTo(attempt: AttemptResult, call: Call, service: ServiceName, scope: CallScope): Reply {
		switch (attempt.kind) {
			case 'answer': {
				return serverReply(call, attempt.head, attempt.body);
			}

			case 'notRun': {
				return errorReply(routerError('overloaded', 'the servers are full', this.#retryAfterMs(call, service)));
			}

			case 'unsent': {
				return errorReply(scope.reason === 'deadline' ? routerError('timeout') : routerError('noBackend', attempt.detail, this.#retryAfterMs(call, service)));
			}

			case 'foreign':
			case 'broken': {
				return errorReply(scope.reason === undefined ? routerError('answerLost', attempt.detail) : routerError('timeout'));
			}
		}
	}

	async #send(call: Call, server: ListedServer, load: ServerLoad, scope: CallScope, control: AttemptControl): Promise<AttemptResult> {
		const {fleet, transport, dialect} = this.parts;
		const endCall = fleet.begin(server.id);
		const startedAt = this.parts.clock.now();
		const response = await transport.sendRequest({
			kind: 'run', binding: {kind: 'echoed', requestId: call.requestId}, server: server.id, address: server.address, method: call.method, target: call.target, headers: dialect.sendHeaders(call, server, {kind: 'run'}, scope.remainingMs()), body: call.body, signal: control.signal, isUrgent: isUrgent(call),
		});
		if (response.kind !== 'head') {
			this.#recordBroken(call, server, response, scope, control, 'sent');
			endCall(this.#evidenceOf(scope, control) ?? (response.kind === 'unsent' ? resultOfUnsent(response) : 'failed'));
			return response;
		}

		const head = dialect.readHead(response.status, response.rawHeaders);
		const body = await transport.readBody(response);
		if ('kind' in body) {
			this.#recordBroken(call, server, body, scope, control, 'begun');
			endCall(this.#evidenceOf(scope, control) ?? 'failed');
			return body;
		}

		const fault = findResponseFault(head);
		if (fault !== undefined) {
			endCall('failed');
			return {kind: 'broken', detail: fault};
		}

		if (!head.isNotExecuted) {
			this.parts.hedging?.recordResponse(server.service, this.parts.clock.now() - startedAt);
			this.parts.guard.recordComplete(call);
		}

		this.parts.guard.endTrial(call);
		endCall(head.isMisdirected ? 'misplaced' : (head.status >= minServerErrorStatus && !head.isNotExecuted ? 'failed' : 'good'), head);
		return head.isNotExecuted ? {kind: 'notRun', isMisdirected: head.isMisdirected} : {kind: 'answer', head, body};
	}

	/** What an attempt that this instance ended for another reason than a silence says about its server; undefined for other attempts. */
	#evidenceOf(scope: CallScope, {isSuperseded, isOvertaken, isSilent}: AttemptControl): 'none' | 'slow' | undefined {
		if (this.parts.hedging !== undefined && isOvertaken() && !isSilent()) {
			return 'slow';
		}

		return scope.reason === 'callerGone' || (isSuperseded() && !isSilent()) ? 'none' : undefined;
	}

	/** Tells the guard of a connection that broke under a call, unless this instance broke it. */
	#recordBroken(call: Call, server: ListedServer, {kind}: TransportFailure, scope: CallScope, control: AttemptControl, phase: RunPhase): void {
		const {guard} = this.parts;
		if (kind === 'broken' && scope.reason === undefined && !control.isSuperseded()) {
			this.parts.path.recordFailure(server.id);
			guard.recordBroken(call, {id: toId<EngineId>(server.id), address: server.address}, phase);
		}

		guard.endTrial(call);
	}

	/** Retry delay suggested to a refused caller, in milliseconds: not before a server of the service takes calls again. */
	#retryAfterMs(call: Call, service: ServiceName): number {
		const unavailableForMs = this.parts.fleet.unavailableForMs(service, undefined, isUrgent(call));
		const draw = this.parts.random.next();
		return unavailableForMs > 0 ? spreadRetryDelay(unavailableForMs, draw) : minRetryAfterMs + (draw * retryAfterJitterMs);
	}
}

/** Time that a call may wait for its trial, in milliseconds: it leaves as much to run. */
const maxTrialWaitMs = (call: Call, scope: CallScope): number => Math.min(scope.remainingMs() * maxTrialWaitFraction, call.route.targetLatencyMs * trialWaitTargets);

/** Whether a call goes before others where not all can be served. */
export const isUrgent = (call: Call): boolean => priorityOf(call) === 0;

/** Why a response can't be passed on as the server's; undefined when it can. */
export const findResponseFault = (head: ResponseHead): string | undefined => {
	if (head.isEncoded) {
		return 'the response body is encoded';
	}

	return head.isAuthentic || head.isNotExecuted ? undefined : 'the server does not vouch for the response';
};

/** Whether an attempt is the last of its call: a retry is not allowed or can't help. */
const isFinal = (call: Call, attempt: AttemptResult): boolean => {
	switch (attempt.kind) {
		case 'answer': {
			return call.route.kind !== 'safe' || attempt.head.status < minServerErrorStatus;
		}

		case 'foreign':
		case 'broken': {
			return call.route.kind !== 'safe';
		}

		case 'notRun':
		case 'unsent': {
			return false;
		}
	}
};
