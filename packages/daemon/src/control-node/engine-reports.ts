/** Fetches the reports of engines for the pools that this instance owns. */
import {countPieces, EngineStarts, toId} from '@baobabpier/core';
import type {
	BackendId, Clock, EngineEntry, EngineId, EngineReport, EngineIncarnation,
} from '@baobabpier/core';
import {createPolledSignal} from '../polled-timeout.js';
import {createLog} from '../log.js';
import type {ServerTransport} from '../transport/server-transport.js';
import {pieceTokens} from '../gateway/model-services.js';
import type {PoolEngineClient} from '../pools/pool-host.js';
import type {OrderDialect} from './role-task.js';

const log = createLog('reports');
/** Timeout of a report request, in milliseconds: long enough for one retransmission of a lost packet. */
const reportTimeoutMs = 600;
/** Status with which another engine at the address refuses a request. */
const misdirected = 421;

/** Dependencies of the engine reports. */
export type EngineReportsParts = {
	readonly clock: Clock;
	readonly transport: ServerTransport;
	readonly dialect: Pick<OrderDialect, 'statusCall' | 'readStatus'>;
};

/** Fetches reports. Cancels nothing, since engines end the requests whose connections close. */
export class EngineReports implements PoolEngineClient {
	readonly #starts = new EngineStarts();

	constructor(private readonly parts: EngineReportsParts) {}

	/** Fetches the report of the streams that run on an engine and of its memory in use. */
	async fetchReport(engine: EngineEntry): Promise<EngineReport | 'unreachable' | undefined> {
		const {transport, dialect} = this.parts;
		const answer = await transport.sendRequest({
			kind: 'report', binding: {kind: 'interchangeable', lane: 'report'}, server: toId<BackendId>(engine.id), address: engine.address, ...dialect.statusCall(toId<BackendId>(engine.id)), signal: createPolledSignal(reportTimeoutMs),
		});
		if (answer.kind === 'unsent' && answer.isHeldBack === true) {
			return undefined;
		}

		const body = answer.kind === 'head' ? await transport.readBody(answer) : answer;
		if (answer.kind !== 'head' || 'kind' in body) {
			transport.discardConnections(engine.address);
			return 'unreachable';
		}

		if (answer.status === misdirected) {
			return 'unreachable';
		}

		const status = answer.status === 200 ? dialect.readStatus(body) : undefined;
		if (status === undefined) {
			log('A report can\'t be read.', {engine: engine.id, status: answer.status});
			return undefined;
		}

		if (status.start !== undefined && !this.#starts.isTrusted(engine.id, status.start, this.parts.clock.now())) {
			log('Another start of an engine answers at its address.', {engine: engine.id, start: status.start});
			return 'unreachable';
		}

		for (const {field, value} of status.faults) {
			log('A report has an impossible figure, which counts as missing.', {engine: engine.id, field, value: JSON.stringify(value)});
		}

		const held = status.runs.map(({requestId, tokens}) => ({requestId, attempt: undefined, pieces: countPieces(tokens, pieceTokens)}));
		return {
			engine: engine.id,
			incarnation: toId<EngineIncarnation>(engine.id),
			role: status.role,
			pieces: engine.pieces,
			freePieces: engine.pieces - Math.max(countPieces(status.usedTokens ?? 0, pieceTokens), held.reduce((sum, {pieces}) => sum + pieces, 0)),
			queuedTokens: 0,
			running: held.length,
			held,
		};
	}

	/** Forgets the engines that are no longer listed. */
	retain(engines: ReadonlySet<EngineId>): void {
		this.#starts.retain(engines);
	}

	/** Does nothing: the connections of a lost holder are closed, and engines end the requests on them. */
	async cancel(): Promise<void> {
		// Nothing to send
	}
}
