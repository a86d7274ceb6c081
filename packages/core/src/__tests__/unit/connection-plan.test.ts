import {expect, test} from 'vitest';
import {ConnectionPlan} from '../../index.js';
import type {ConnectionId, PlanStep, ResponseBinding} from '../../index.js';

type Request = {readonly name: string; readonly binding: ResponseBinding};

const requestOf = (name: string): Request => ({name, binding: {kind: 'echoedIfSupported', requestId: name}});
const [first, second] = [1, 2] as ConnectionId[];

const namesOf = (steps: ReadonlyArray<PlanStep<Request>>): string[] => steps.map(step => {
	const target = 'connection' in step ? step.connection : '';
	return `${step.kind} ${target} ${'request' in step ? step.request.name : ''}`.trim().replaceAll(/ +/gv, ' ');
});

/** Leaves two connections: one that carried both requests, and one that was opened for the second and carried none. */
const planWithUnused = (): ConnectionPlan<Request> => {
	const plan = new ConnectionPlan<Request>(() => 4);
	plan.add(requestOf('a'));
	plan.add(requestOf('b'));
	plan.handleOpened(first!);
	for (const name of ['a', 'b']) {
		plan.judge(first!, name);
		plan.handleEnd(first!);
	}

	plan.handleOpened(second!);
	return plan;
};

test('a request that can not be written on a connection that waited unused is sent on another one', () => {
	const plan = planWithUnused();
	expect(namesOf(plan.add(requestOf('c')))).toEqual(['send 1 c']);
	expect(namesOf(plan.add(requestOf('d')))).toEqual(['send 2 d']);
	expect(namesOf(plan.handleUnwritten(second!))).toEqual(['close 2', 'open 3']);
	expect(namesOf(plan.handleOpened(3 as ConnectionId))).toEqual(['send 3 d']);
});

test('a request that can not be written on the connection that was just opened for it fails', () => {
	const plan = new ConnectionPlan<Request>(() => 4);
	plan.add(requestOf('a'));
	plan.handleOpened(first!);
	expect(namesOf(plan.handleUnwritten(first!))).toEqual(['close 1', 'fail a']);
});

test.each([
	{
		phase: 'waits', opened: 0, ended: 0, steps: ['open 2'],
	},
	{
		phase: 'is in use', opened: 1, ended: 0, steps: ['open 2'],
	},
	{
		phase: 'was the newest of an idle connection', opened: 1, ended: 1, steps: ['close 1', 'open 2'],
	},
])('a request gets a connection of its own where another one with its id $phase', ({opened, ended, steps}) => {
	const plan = new ConnectionPlan<Request>(() => 1);
	const binding: ResponseBinding = {kind: 'echoed', requestId: 'r'};
	plan.add({name: 'a', binding});
	if (opened > 0) {
		plan.handleOpened(first!);
	}

	if (ended > 0) {
		plan.judge(first!, 'r');
		plan.handleEnd(first!);
	}

	expect(namesOf(plan.add({name: 'b', binding}))).toEqual(steps);
	expect(namesOf(plan.handleOpened(second!))).toEqual(['send 2 b']);
});

test.each([
	{maximum: 1, opened: 2},
	{maximum: 8, opened: 2},
	{maximum: 20, opened: 5},
])('requests that get a connection each open $opened at a time where $maximum are kept', ({maximum, opened}) => {
	const plan = new ConnectionPlan<Request>(() => maximum);
	const requests = Array.from({length: 12}, (_, index): Request => ({name: String(index), binding: {kind: 'ownConnection'}}));
	expect(requests.flatMap(request => namesOf(plan.add(request)))).toEqual(Array.from({length: opened}, (_, index) => `open ${index + 1}`));

	expect(plan.cancel(requests[opened]!)).toEqual([]);
	expect(namesOf(plan.handleOpened(first!))).toEqual(['send 1 0']);
	plan.judge(first!, undefined);
	expect(namesOf(plan.handleEnd(first!))).toEqual(['close 1', `open ${opened + 1}`]);
	expect(namesOf(plan.handleClosed(second!))).toEqual(['fail 1', `open ${opened + 2}`]);
	expect(namesOf(plan.handleOpened((opened + 2) as ConnectionId))).toEqual([`send ${opened + 2} ${opened + 2}`]);
});
