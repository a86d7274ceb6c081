/** Random walks over a connection plan: no request waits for good, and none is on two connections. */
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {ConnectionPlan} from '../../index.js';
import type {ConnectionId, PlanStep, ResponseBinding} from '../../index.js';

type Request = {readonly binding: ResponseBinding; isSent: boolean; isOver: boolean};

const bindings: readonly ResponseBinding[] = [{kind: 'echoed', requestId: 'r'}, {kind: 'echoedIfSupported', requestId: 'r'}, {kind: 'ownConnection'}, {kind: 'interchangeable', lane: 'x'}];

const endings = ['end', 'closed', 'unwritten', 'heldBack', 'foreign'] as const;
const events = ['add', 'add', 'opened', 'openFailed', 'cancel', 'discard', 'idleClosed', ...endings] as const;
type Event = typeof events[number];

/** Does to a plan what its connections and callers do, as far as an event is possible. */
class Walk {
	readonly requests: Request[] = [];
	readonly #plan: ConnectionPlan<Request>;
	readonly #opening = new Set<ConnectionId>();
	readonly #idle = new Set<ConnectionId>();
	readonly #inUse = new Map<ConnectionId, Request>();

	constructor(maxConnections: number) {
		this.#plan = new ConnectionPlan(() => maxConnections);
	}

	step(event: Event, number: number): void {
		const nth = <T>(items: Iterable<T>): T | undefined => [...items][number % Math.max(1, [...items].length)];
		const [opening, idle, inUse] = [nth(this.#opening), nth(this.#idle), nth(this.#inUse)];
		switch (event) {
			case 'add': {
				const request: Request = {binding: bindings[number % bindings.length]!, isSent: false, isOver: false};
				this.requests.push(request);
				this.#apply(this.#plan.add(request));

				break;
			}

			case 'discard': {
				this.#apply(this.#plan.discard());

				break;
			}

			case 'cancel': {
				this.#cancel(nth(this.requests.filter(({isOver}) => !isOver)));

				break;
			}

			default: {if (event === 'idleClosed' && idle !== undefined) {
				this.#idle.delete(idle);
				this.#apply(this.#plan.handleClosed(idle));
			} else if ((event === 'opened' || event === 'openFailed') && opening !== undefined) {
				this.#opening.delete(opening);
				this.#idle.add(opening);
				this.#apply(event === 'opened' ? this.#plan.handleOpened(opening) : this.#plan.handleClosed(opening));
				if (event === 'openFailed') {
					this.#idle.delete(opening);
				}
			} else if (inUse !== undefined) {
				this.#finish(event, ...inUse);
			}
			}
		}
	}

	/** Lets every connection open and every request end. */
	drain(): void {
		while (this.#opening.size + this.#inUse.size > 0) {
			this.step(this.#opening.size > 0 ? 'opened' : 'end', 0);
		}
	}

	#cancel(request: Request | undefined): void {
		const steps = request === undefined ? undefined : this.#plan.cancel(request);
		if (steps !== undefined) {
			request!.isOver = true;
			this.#apply(steps);
		}
	}

	#finish(event: Event, id: ConnectionId, request: Request): void {
		this.#inUse.delete(id);
		request.isSent = false;
		request.isOver = event !== 'unwritten';
		if (event === 'unwritten') {
			this.#apply(this.#plan.handleUnwritten(id));
		} else if (event === 'end' || event === 'heldBack') {
			this.#idle.add(id);
			this.#apply(event === 'end' ? this.#plan.handleEnd(id) : this.#plan.handleHeldBack(id));
		} else {
			if (event === 'foreign') {
				this.#plan.judge(id, 'other');
			}

			this.#apply(this.#plan.handleClosed(id));
		}
	}

	#apply(steps: ReadonlyArray<PlanStep<Request>>): void {
		for (const step of steps) {
			if (step.kind === 'open') {
				this.#opening.add(step.connection);
			} else if (step.kind === 'fail') {
				step.request.isOver = true;
			} else {
				this.#opening.delete(step.connection);
				this.#idle.delete(step.connection);
				if (step.kind === 'send') {
					expect(step.request).toMatchObject({isSent: false, isOver: false});
					expect(this.#inUse.has(step.connection)).toBe(false);
					step.request.isSent = true;
					this.#inUse.set(step.connection, step.request);
				}
			}
		}
	}
}

test('every request ends, whatever becomes of the connections', () => {
	fc.assert(fc.property(fc.integer({min: 1, max: 3}), fc.array(fc.tuple(fc.constantFrom(...events), fc.nat(20)), {maxLength: 60}), (maxConnections, steps) => {
		const walk = new Walk(maxConnections);
		for (const [event, number] of steps) {
			walk.step(event, number);
		}

		walk.drain();
		expect(walk.requests.filter(({isOver}) => !isOver)).toEqual([]);
	}), {seed: 7, numRuns: 3000});
});
