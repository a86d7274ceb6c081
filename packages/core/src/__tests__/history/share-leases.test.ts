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
	| {readonly kind: 'tick'; readonly at: number; readonly holderRuns: boolean; readonly isPreferred: boolean}
	| {readonly kind: 'deliver'; readonly pick: number; readonly duplicate: boolean}
	| {readonly kind: 'lose'; readonly pick: number}
	| {readonly kind: 'learn' | 'restart' | 'release'; readonly at: number};

type Message =
	| {readonly kind: 'renew'; readonly from: number; readonly life: number; readonly renewals: readonly ShareRenewal[]; readonly sentAt: Instant}
	| {readonly kind: 'renewed'; readonly from: number; readonly life: number; readonly renewals: readonly ShareRenewal[]; readonly sentAt: Instant}
	| {readonly kind: 'ask'; readonly from: number; readonly life: number; readonly to: number; readonly renewals: readonly ShareRenewal[]; readonly sentAt: Instant}
	| {readonly kind: 'promised'; readonly from: number; readonly life: number; readonly to: number; readonly renewals: readonly ShareRenewal[]; readonly sentAt: Instant}
	| {readonly kind: 'read'; readonly from: number; readonly life: number}
	| {readonly kind: 'take'; readonly from: number; readonly life: number; readonly take: ShareTakeRequest; readonly sentAt: Instant}
	| {readonly kind: 'taken'; readonly from: number; readonly life: number; readonly take: ShareTakeRequest; readonly sentAt: Instant; readonly taken: boolean | undefined}
	| {readonly kind: 'release'; readonly from: number};

type SimulatedInstance = {
	manager: ShareLeaseManager;
	life: number;
	record: ShareRecord;
	promises: Map<Instant, Set<number>>;
};

const at = fc.nat({max: names.length - 1});

const action: fc.Arbitrary<Action> = fc.oneof(
	{weight: 6, arbitrary: fc.record({kind: fc.constant('advance' as const), ms: fc.integer({min: 1, max: 1500})})},
	{weight: 2, arbitrary: fc.record({kind: fc.constant('advance' as const), ms: fc.integer({min: 2000, max: 6000})})},
	{
		weight: 12, arbitrary: fc.record({
			kind: fc.constant('tick' as const), at, holderRuns: fc.boolean(), isPreferred: fc.boolean(),
		}),
	},
	{weight: 20, arbitrary: fc.record({kind: fc.constant('deliver' as const), pick: fc.nat(), keepCopy: fc.boolean()})},
	{weight: 2, arbitrary: fc.record({kind: fc.constant('lose' as const), pick: fc.nat()})},
	{weight: 8, arbitrary: fc.record({kind: fc.constant('learn' as const), at})},
	{weight: 1, arbitrary: fc.record({kind: fc.constantFrom('restart' as const, 'release' as const), at})},
);

/** Three candidates of one share, a log that answers late, twice or never, and copies of the table that lag. */
class Simulation {
	readonly counts = {takes: 0, byPromise: 0, byLog: 0};
	readonly #clock = new ManualClock();
	readonly #log = new ShareTable();
	readonly #instances: SimulatedInstance[] = names.map((_, index) => this.#createInstance(index, 1));
	readonly #messages: Message[] = [];

	/** How many instances may act as the holder now; a frozen one counts too. */
	get holders(): number {
		return this.#instances.filter(({manager: keeper}) => keeper.holds(id, this.#clock.now())).length;
	}

	run(step: Action): void {
		switch (step.kind) {
			case 'advance': {
				this.#clock.advance(step.ms);
				break;
			}

			case 'tick': {
				this.#tick(step.at, step.holderRuns, step.isPreferred);
				break;
			}

			case 'deliver': {
				this.#deliver(step.pick, step.duplicate);
				break;
			}

			case 'lose': {
				this.#messages.splice(step.pick % Math.max(1, this.#messages.length), 1);
				break;
			}

			case 'learn': {
				this.#instances[step.at]!.record = this.#log.recordOf(id);
				break;
			}

			case 'restart': {
				this.#instances[step.at] = this.#createInstance(step.at, this.#instances[step.at]!.life + 1);
				break;
			}

			case 'release': {
				this.#instances[step.at]!.manager.stepDown();
				this.#messages.push({kind: 'release', from: step.at});
				this.#instances[step.at] = this.#createInstance(step.at, this.#instances[step.at]!.life + 1);
				break;
			}
		}
	}

	#createInstance(index: number, life: number): SimulatedInstance {
		const node: SimulatedInstance = {
			life, record: new ShareTable().recordOf(id), promises: new Map(), manager: new ShareLeaseManager(names[index]!, timings, () => node.record),
		};
		return node;
	}

	#tick(from: number, holderRuns: boolean, isPreferred: boolean): void {
		const {manager: keeper, record, life} = this.#instances[from]!;
		const sentAt = this.#clock.now();
		for (const effect of keeper.step({kind: 'tick', statuses: [{record, isHolderAlive: holderRuns, isPreferred}]}, sentAt)) {
			this.#send(from, life, effect, sentAt);
		}
	}

	#send(from: number, life: number, effect: ShareEffect, sentAt: Instant): void {
		switch (effect.kind) {
			case 'renew': {
				const {renewals} = effect;
				const peers = names.map((_, to) => to).filter(to => to !== from);
				this.#messages.push({
					kind: 'renew', from, life, renewals, sentAt,
				}, ...peers.map(to => ({
					kind: 'ask' as const, from, life, to, renewals, sentAt,
				})));
				break;
			}

			case 'read': {
				this.#messages.push({kind: 'read', from, life});
				break;
			}

			case 'take': {
				this.#messages.push({
					kind: 'take', from, life, take: effect.take, sentAt,
				}, {
					kind: 'taken', from, life, take: effect.take, sentAt, taken: undefined,
				});
				break;
			}
		}
	}

	#deliver(pick: number, keepCopy: boolean): void {
		if (this.#messages.length === 0) {
			return;
		}

		const place = pick % this.#messages.length;
		const message = this.#messages[place]!;
		// A command may enter the log late, but a client's retry is a new command with the same effect
		if (!keepCopy || message.kind === 'release') {
			this.#messages.splice(place, 1);
		}

		this.#handle(message);
	}

	#handle(message: Message): void {
		const node = this.#instances[message.from]!;
		const isCurrent = message.kind !== 'release' && node.life === message.life;
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

			case 'ask': {
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
		const world = new Simulation();
		for (const step of actions) {
			world.run(step);
			if (world.holders > 1) {
				return false;
			}

			counts.held += world.holders;
		}

		counts.histories += 1;
		counts.takes += world.counts.takes;
		counts.byPromise += world.counts.byPromise;
		counts.byLog += world.counts.byLog;
		return true;
	}), {seed: 7101, numRuns: 20_000});
	process.stdout.write(`share leases: ${JSON.stringify(counts)}\n`);
	expect(counts.takes).toBeGreaterThan(10_000);
	expect(counts.byPromise).toBeGreaterThan(1000);
	expect(counts.byLog).toBeGreaterThan(1000);
});
