import process from 'node:process';
import {expect, test} from 'vitest';
import {
	addMs, createSeededRandom, deploymentScope, LeasedLimiter, LimitOwners, ManualClock, parseCatalogue, pickIndex, StaticShareMap, toId,
} from '@baobabpier/core';
import type {
	DataCentreId, Instant, InstanceId, Revision, ServiceName,
} from '@baobabpier/core';

const perSecond = 96;
const service = toId<ServiceName>('desk');
const catalogue = parseCatalogue(`
[services.desk]
kind = "plain"
owner = "o"
class = "urgent"
limits = {inFlight = 48, requestsPerSecond = ${perSecond}}
backends = [{id = "desk-1", address = "127.0.0.1:5", dataCentre = "a"}]
`, toId<Revision>(1)).unwrap();
const {limits} = catalogue.services.get(service)!;
const places = Array.from({length: 8}, (_, index) => ({id: toId<InstanceId>(`i${index}`), dataCentre: toId<DataCentreId>(`dc${index % 2}`)}));
const stepMs = 20;
const serveMs = 200;
const patience = 3;

const addOne = (counts: number[]): void => {
	counts.push((counts.pop() ?? 0) + 1);
};

type Caller = {
	readonly at: Instant;
	readonly tries: number;
};

/** Eight instances that share one limit, and callers who come back when they are told to. */
class Deployment {
	readonly admittedPerSecond: number[] = [];
	/** Callers who went away unserved. */
	readonly lostPerSecond: number[] = [];
	readonly waits: number[] = [];
	readonly #clock = new ManualClock();
	readonly #random = createSeededRandom(11);
	readonly #nodes = places.map(place => ({
		place,
		owners: new LimitOwners(new StaticShareMap(place.id, places), places, 5000),
		limiter: new LeasedLimiter({
			holder: place.id, incarnation: 1, leaseMs: 4000,
		}, this.#random),
	}));

	#callers: Caller[] = [];
	#ends: Array<{readonly at: Instant; readonly leave: () => void}> = [];
	#owed = 0;

	/** Runs for some seconds with new callers at `rate` a second. */
	run(rate: number, seconds: number): void {
		for (let second = 0; second < seconds; second++) {
			this.admittedPerSecond.push(0);
			this.lostPerSecond.push(0);
			this.#exchange();
			for (let ms = 0; ms < 1000; ms += stepMs) {
				this.#clock.advance(stepMs);
				this.#owed += (rate * stepMs) / 1000;
				for (; this.#owed >= 1; this.#owed--) {
					this.#callers.push({at: this.#clock.now(), tries: 0});
				}

				this.#step();
			}
		}
	}

	#exchange(): void {
		const now = this.#clock.now();
		for (const {place, limiter} of this.#nodes) {
			for (const scope of [place.dataCentre, deploymentScope]) {
				const {holder} = (new StaticShareMap(place.id, places).find({kind: 'limits', service, dataCentre: scope})!);
				const owner = this.#nodes.find(node => node.place.id === holder)!.owners;
				limiter.accept(scope, owner.answer(scope, limiter.ask(service, scope, now), catalogue, now), now);
			}
		}
	}

	#step(): void {
		const now = this.#clock.now();
		for (const {leave} of this.#ends.filter(({at}) => at <= now)) {
			leave();
		}

		this.#ends = this.#ends.filter(({at}) => at > now);
		const due = this.#callers.filter(({at}) => at <= now);
		this.#callers = this.#callers.filter(({at}) => at > now);
		for (const {tries} of due) {
			const verdict = this.#nodes[pickIndex(this.#random, 8)]!.limiter.admit(service, limits, 0, now);
			if (verdict.kind === 'admitted') {
				addOne(this.admittedPerSecond);
				this.#ends.push({at: addMs(now, serveMs), leave: verdict.leave});
				continue;
			}

			this.waits.push(verdict.retryAfterMs);
			if (tries < patience) {
				this.#callers.push({at: addMs(now, verdict.retryAfterMs), tries: tries + 1});
			} else {
				addOne(this.lostPerSecond);
			}
		}
	}
}

test('three times the capacity keeps it in full use, and 0.8 of it recovers within seconds', () => {
	const deployment = new Deployment();
	deployment.run(perSecond * 0.8, 10);
	deployment.run(perSecond * 3, 30);
	deployment.run(perSecond * 0.8, 20);
	const {admittedPerSecond, lostPerSecond, waits} = deployment;
	const overloaded = admittedPerSecond.slice(15, 40);
	const mean = overloaded.reduce((sum, count) => sum + count, 0) / overloaded.length;
	expect(mean).toBeGreaterThan(perSecond * 0.95);
	expect(mean).toBeLessThanOrEqual(perSecond * 1.01);
	const total = admittedPerSecond.reduce((sum, count) => sum + count, 0);
	expect(total).toBeLessThanOrEqual(perSecond * (admittedPerSecond.length + 1));
	const recovered = admittedPerSecond.slice(46);
	expect(lostPerSecond.slice(46)).toEqual(recovered.map(() => 0));
	expect(recovered.reduce((sum, count) => sum + count, 0)).toBeGreaterThan(perSecond * 0.8 * recovered.length * 0.99);
	process.stdout.write(`overload: ${mean.toFixed(1)} a second of ${perSecond}, lost after the overload: ${lostPerSecond.slice(40).join(' ')}\n`);
	expect(new Set(waits).size).toBeGreaterThan(100);
});
