import {describe, expect, test} from 'vitest';
import {
	addMs, createSeededRandom, ManualClock, PlacementQueue, toId,
} from '../../index.js';
import type {
	AttemptNumber, InstanceId, PlacementRequest, RequestId, ServiceName, TeamName,
} from '../../index.js';

const startAt = new ManualClock().now();
let count = 0;
const request = ({priority, team, pieces = 5, seconds = 60}: {priority?: number; team?: string; pieces?: number; seconds?: number} = {}): PlacementRequest => ({
	requestId: toId<RequestId>(`r${count++}`), attempt: toId<AttemptNumber>(1), service: toId<ServiceName>('lm'), class: 'patient', holder: toId<InstanceId>('e1'), promptTokens: pieces * 1000, maxTokens: 70, pieces, prefix: '', deadline: addMs(startAt, seconds * 1000), excluded: [],
	priority, team: team === undefined ? undefined : toId<TeamName>(team),
});

/** Places what waits, in order; describes each request by `nameOf`. */
const placeAll = (queue: PlacementQueue, nameOf: (req: PlacementRequest) => string, most = 1000): readonly string[] => {
	const placed: string[] = [];
	for (let req = queue.peek(); req !== undefined && placed.length < most; req = queue.peek()) {
		queue.dequeue(req);
		placed.push(nameOf(req));
	}

	return placed;
};

const queueOf = (requests: readonly PlacementRequest[]): PlacementQueue => {
	const queue = new PlacementQueue();
	for (const req of requests) {
		queue.push(req);
	}

	return queue;
};

const teamOf = ({team}: PlacementRequest): string => team ?? '-';

describe('the order of placements', () => {
	test.each<{name: string; requests: readonly PlacementRequest[]; order: string; nameOf: (req: PlacementRequest) => string}>([
		{
			name: 'without priorities and teams is first come, first served', requests: [3, 1, 2].map(pieces => request({pieces})), order: '312', nameOf: ({pieces}) => String(pieces),
		},
		{
			name: 'is by priority', requests: [2, 0, 1, 0].map(priority => request({priority})), order: '0012', nameOf: ({priority}) => String(priority),
		},
		{
			name: 'takes teams in turn', requests: [...'aaabbc'].map(team => request({team})), order: 'abcaba', nameOf: teamOf,
		},
		{
			name: 'counts memory and not requests', requests: [...Array.from({length: 3}, () => request({team: 'a', pieces: 8})), ...Array.from({length: 6}, () => request({team: 'b', pieces: 4}))], order: 'abbabbabb', nameOf: teamOf,
		},
		{
			name: 'puts priorities before shares', requests: [request({team: 'a', priority: 1}), request({team: 'a', priority: 0}), request({team: 'b', priority: 1}), request({team: 'a', priority: 0})], order: 'aaab', nameOf: teamOf,
		},
	])('$name', ({requests, order, nameOf}) => {
		expect(placeAll(queueOf(requests), nameOf).join('')).toBe(order);
	});

	test('a team that was silent saves nothing up', () => {
		const queue = queueOf([request({team: 'b'}), ...Array.from({length: 20}, () => request({team: 'a'}))]);
		placeAll(queue, teamOf, 15);
		for (let index = 0; index < 5; index++) {
			queue.push(request({team: 'b'}));
		}

		expect(placeAll(queue, teamOf, 4).toSorted().join('')).toBe('aabb');
	});

	test('the last priority is not starved by others without end', () => {
		const queue = queueOf([request({priority: 9}), ...Array.from({length: 30}, () => request({priority: 0}))]);
		expect(placeAll(queue, ({priority}) => String(priority)).indexOf('9')).toBeLessThanOrEqual(10);
	});

	test('a large prompt is overtaken a limited number of times, also where two teams wait', () => {
		const heads = ['a', 'b'].map(team => request({team, pieces: 9}));
		const queue = queueOf(heads);
		let overtaken = 0;
		for (let round = 0; round < 100; round++) {
			queue.push(request({team: round % 2 === 0 ? 'a' : 'b', pieces: 1}));
			const head = queue.peek()!;
			const smaller = head.pieces === 9 ? queue.findSmaller(head) : undefined;
			if (smaller !== undefined) {
				queue.recordBypass(head);
				queue.dequeue(smaller);
				overtaken += 1;
			}
		}

		expect(overtaken).toBeLessThanOrEqual(16);
	});

	test('a priority whose requests expired gets no turn before a more urgent one', () => {
		const queue = queueOf([request({priority: 2, seconds: 1}), ...Array.from({length: 9}, () => request({priority: 0}))]);
		placeAll(queue, () => '', 9);
		queue.removeExpired(addMs(startAt, 2000));
		for (const priority of [2, 0]) {
			queue.push(request({priority}));
		}

		expect(queue.peek()?.priority).toBe(0);
	});

	test('a deferred request goes before less urgent ones, and behind its equals', () => {
		const late = request({priority: 1});
		const queue = queueOf([late, request({priority: 1}), request({priority: 2})]);
		queue.defer(late);
		expect(placeAll(queue, req => req === late ? 'late' : String(req.priority))).toEqual(['1', 'late', '2']);
	});

	test.each([
		{name: 'the first asks for more than there is', demand: [12, 1, 1]},
		{name: 'all ask for more than there is together', demand: [6, 6, 6]},
	])('no priority is served by over 5 in 100 less often than a less urgent one where $name', ({demand}) => {
		const queue = new PlacementQueue();
		const placed = demand.map(() => 0);
		const steps = 400;
		for (let step = 0; step < steps; step++) {
			for (const [priority, count] of demand.entries()) {
				for (let index = 0; index < count; index++) {
					queue.push(request({priority, seconds: step + 5}));
				}
			}

			queue.removeExpired(addMs(startAt, step * 1000));
			for (const priority of placeAll(queue, req => String(req.priority), 10)) {
				placed[Number(priority)]! += 1;
			}
		}

		const parts = demand.map((count, priority) => placed[priority]! / (count * steps));
		for (const [priority, part] of parts.slice(1).entries()) {
			expect(part).toBeLessThanOrEqual(parts[priority]! + 0.05);
			expect(part).toBeGreaterThan(0);
		}
	});

	test('a small request overtakes a large one of its own priority only', () => {
		const head = request({priority: 0, pieces: 9});
		const queue = queueOf([head, request({priority: 1, pieces: 1}), request({priority: 0, pieces: 3})]);
		expect(queue.findSmaller(head)?.pieces).toBe(3);
	});
});

