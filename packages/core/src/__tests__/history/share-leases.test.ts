import process from 'node:process';
import {expect, test} from 'vitest';
import fc from 'fast-check';
import {
	ManualClock, ShareLeaseManager, ShareTable, toId,
} from '@baobabpier/core';
import type {
	DataCentreId, Instant, InstanceId, ServiceName, ShareEffect, ShareId, ShareRecord, ShareRenewal, ShareTakeRequest,
} from '@baobabpier/core';

const timings = {holderLeaseMs: 3000, candidateLeaseMs: 4000};
const id: ShareId = {kind: 'engines', service: toId<ServiceName>('lm'), dataCentre: toId<DataCentreId>('a')};
const names = ['i0', 'i1', 'i2'].map(name => toId<InstanceId>(name));

type Action =
	| {readonly kind: 'advance'; readonly ms: number}
	| {readonly kind: 'tick'; readonly at: number; readonly isHolderAlive: boolean; readonly isPreferred: boolean}
	| {readonly kind: 'deliver'; readonly pick: number; readonly duplicate: boolean}
	| {readonly kind: 'drop'; readonly pick: number}
	| {readonly kind: 'catchUp' | 'restart' | 'release'; readonly at: number};

type Message =
	| {readonly kind: 'renew'; readonly from: number; readonly incarnation: number; readonly renewals: readonly ShareRenewal[]; readonly sentAt: Instant}
	| {readonly kind: 'renewed'; readonly from: number; readonly incarnation: number; readonly renewals: readonly ShareRenewal[]; readonly sentAt: Instant}
	| {readonly kind: 'requestPromise'; readonly from: number; readonly incarnation: number; readonly to: number; readonly renewals: readonly ShareRenewal[]; readonly sentAt: Instant}
	| {readonly kind: 'promised'; readonly from: number; readonly incarnation: number; readonly to: number; readonly renewals: readonly ShareRenewal[]; readonly sentAt: Instant}
	| {readonly kind: 'read'; readonly from: number; readonly incarnation: number}
	| {readonly kind: 'take'; readonly from: number; readonly incarnation: number; readonly take: ShareTakeRequest; readonly sentAt: Instant}
	| {readonly kind: 'taken'; readonly from: number; readonly incarnation: number; readonly take: ShareTakeRequest; readonly sentAt: Instant; readonly taken: boolean | undefined}
	| {readonly kind: 'release'; readonly from: number};

type SimulatedInstance = {
	manager: ShareLeaseManager;
	incarnation: number;
	record: ShareRecord;
	promises: Map<Instant, Set<number>>;
};

const at = fc.nat({max: names.length - 1});

const action: fc.Arbitrary<Action> = fc.oneof(
	{weight: 6, arbitrary: fc.record({kind: fc.constant('advance' as const), ms: fc.integer({min: 1, max: 1500})})},
	{weight: 2, arbitrary: fc.record({kind: fc.constant('advance' as const), ms: fc.integer({min: 2000, max: 6000})})},
	{
		weight: 12, arbitrary: fc.record({
			kind: fc.constant('tick' as const), at, isHolderAlive: fc.boolean(), isPreferred: fc.boolean(),
		}),
	},
	{weight: 20, arbitrary: fc.record({kind: fc.constant('deliver' as const), pick: fc.nat(), duplicate: fc.boolean()})},
	{weight: 2, arbitrary: fc.record({kind: fc.constant('drop' as const), pick: fc.nat()})},
	{weight: 8, arbitrary: fc.record({kind: fc.constant('catchUp' as const), at})},
	{weight: 1, arbitrary: fc.record({kind: fc.constantFrom('restart' as const, 'release' as const), at})},
);

/** Three candidates for one share, a log that responds late, twice or never, and replicas of the table that lag behind. */
class Simulation {
	readonly counts = {takes: 0, byPromise: 0, byLog: 0};
	readonly #clock = new ManualClock();
	readonly #log = new ShareTable();
	readonly #instances: SimulatedInstance[] = names.map((_, index) => this.#createInstance(index, 1));
	readonly #messages: Message[] = [];

	/** Number of instances that may act as the holder now, including frozen instances. */
	get holders(): number {
		return this.#instances.filter(({manager}) => manager.holds(id, this.#clock.now())).length;
	}

	run(step: Action): void {
		switch (step.kind) {
			case 'advance': {
				this.#clock.advance(step.ms);
				break;
			}

			case 'tick': {
				this.#tick(step.at, step.isHolderAlive, step.isPreferred);
				break;
			}

			case 'deliver': {
				this.#deliver(step.pick, step.duplicate);
				break;
			}

			case 'drop': {
				this.#messages.splice(step.pick % Math.max(1, this.#messages.length), 1);
				break;
			}

			case 'catchUp': {
				this.#instances[step.at]!.record = this.#log.recordOf(id);
				break;
			}

			case 'restart': {
				this.#instances[step.at] = this.#createInstance(step.at, this.#instances[step.at]!.incarnation + 1);
				break;
			}

			case 'release': {
				this.#instances[step.at]!.manager.stepDown();
				this.#messages.push({kind: 'release', from: step.at});
				this.#instances[step.at] = this.#createInstance(step.at, this.#instances[step.at]!.incarnation + 1);
				break;
			}
		}
	}

