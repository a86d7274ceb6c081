/** Serves calls of plain services: one server, and others where the call may be repeated. */
import {chooseServer, routerError} from '@baobabpier/core';
import type {
	BackendId, Clock, DataCentreId, ListedServer, RandomSource, ServerLoad, ServiceName,
} from '@baobabpier/core';
import {createLog} from '../log.js';
import type {CallScope} from './call-scope.js';
import type {FleetView} from './fleet-view.js';
import {errorReply} from './reply.js';
import type {Reply} from './reply.js';
import type {SecondTries} from './second-tries.js';
import type {SendFault, ServerTransport} from './server-transport.js';
import type {ResponseHead, Call, ServerDialect} from './types.js';

const log = createLog('plain');
/** A safe call goes to another server after this many usual answer times without an answer. */
const slowFactor = 6;
/** Shortest time that a safe call waits at one server, in milliseconds. */
const minWaitMs = 250;
/** Shortest time to come back after every server was full, in milliseconds: several usual answers. */
const comeBackMs = 120;
/** Spread of the times to come back, in milliseconds, so that callers don't return together. */
const comeBackSpreadMs = 180;
const serverFailureFrom = 500;

/** What a plain route works with. */
export type PlainRouteParts = {
	readonly dataCentre: DataCentreId;
	readonly fleet: FleetView;
	readonly transport: ServerTransport;
	readonly dialect: ServerDialect;
	readonly tries: SecondTries;
	readonly clock: Clock;
	readonly random: RandomSource;
};

type Attempt =
	/** The whole answer of the server to this call. */
	| {readonly kind: 'answer'; readonly head: ResponseHead; readonly body: Uint8Array}
	/** The server says that it did not run the call. */
	| {readonly kind: 'notRun'; readonly isMisplaced: boolean}
	| SendFault;

/** Sends calls whose answers are read whole before they are passed on. */
export class PlainRoute {
	constructor(private readonly parts: PlainRouteParts) {}

	/** Serves a call; the reply is not sent when the caller has left. */
	async serve(call: Call, service: ServiceName, scope: CallScope): Promise<Reply> {
		const {tries, fleet, dataCentre, clock, random} = this.parts;
		tries.noteCall(service);
		const tried = new Set<BackendId>();
		let sent = 0;
		let last: Reply = errorReply(routerError('noBackend', `no server of ${service} can be reached`, this.#comeBackMs()));
		while (scope.reason === undefined) {
			const load = chooseServer(fleet.loads(service), dataCentre, tried, clock.now(), random.next());
			const server = load === undefined ? undefined : fleet.get(load.id);
			if (load === undefined || server === undefined || sent >= call.route.maxAttempts || (sent > 0 && !tries.tryTake(service))) {
				return last;
			}

			tried.add(server.id);
			const mayRepeat = call.route.kind === 'safe' && sent + 1 < call.route.maxAttempts;
			// One server after the other
			// eslint-disable-next-line no-await-in-loop
			const attempt = await this.#send(call, server, load, scope, mayRepeat);
			sent += attempt.kind === 'unsent' ? 0 : 1;
			log('A call got an outcome at a server.', {
				requestId: call.requestId, server: server.id, attempt: sent, outcome: attempt.kind, status: attempt.kind === 'answer' ? attempt.head.status : undefined,
				detail: 'detail' in attempt ? attempt.detail : undefined, inFlight: load.inFlight, failing: Number(load.failing.toFixed(2)), leftMs: Math.round(scope.remainingMs()),
			});
			last = this.#replyOf(attempt, scope);
			if (isFinal(call, attempt)) {
				return last;
			}
		}

		return scope.reason === 'callerGone' ? {kind: 'streamed'} : last;
	}

	/** What the caller is told when this attempt is the last. */
	#replyOf(attempt: Attempt, scope: CallScope): Reply {
		switch (attempt.kind) {
			case 'answer': {
				return {kind: 'relay', head: attempt.head, body: attempt.body};
			}

			case 'notRun': {
				return errorReply(routerError('overloaded', 'the servers are full', this.#comeBackMs()));
			}

			case 'unsent': {
				return errorReply(routerError('noBackend', attempt.detail, this.#comeBackMs()));
			}

			case 'broken': {
				return errorReply(scope.reason === undefined ? routerError('answerLost', attempt.detail) : routerError('timeout'));
			}
		}
	}

	async #send(call: Call, server: ListedServer, load: ServerLoad, scope: CallScope, mayRepeat: boolean): Promise<Attempt> {
		const {fleet, transport, dialect} = this.parts;
		const waitMs = mayRepeat ? Math.max(minWaitMs, slowFactor * (load.usualMs ?? 0)) : scope.remainingMs();
		const limit = scope.limit(Math.min(waitMs, scope.remainingMs()));
		const end = fleet.begin(server.id);
		const answer = await transport.open({
			address: server.address, method: call.method, target: call.target, headers: dialect.sendHeaders(call, server, {kind: 'run'}, scope.remainingMs()), body: call.body, signal: limit.signal,
		});
		if (answer.kind !== 'head') {
			limit.release();
			end(answer.kind === 'unsent' ? 'unreachable' : (scope.reason === 'callerGone' ? 'none' : 'failed'));
			return answer;
		}

		const head = dialect.readHead(answer.status, answer.rawHeaders);
		const body = await transport.readBody(answer);
		limit.release();
		if ('kind' in body) {
			end(scope.reason === 'callerGone' ? 'none' : 'failed');
			return body;
		}

		const fault = findFault(call, head);
		if (fault !== undefined) {
			transport.drop(server.address);
			end('failed');
			return {kind: 'broken', detail: fault};
		}

		end(head.isMisdirected ? 'misplaced' : (head.status >= serverFailureFrom && !head.isNotExecuted ? 'failed' : 'good'), head.load);
		return head.isNotExecuted ? {kind: 'notRun', isMisplaced: head.isMisdirected} : {kind: 'answer', head, body};
	}

	#comeBackMs(): number {
		return comeBackMs + (this.parts.random.next() * comeBackSpreadMs);
	}
}

/** Why an answer can't be the server's answer to this call; undefined when it can. */
export const findFault = (call: Call, head: ResponseHead): string | undefined => {
	if (head.requestId !== call.requestId) {
		return `the answer is to request ${head.requestId ?? 'unknown'}`;
	}

	if (head.isEncoded) {
		return 'the answer is encoded';
	}

	return head.isAuthentic || head.isNotExecuted ? undefined : 'the answer is not vouched for';
};

/** Whether an attempt ends its call: a repeat is not allowed or can't help. */
const isFinal = (call: Call, attempt: Attempt): boolean => {
	switch (attempt.kind) {
		case 'answer': {
			return call.route.kind !== 'safe' || attempt.head.status < serverFailureFrom;
		}

		case 'broken': {
			return call.route.kind !== 'safe';
		}

		case 'notRun':
		case 'unsent': {
			return false;
		}
	}
};
