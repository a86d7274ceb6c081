/** Generated histories of connections to a server that repeats, withholds and mixes up its responses. */
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {ConnectionPlan} from '../../index.js';
import type {ConnectionId, PlanStep, ResponseBinding} from '../../index.js';

type Request = {readonly name: string; readonly binding: ResponseBinding; readonly isRepeat: boolean};
/** A response on its way: the request that it belongs to. */
type Response = {readonly to: Request; readonly hasId: boolean};
type Connection = {
	state: 'opening' | 'open';
	request: Request | undefined;
	/** Whether the request on it has an accepted head. */
	hasHead: boolean;
	/** Whether a response of another request, or bytes that no request waits for, arrived on it. */
	isOutOfStep: boolean;
	readonly incoming: Response[];
	sends: number;
};

const actionArbitrary = fc.oneof(
	{weight: 6, arbitrary: fc.record({kind: fc.constant('add' as const), binding: fc.constantFrom('echoed', 'echoedIfSupported', 'ownConnection', 'interchangeable'), isRepeat: fc.boolean()})},
	{weight: 5, arbitrary: fc.record({kind: fc.constant('opened' as const), at: fc.nat(20)})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('lost' as const), at: fc.nat(20)})},
	{
		weight: 6, arbitrary: fc.record({
			kind: fc.constant('respond' as const), at: fc.nat(20), copies: fc.integer({min: 1, max: 3}), hasId: fc.boolean(),
		}),
	},
	{weight: 8, arbitrary: fc.record({kind: fc.constant('deliver' as const), at: fc.nat(20)})},
	{weight: 4, arbitrary: fc.record({kind: fc.constant('end' as const), at: fc.nat(20)})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('cancel' as const), at: fc.nat(50)})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('unwritten' as const), at: fc.nat(20)})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('heldBack' as const), at: fc.nat(20)})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('discard' as const)})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('limit' as const), value: fc.integer({min: 1, max: 4})})},
);

type Action = typeof actionArbitrary extends fc.Arbitrary<infer T> ? T : never;

const bindingOf = (kind: string, requestId: string): ResponseBinding => {
	switch (kind) {
		case 'echoed':
		case 'echoedIfSupported': {
			return {kind, requestId};
		}

		case 'interchangeable': {
			return {kind, lane: 'report'};
		}

		default: {
			return {kind: 'ownConnection'};
		}
	}
};

/** Carries out the steps of a plan against a simulated server and checks what must always hold. */
class Simulation {
	readonly connections = new Map<ConnectionId, Connection>();
	readonly requests: Request[] = [];
	/** Results by request; each request gets one. */
	readonly results = new Map<Request, 'answered' | 'foreign' | 'broken' | 'unsent'>();
	readonly sent = new Map<Request, number>();
	limit = 2;
	readonly plan = new ConnectionPlan<Request>(() => this.limit);

	run(steps: ReadonlyArray<PlanStep<Request>>): void {
		for (const step of steps) {
			switch (step.kind) {
				case 'open': {
					this.connections.set(step.connection, {
						state: 'opening', request: undefined, hasHead: false, isOutOfStep: false, incoming: [], sends: 0,
					});
					break;
				}

				case 'send': {
					this.#send(this.connections.get(step.connection)!, step.request);
					break;
				}

				case 'close': {
					this.#drop(step.connection);
					break;
				}

				case 'fail': {
					expect(this.sent.get(step.request) ?? 0, 'a request that was sent does not fail as unsent').toBe(0);
					this.#settle(step.request, 'unsent');
					break;
				}
			}
		}
	}

	act(action: Action): void {
		switch (action.kind) {
			case 'add': {
				const name = `r${this.requests.length}`;
				const request: Request = {name, binding: bindingOf(action.binding, name), isRepeat: action.isRepeat && action.binding === 'echoed'};
				this.requests.push(request);
				this.run(this.plan.add(request));
				break;
			}

			case 'opened': {
				this.#at(action.at, ({state}) => state === 'opening', (id, connection) => {
					connection.state = 'open';
					this.run(this.plan.handleOpened(id));
				});
				break;
			}