	#createInstance(index: number, incarnation: number): SimulatedInstance {
		const node: SimulatedInstance = {
			incarnation, record: new ShareTable().recordOf(id), promises: new Map(), manager: new ShareLeaseManager(names[index]!, timings, () => node.record),
		};
		return node;
	}

	#tick(from: number, isHolderAlive: boolean, isPreferred: boolean): void {
		const {manager, record, incarnation} = this.#instances[from]!;
		const sentAt = this.#clock.now();
		for (const effect of manager.step({kind: 'tick', statuses: [{record, isHolderAlive, isPreferred}]}, sentAt)) {
			this.#send(from, incarnation, effect, sentAt);
		}
	}

	#send(from: number, incarnation: number, effect: ShareEffect, sentAt: Instant): void {
		switch (effect.kind) {
			case 'renew': {
				const {renewals} = effect;
				const peers = names.map((_, to) => to).filter(to => to !== from);
				this.#messages.push({
					kind: 'renew', from, incarnation, renewals, sentAt,
				}, ...peers.map(to => ({
					kind: 'requestPromise' as const, from, incarnation, to, renewals, sentAt,
				})));
				break;
			}

			case 'read': {
				this.#messages.push({kind: 'read', from, incarnation});
				break;
			}

			case 'take': {
				this.#messages.push({
					kind: 'take', from, incarnation, take: effect.take, sentAt,
				}, {
					kind: 'taken', from, incarnation, take: effect.take, sentAt, taken: undefined,
				});
				break;
			}
		}
	}

	#deliver(pick: number, duplicate: boolean): void {
		if (this.#messages.length === 0) {
			return;
		}

		const place = pick % this.#messages.length;
		const message = this.#messages[place]!;
		// A command may enter the log late, but a retry by a client is a new command with the same effect
		if (!duplicate || message.kind === 'release') {
			this.#messages.splice(place, 1);
		}

		this.#handle(message);
	}

	#handle(message: Message): void {
		const node = this.#instances[message.from]!;
		const isCurrent = message.kind !== 'release' && node.incarnation === message.incarnation;
		switch (message.kind) {
			case 'renew': {
				this.#messages.push({...message, kind: 'renewed', renewals: this.#log.renew(names[message.from]!, message.renewals)});
				break;
			}

			case 'renewed': {
				if (isCurrent) {
					node.manager.step(message, this.#clock.now());
					this.counts.byLog += message.renewals.length;
				}

				break;
			}

			case 'requestPromise': {
				const promised = this.#instances[message.to]!.manager.promise(message.renewals, this.#clock.now());
				if (promised.length > 0) {
					this.#messages.push({...message, kind: 'promised', renewals: promised});
				}

				break;
			}

			case 'promised': {
				if (isCurrent) {
					this.#collectPromise(node, message);
				}

				break;
			}

			case 'read': {
				if (isCurrent) {
					node.record = this.#log.recordOf(id);
					node.manager.step({kind: 'read', records: [node.record]}, this.#clock.now());
				}

				break;
			}

			case 'take': {
				const taken = this.#log.take(message.take);
				this.counts.takes += taken ? 1 : 0;
				this.#messages.push({...message, kind: 'taken', taken});
				break;
			}

			case 'taken': {
				if (isCurrent) {
					node.manager.step({...message, kind: 'takeAnswered'}, this.#clock.now());
				}

				break;
			}

			case 'release': {
				this.#log.release(names[message.from]!);
				break;
			}
		}
	}

	#collectPromise(node: SimulatedInstance, {to, sentAt, renewals}: Extract<Message, {kind: 'promised'}>): void {
		const promises = node.promises.get(sentAt) ?? new Set();
		promises.add(to);
		node.promises.set(sentAt, promises);
		if (promises.size === names.length - 1) {
			node.manager.step({kind: 'renewed', renewals, sentAt}, this.#clock.now());
			this.counts.byPromise += 1;
		}
	}
}

test('no two instances act as the holder of a share at a time', () => {
	const counts = {
		histories: 0, takes: 0, byPromise: 0, byLog: 0, held: 0,
	};
	fc.assert(fc.property(fc.array(action, {minLength: 40, maxLength: 250, size: 'max'}), actions => {
		const simulation = new Simulation();
		for (const step of actions) {
			simulation.run(step);
			if (simulation.holders > 1) {
				return false;
			}

			counts.held += simulation.holders;
		}

		counts.histories += 1;
		counts.takes += simulation.counts.takes;
		counts.byPromise += simulation.counts.byPromise;
		counts.byLog += simulation.counts.byLog;
		return true;
	}), {seed: 7101, numRuns: 20_000});
	process.stdout.write(`share leases: ${JSON.stringify(counts)}\n`);
	expect(counts.takes).toBeGreaterThan(10_000);
	expect(counts.byPromise).toBeGreaterThan(1000);
	expect(counts.byLog).toBeGreaterThan(1000);
});
