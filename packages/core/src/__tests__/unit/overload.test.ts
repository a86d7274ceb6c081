import process from 'node:process';
import {expect, test} from 'vitest';
import {
	addMs, createSeededRandom, deploymentScope, LeasedLimiter, QuotaAllocators, ManualClock, parseCatalogue, pickIndex, StaticShareMap, toId,
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
const instancePlaces = Array.from({length: 8}, (_, index) => ({id: toId<InstanceId>(`i${index}`), dataCentre: toId<DataCentreId>(`dc${index % 2}`)}));
const stepMs = 20;
const serviceMs = 200;
const maxRetries = 3;

const addOne = (counts: number[]): void => {
	counts.push((counts.pop() ?? 0) + 1);
};

type Caller = {
	readonly at: Instant;
	readonly retries: number;
};

/** Eight instances that share one limit, and callers that retry after the time in the rejection. */
class Deployment {
	readonly admittedPerSecond: number[] = [];
	/** Callers that gave up after their last retry. */
	readonly lostPerSecond: number[] = [];
	readonly waits: number[] = [];
	readonly #clock = new ManualClock();
	readonly #random = createSeededRandom(11);
	readonly #nodes = instancePlaces.map(place => ({
		place,
		owners: new QuotaAllocators(new StaticShareMap(place.id, instancePlaces), instancePlaces, 5000),
		limiter: new LeasedLimiter({
			holder: place.id, incarnation: 1, leaseMs: 4000,
		}, this.#random),
	}));

	#callers: Caller[] = [];
	#ends: Array<{readonly at: Instant; readonly leave: () => void}> = [];
	#pendingArrivals = 0;

	/** Simulates `seconds` with new callers at `rate` a second. */
	run(rate: number, seconds: number): void {
		for (let second = 0; second < seconds; second++) {
			this.admittedPerSecond.push(0);
			this.lostPerSecond.push(0);
			this.#exchange();
			for (let ms = 0; ms < 1000; ms += stepMs) {
				this.#clock.advance(stepMs);
				this.#pendingArrivals += (rate * stepMs) / 1000;
				for (; this.#pendingArrivals >= 1; this.#pendingArrivals--) {
					this.#callers.push({at: this.#clock.now(), retries: 0});
				}

				this.#step();
			}
		}
	}

	#exchange(): void {
		const now = this.#clock.now();
		for (const {place, limiter} of this.#nodes) {
			for (const scope of [place.dataCentre, deploymentScope]) {
				const {holder} = (new StaticShareMap(place.id, instancePlaces).find({kind: 'limits', service, dataCentre: scope})!);
				const owner = this.#nodes.find(node => node.place.id === holder)!.owners;
				limiter.applyGrants(scope, owner.handleRequests(scope, limiter.createRequests(service, scope, now), catalogue, now), now);
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
		for (const {retries} of due) {
			const decision = this.#nodes[pickIndex(this.#random, 8)]!.limiter.admit(service, limits, 0, now);
			if (decision.kind === 'admitted') {
				addOne(this.admittedPerSecond);
				this.#ends.push({at: addMs(now, serviceMs), leave: decision.release});
				continue;
			}

			this.waits.push(decision.retryAfterMs);
			if (retries < maxRetries) {
				this.#callers.push({at: addMs(now, decision.retryAfterMs), retries: retries + 1});
			} else {
				addOne(this.lostPerSecond);
			}
		}
	}
}

test('keeps the full capacity in use at three times the load, and recovers within seconds at 0.8 of it', () => {
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
