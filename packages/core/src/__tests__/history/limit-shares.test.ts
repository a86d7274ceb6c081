import process from 'node:process';
import {expect, test} from 'vitest';
import fc from 'fast-check';
import {
	addMs, QuotaHolder, QuotaAllocator, ManualClock, toId,
} from '@baobabpier/core';
import type {
	Instant, InstanceId, QuotaGrant, QuotaRequest,
} from '@baobabpier/core';

const leaseMs = 2000;
const holderLeaseMs = 1600;
const gracePeriodMs = 3000;
const instances = Array.from({length: 8}, (_, index) => toId<InstanceId>(`i${index}`));

type Action =
	| {readonly kind: 'advance'; readonly ms: number}
	| {readonly kind: 'ask'; readonly at: number; readonly wanted: number}
	| {readonly kind: 'deliver'; readonly pick: number; readonly keepCopy: boolean}
	| {readonly kind: 'lose'; readonly pick: number}
	| {readonly kind: 'use'; readonly at: number; readonly count: number}
	| {readonly kind: 'endUse' | 'restart' | 'kill'; readonly at: number}
	/** The allocator fails; the next one takes over once the ownership lease has expired. */
	| {readonly kind: 'replaceOwner'};

type Message =
	| {readonly to: 'owner'; readonly ownerNumber: number; readonly from: number; readonly incarnation: number; readonly req: QuotaRequest}
	| {readonly to: 'holder'; readonly from: number; readonly incarnation: number; readonly answer: QuotaGrant};

type Node = {
	holder: QuotaHolder;
	incarnation: number;
	isAlive: boolean;
	/** When each use in progress ends at the latest. */
	uses: Instant[];
};

const index = fc.nat({max: instances.length - 1});

const action: fc.Arbitrary<Action> = fc.oneof(
	{weight: 4, arbitrary: fc.record({kind: fc.constant('advance' as const), ms: fc.integer({min: 1, max: 900})})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('advance' as const), ms: fc.integer({min: 1000, max: 6000})})},
	{weight: 8, arbitrary: fc.record({kind: fc.constant('ask' as const), at: index, wanted: fc.integer({min: 0, max: 12})})},
	{weight: 14, arbitrary: fc.record({kind: fc.constant('deliver' as const), pick: fc.nat(), keepCopy: fc.boolean()})},
	{weight: 2, arbitrary: fc.record({kind: fc.constant('lose' as const), pick: fc.nat()})},
	{weight: 14, arbitrary: fc.record({kind: fc.constant('use' as const), at: index, count: fc.integer({min: 1, max: 8})})},
	{weight: 5, arbitrary: fc.record({kind: fc.constant('endUse' as const), at: index})},
	{weight: 1, arbitrary: fc.record({kind: fc.constantFrom('restart' as const, 'kill' as const), at: index})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('replaceOwner' as const)})},
);

/** Eight holders and one allocator at a time, over a network that loses, duplicates, delays and reorders messages. */
class Simulation {
	readonly nodes: Node[];
	mostInUse = 0;
	restarts = 0;
	ownerChanges = 0;
	readonly #clock = new ManualClock();
	readonly #messages: Message[] = [];
	#owner: QuotaAllocator;
	#ownerNumber = 0;

	constructor(private readonly total: number) {
		this.nodes = instances.map((_, at) => ({
			holder: this.#createHolder(at, 1), incarnation: 1, isAlive: true, uses: [],
		}));
		this.#owner = this.#createOwner();
		this.#clock.advance(leaseMs + gracePeriodMs);
		for (const [at] of instances.entries()) {
			this.ask(at, at);
			this.deliver(0, false);
			this.deliver(0, false);
		}
	}

	get inUse(): number {
		const now = this.#clock.now();
		for (const node of this.nodes) {
			const over = node.uses.filter(end => end <= now).length;
			node.uses = node.uses.filter(end => end > now);
			node.holder.release(over);
		}

		return this.nodes.reduce((sum, {uses}) => sum + uses.length, 0);
	}

	run(step: Action): void {
		switch (step.kind) {
			case 'advance': {
				this.#clock.advance(step.ms);
				break;
			}

			case 'ask': {
				this.ask(step.at, step.wanted);
				break;
			}

			case 'deliver': {
				this.deliver(step.pick, step.keepCopy);
				break;
			}

			case 'lose': {
				this.#messages.splice(step.pick % Math.max(1, this.#messages.length), 1);
				break;
			}

			case 'use': {
				for (let count = 0; count < step.count; count++) {
					this.use(step.at);
				}

				break;
			}

			case 'endUse': {
				this.#endUse(step.at);
				break;
			}

			case 'kill': {
				this.#kill(step.at);
				break;
			}

			case 'restart': {
				this.#kill(step.at);
				this.#start(step.at);
				break;
			}

			case 'replaceOwner': {
				this.#ownerNumber += 1;
				this.ownerChanges += 1;
				this.#owner = this.#createOwner();
				break;
			}
		}

		this.mostInUse = Math.max(this.mostInUse, this.inUse);
	}