			case 'lost': {
				this.#at(action.at, () => true, id => {
					this.lose(id);
				});
				break;
			}

			case 'respond': {
				this.#at(action.at, ({request, incoming}) => request !== undefined && incoming.every(({to}) => to !== request), (_id, {request, incoming}) => {
					const hasId = request!.binding.kind === 'echoed' || (request!.binding.kind === 'echoedIfSupported' && action.hasId);
					incoming.push(...Array.from({length: action.copies}, () => ({to: request!, hasId})));
				});
				break;
			}

			case 'deliver': {
				this.#at(action.at, ({incoming, hasHead}) => incoming.length > 0 && !hasHead, (id, connection) => {
					this.#deliver(id, connection, connection.incoming.shift()!);
				});
				break;
			}

			case 'end': {
				this.#at(action.at, ({hasHead}) => hasHead, (id, connection) => {
					this.#settle(connection.request!, 'answered');
					connection.request = undefined;
					connection.hasHead = false;
					this.run(this.plan.handleEnd(id));
				});
				break;
			}

			case 'cancel': {
				const request = this.requests[action.at];
				const steps = request === undefined || this.results.has(request) ? undefined : this.plan.cancel(request);
				if (steps !== undefined) {
					this.run(steps);
					this.#settle(request!, 'unsent');
				}

				break;
			}

			case 'unwritten':
			case 'heldBack': {
				this.#at(action.at, ({request, incoming, hasHead}) => request !== undefined && incoming.length === 0 && !hasHead, (id, connection) => {
					const request = connection.request!;
					this.sent.set(request, this.sent.get(request)! - 1);
					connection.request = undefined;
					if (action.kind === 'heldBack') {
						this.#settle(request, 'unsent');
						this.run(this.plan.handleHeldBack(id));
					} else {
						this.run(this.plan.handleUnwritten(id));
					}
				});
				break;
			}

			case 'discard': {
				this.run(this.plan.discard());
				break;
			}

			case 'limit': {
				this.limit = action.value;
				break;
			}
		}
	}

	lose(id: ConnectionId): void {
		this.#drop(id);
		this.run(this.plan.handleClosed(id));
	}

	/** Lets the server respond to everything in order, without faults. */
	finish(): void {
		for (let rounds = 0; this.results.size < this.requests.length; rounds++) {
			expect(rounds, 'each request ends').toBeLessThan(500);
			for (const kind of ['opened', 'respond', 'deliver', 'end'] as const) {
				for (let at = 0; at < 20; at++) {
					this.act({
						kind, at, copies: 1, hasId: true,
					});
				}
			}
		}
	}

	#deliver(id: ConnectionId, connection: Connection, response: Response): void {
		if (connection.request === undefined) {
			connection.isOutOfStep = true;
			this.run(this.plan.handleUnexpectedBytes(id));
			expect(this.connections.has(id), 'a connection with unexpected bytes is closed').toBe(false);
			return;
		}

		const {request} = connection;
		const verdict = this.plan.judge(id, response.hasId ? response.to.name : undefined);
		if (verdict.kind === 'foreign') {
			connection.isOutOfStep = true;
			connection.request = undefined;
			this.#settle(request, 'foreign');
			this.lose(id);
			return;
		}

		if (request.binding.kind === 'interchangeable') {
			expect(response.to.binding, 'only responses of the lane are taken').toEqual(request.binding);
		} else {
			expect(response.to, 'no response of another request is taken').toBe(request);
		}

		connection.hasHead = true;
	}

	#send(connection: Connection, request: Request): void {
		expect(connection.state).toBe('open');
		expect(connection.isOutOfStep, 'nothing is sent on a connection out of step').toBe(false);
		expect(connection.request, 'one request at a time').toBe(undefined);
		expect(this.results.has(request), 'a request that ended is not sent').toBe(false);
		connection.request = request;
		connection.sends += 1;
		this.sent.set(request, (this.sent.get(request) ?? 0) + 1);
		expect(this.sent.get(request), 'a request is sent once').toBe(1);
		if (request.isRepeat || request.binding.kind === 'ownConnection') {
			expect(connection.sends, 'the connection is the request\'s own').toBe(1);
		}
	}

	#drop(id: ConnectionId): void {
		const connection = this.connections.get(id);
		this.connections.delete(id);
		if (connection?.request !== undefined) {
			this.#settle(connection.request, 'broken');
		}
	}

	#settle(request: Request, result: 'answered' | 'foreign' | 'broken' | 'unsent'): void {
		expect(this.results.has(request), 'one result for each request').toBe(false);
		this.results.set(request, result);
	}

	#at(index: number, predicate: (connection: Connection) => boolean, use: (id: ConnectionId, connection: Connection) => void): void {
		const matching = [...this.connections].filter(([, connection]) => predicate(connection));
		if (matching.length > 0) {
			use(...matching[index % matching.length]!);
		}
	}
}

test.each([1, 2, 3, 4])('no foreign response is taken and no request is lost or answered twice (seed %i)', seed => {
	const outcomes = new Map<string, number>();
	fc.assert(fc.property(fc.array(actionArbitrary, {minLength: 20, maxLength: 150}), actions => {
		const simulation = new Simulation();
		for (const action of actions) {
			simulation.act(action);
		}

		simulation.finish();
		for (const result of simulation.results.values()) {
			outcomes.set(result, (outcomes.get(result) ?? 0) + 1);
		}
	}), {seed, numRuns: 1500});
	// Each way to end was met
	for (const result of ['answered', 'foreign', 'broken', 'unsent']) {
		expect(outcomes.get(result) ?? 0).toBeGreaterThan(100);
	}
});
