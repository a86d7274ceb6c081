/** The `stop` commands. */
import {randomUUID} from 'node:crypto';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	STOP_CANCEL, STOP_PLAN, STOP_STATUS, toId,
} from '@baobabpier/core';
import type {
	OrderId, PlannedStop, StopProgress, StopTarget,
} from '@baobabpier/core';
import {exitCodes} from './exit-codes.js';
import type {ExitCode} from './exit-codes.js';
import {callInstance} from './operator-client.js';
import type {OperatorTarget} from './operator-client.js';
import type {Output} from './output.js';

const pollMs = 500;

/** What can be stopped, as the command line names it. */
export const stopKinds = {
	instance: 'instance', engine: 'engine', backend: 'backend', 'data-centre': 'dataCentre',
} as const satisfies Record<string, StopTarget['kind']>;

/** What `stop plan` takes. */
export type PlanArguments = {
	readonly kind: keyof typeof stopKinds;
	readonly id: string;
	/** Milliseconds that the drain should take at most. */
	readonly within: number;
	readonly wait: boolean;
	readonly orderId: string | undefined;
	readonly author: string;
};

const waitText = ({waitsFor, unheard}: StopProgress): string => {
	const uses = waitsFor.map(({instance, inUse}) => `${inUse} in progress on ${instance}`);
	const silent = unheard.map(instance => `no word from ${instance}`);
	return [...uses, ...silent].join(', ') || 'nothing in progress';
};

const describe = (stop: StopProgress): string => `${stop.orderId}: ${stop.target.kind} ${stop.target.id}, ${stop.state}, planned by ${stop.author}; ${waitText(stop)}`;

/** Plans a stop and, unless told otherwise, waits for the end of its drain. */
export const planStop = async (target: OperatorTarget, args: PlanArguments, output: Output): Promise<ExitCode> => {
	const verdict = await callInstance(target, STOP_PLAN, {
		orderId: toId<OrderId>(args.orderId ?? randomUUID()), target: {kind: stopKinds[args.kind], id: args.id}, withinMs: args.within, author: args.author,
	});
	if (verdict.kind === 'refused') {
		output.print(verdict, [`Refused: ${verdict.reason}.`, ...verdict.blockedBy.map(id => `In force: stop ${id}`)]);
		return exitCodes.refused;
	}

	const {orderId} = verdict.stop;
	if (!args.wait) {
		output.print(verdict, [`Planned as ${orderId}.`]);
		return exitCodes.done;
	}

	return waitForDrain(target, {orderId, withinMs: args.within}, output);
};

const waitForDrain = async (target: OperatorTarget, {orderId, withinMs}: {orderId: OrderId; withinMs: number}, output: Output): Promise<ExitCode> => {
	const deadline = Date.now() + withinMs;
	for (;;) {
		// One poll after the other
		// eslint-disable-next-line no-await-in-loop
		const {stops} = await callInstance(target, STOP_STATUS, {});
		const stop = stops.find(one => one.orderId === orderId);
		if (stop === undefined) {
			output.print({orderId, state: 'over'}, [`Stop ${orderId} is no longer in force.`]);
			return exitCodes.conflict;
		}

		if (stop.state === 'stopped') {
			output.print(stop, [describe(stop)]);
			return exitCodes.done;
		}

		if (Date.now() >= deadline) {
			output.print(stop, [`Still draining after ${withinMs} ms; it goes on.`, describe(stop)]);
			return exitCodes.pending;
		}

		process.stderr.write(`draining: ${waitText(stop)}\n`);
		// eslint-disable-next-line no-await-in-loop
		await sleep(pollMs);
	}
};

/** Prints the stops in force. */
export const showStops = async (target: OperatorTarget, output: Output): Promise<ExitCode> => {
	const status = await callInstance(target, STOP_STATUS, {});
	output.print(status, status.stops.length === 0 ? ['No stop is in force.'] : status.stops.map(stop => describe(stop)));
	return exitCodes.done;
};

/** Whether a stop has ended its target's processes: engines and backend servers are only left alone. */
const hasEnded = ({state, target}: PlannedStop): boolean => state === 'stopped' && (target.kind === 'instance' || target.kind === 'dataCentre');

/** Takes a stop out of force: its target is used again. */
export const cancelStop = async (target: OperatorTarget, orderId: string, output: Output): Promise<ExitCode> => {
	const answer = await callInstance(target, STOP_CANCEL, {orderId: toId<OrderId>(orderId)});
	if (answer.stop !== undefined && hasEnded(answer.stop)) {
		const {kind, id} = answer.stop.target;
		output.print(answer, [`Stop ${orderId} is out of force, but its drain was over: ${kind} ${id} has ended and must be started.`]);
		return exitCodes.tooLate;
	}

	output.print(answer, [answer.found ? `Stop ${orderId} is cancelled.` : `No stop ${orderId} is in force.`]);
	return answer.found ? exitCodes.done : exitCodes.invalid;
};