	ask(at: number, wanted: number): void {
		const node = this.nodes[at]!;
		if (node.isAlive) {
			this.#messages.push({
				to: 'owner', ownerNumber: this.#ownerNumber, from: at, incarnation: node.incarnation, req: node.holder.createRequest(wanted, this.#clock.now()),
			});
		}
	}

	deliver(pick: number, keepCopy: boolean): void {
		if (this.#messages.length === 0) {
			return;
		}

		const place = pick % this.#messages.length;
		const message = this.#messages[place]!;
		if (!keepCopy) {
			this.#messages.splice(place, 1);
		}

		if (message.to === 'holder') {
			const node = this.nodes[message.from]!;
			if (node.isAlive && node.incarnation === message.incarnation) {
				node.holder.applyGrant(message.answer);
			}

			return;
		}

		const answer = message.ownerNumber === this.#ownerNumber ? this.#owner.handleRequest(message.req, this.#clock.now()) : undefined;
		if (answer !== undefined) {
			this.#messages.push({
				to: 'holder', from: message.from, incarnation: message.incarnation, answer,
			});
		}
	}

	use(at: number): boolean {
		const node = this.nodes[at]!;
		const isAdmitted = node.isAlive && node.holder.acquire(1, this.#clock.now());
		if (isAdmitted) {
			node.uses.push(addMs(this.#clock.now(), gracePeriodMs));
		}

		return isAdmitted;
	}

	#endUse(at: number): void {
		const node = this.nodes[at]!;
		if (node.isAlive && node.uses.length > 0) {
			node.uses.shift();
			node.holder.release(1);
		}
	}

	/** The uses of a failed instance end with it. */
	#kill(at: number): void {
		const node = this.nodes[at]!;
		node.isAlive = false;
		node.uses = [];
	}

	#start(at: number): void {
		const node = this.nodes[at]!;
		node.incarnation += 1;
		node.isAlive = true;
		node.holder = this.#createHolder(at, node.incarnation);
		this.restarts += 1;
	}

	#createHolder(at: number, incarnation: number): QuotaHolder {
		return new QuotaHolder({holder: instances[at]!, incarnation, leaseMs: holderLeaseMs});
	}

	#createOwner(): QuotaAllocator {
		return new QuotaAllocator({
			total: this.total, step: 1, holders: instances, leaseMs, gracePeriodMs,
		}, this.#clock.now());
	}
}

test('the quotas in use never add up to more than the limit', () => {
	const counts = {
		histories: 0, fullyUsed: 0, restarts: 0, ownerChanges: 0,
	};
	fc.assert(fc.property(fc.integer({min: 1, max: 20}), fc.array(action, {minLength: 20, maxLength: 160, size: 'max'}), (total, actions) => {
		const simulation = new Simulation(total);
		for (const step of actions) {
			simulation.run(step);
			if (simulation.inUse > total) {
				return false;
			}
		}

		counts.histories += 1;
		counts.fullyUsed += simulation.mostInUse === total ? 1 : 0;
		counts.restarts += simulation.restarts;
		counts.ownerChanges += simulation.ownerChanges;
		return true;
	}), {seed: 7001, numRuns: 20_000});
	process.stdout.write(`limit shares: ${JSON.stringify(counts)}\n`);
	expect(counts.fullyUsed).toBeGreaterThan(100);
	expect(counts.ownerChanges).toBeGreaterThan(1000);
	expect(counts.restarts).toBeGreaterThan(1000);
});

test('without network faults, the limit can be used in full wherever the demand is', () => {
	fc.assert(fc.property(fc.integer({min: 8, max: 40}), fc.uniqueArray(index, {minLength: 2, maxLength: 8}), (total, busy) => {
		const simulation = new Simulation(total);
		for (let round = 0; round < 12; round++) {
			for (const [at] of instances.entries()) {
				simulation.ask(at, busy.includes(at) ? total : 0);
				simulation.deliver(0, false);
				simulation.deliver(0, false);
			}

			simulation.run({kind: 'advance', ms: 500});
		}

		for (const at of busy) {
			while (simulation.use(at)) {/* Acquires the whole quota */}
		}

		expect(simulation.inUse).toBeGreaterThan(total - busy.length);
		expect(simulation.inUse).toBeLessThanOrEqual(total);
	}), {seed: 7002, numRuns: 500});
});
