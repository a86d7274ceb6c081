import {expect, test} from 'vitest';
import {
	ControlState, Forecast, toHold, toId,
} from '@baobabpier/core';
import type {
	AttemptNumber, ControlEntry, EngineId, Instant, InstanceId, LearnedEstimates, LogIndex, LogTime, PlacementRequest, RequestId, ServiceName,
} from '@baobabpier/core';
import {LearnedEstimatesRecorder} from '../../control-node/learned-estimates-recorder.js';
import type {LearnedEstimatesRecorderParts} from '../../control-node/learned-estimates-recorder.js';

const service = toId<ServiceName>('lm');
const at = (ms: number): Instant => ms as Instant;

const figuresOf = (tokensPerMs: number): LearnedEstimates => ({
	prefill: {tokensPerMs, latencyMs: 10}, direct: undefined, outputs: undefined, reads: {betweenMs: 50, stoppedPart: 0.5},
});

const createState = (): ControlState => new ControlState({maxRecords: 10, keptMs: 1000} as never);

/** A control log of one instance. */
const createLog = (state: ControlState) => {
	let index = 0;
	let written = 0;
	const control = {
		state,
		async submit(command: ControlEntry['command']) {
			index += 1;
			written += 1;
			return state.apply({index: toId<LogIndex>(index), at: 0 as LogTime, command});
		},
	} as unknown as LearnedEstimatesRecorderParts['control'];
	return {control, written: () => written};
};

test.each([
	{
		name: 'the first figures', learned: [40], writes: 1, kept: 40,
	},
	{
		name: 'figures that hardly change', learned: [40, 41, 39], writes: 1, kept: 40,
	},
	{
		name: 'figures that change', learned: [40, 50, 20], writes: 3, kept: 20,
	},
	{
		name: 'nothing while another instance leads', learned: [40], isLeading: false, writes: 0, kept: undefined,
	},
])('writes down $name', async ({learned, isLeading = true, writes, kept}) => {
	const state = createState();
	const {control, written} = createLog(state);
	for (const tokensPerMs of learned) {
		const recorder = new LearnedEstimatesRecorder({control, pools: {learnedEstimates: () => new Map([[service, figuresOf(tokensPerMs)]])}, isLeading: () => isLeading});
		// eslint-disable-next-line no-await-in-loop
		await recorder.record();
	}

	const copy = createState();
	copy.restore(structuredClone(state.takeSnapshot()));
	expect([written(), copy.learnedEstimates(service)?.prefill?.tokensPerMs]).toEqual([writes, kept]);
});

const prefill = toId<EngineId>('p1');

/** Lets an idle engine read a prompt in `ms`, and its stream complete. */
const readOne = (forecast: Forecast, turn: number, promptTokens: number, ms: number): void => {
	const hold = toHold(toId<RequestId>(`r${turn}`), toId<AttemptNumber>(1));
	const req: PlacementRequest = {
		...hold, service, class: 'patient', holder: toId<InstanceId>('i1'), promptTokens, maxTokens: 1000, pieces: 1, prefix: '', deadline: at(1e9), excluded: [],
	};
	forecast.observe({
		kind: 'granted', req, decode: toId<EngineId>('d1'), prefill, waiting: 0,
	}, at(turn * 1000));
	forecast.observe({kind: 'prefillDone', hold}, at((turn * 1000) + ms));
	forecast.observe({kind: 'released', hold, outputTokens: 800}, at((turn * 1000) + 900));
};

test('roles are planned by the estimate until enough prompts were read', () => {
	const forecast = new Forecast({links: 'ample', prefill: {tokensPerMs: 45, latencyMs: 120}});
	for (let turn = 0; turn < 5; turn++) {
		readOne(forecast, turn, 1000 + (turn * 100), 120 + (turn * 100));
	}

	expect(forecast.prefillTokensPerMs).toBe(45);
});

test('a new owner begins with what the last one learned, and hands it on before it learned anything', () => {
	const options = {links: 'ample', prefill: {tokensPerMs: 20, latencyMs: 0}, memory: {pieceTokens: 16, expectedOutputFraction: 0.3}} as const;
	const first = new Forecast(options);
	for (let turn = 0; turn < 50; turn++) {
		const promptTokens = 1000 * (1 + (turn % 6));
		readOne(first, turn, promptTokens, 80 + (promptTokens / 50));
	}

	const second = new Forecast({...options, learned: first.learned});
	expect(Math.abs(second.prefillTokensPerMs - 50)).toBeLessThan(2);
	expect(second.learned.outputs?.first).toBeCloseTo(0.8, 1);
	expect(second.predict(prefill, 5000, at(0)).prefillEndsAt).toBeGreaterThan(170);
});