describe('the tokens ahead of a new request', () => {
	test.each([
		{
			name: 'are all those that wait, without teams', req: request(), ahead: 4000, waiting: [request({pieces: 1}), request({pieces: 3})],
		},
		{
			name: 'are those of more urgent priorities and its own', req: request({priority: 1}), ahead: 3000, waiting: [request({priority: 0, pieces: 1}), request({priority: 1, pieces: 2}), request({priority: 2, pieces: 5})],
		},
		{
			name: 'are few of a team that has sent more than its share', req: request({team: 'b', pieces: 2}), ahead: 2000, waiting: Array.from({length: 10}, () => request({team: 'a', pieces: 1})),
		},
	])('$name', ({req, ahead, waiting}) => {
		expect(queueOf(waiting).tokensAhead(req)).toBe(ahead);
	});
});

/** Sixteen teams, a few of them large, that together send `load` of what can be placed; one may send six times its usual within its quota. */
const playTeams = (load: number, hot: string | undefined): ReadonlyMap<string, number> => {
	const usual = new Map(Array.from({length: 16}, (_, index) => [`t${index}`, 1 / ((index + 1) ** 1.2)]));
	const total = [...usual.values()].reduce((sum, value) => sum + value, 0);
	const random = createSeededRandom(3);
	const queue = new PlacementQueue();
	const sent = new Map<string, number>();
	const placed = new Map<string, number>();
	const placedPerStep = 5;
	const steps = 4000;
	const waitSteps = 20;
	for (let step = 0; step < steps; step++) {
		for (const [name, weight] of usual) {
			const rate = (load * placedPerStep * weight / total) * (name === hot ? 6 : 1);
			const arrivals = Math.floor(rate) + (random.next() < rate % 1 ? 1 : 0);
			for (let index = 0; index < arrivals; index++) {
				sent.set(name, (sent.get(name) ?? 0) + 1);
				queue.push(request({team: name, seconds: step + waitSteps}));
			}
		}

		queue.removeExpired(addMs(startAt, step * 1000));
		for (const name of placeAll(queue, teamOf, placedPerStep)) {
			placed.set(name, (placed.get(name) ?? 0) + 1);
		}
	}

	return new Map([...sent].map(([name, number]) => [name, (placed.get(name) ?? 0) / number]));
};

describe('sixteen teams, one of which sends six times its usual load', () => {
	test.each([
		{name: 'the largest, at half load', load: 0.5, hot: 't0'},
		{name: 'the third, at half load', load: 0.5, hot: 't2'},
		{name: 'the largest, at 90 % load', load: 0.9, hot: 't0'},
		{name: 'the smallest, at 90 % load', load: 0.9, hot: 't15'},
	])('$name: every other team is served within 5 in 100 of what it is without it', ({load, hot}) => {
		const without = playTeams(load, undefined);
		const beside = playTeams(load, hot);
		const losses = [...beside].filter(([name]) => name !== hot).map(([name, share]) => without.get(name)! - share);
		expect(Math.max(...losses)).toBeLessThanOrEqual(0.05);
	});
});
