/** Reports of the fake decode engines, as owners read them. */
import {toHold, toId} from '@baobabpier/core';
import type {
	AttemptNumber, EngineId, EngineReport, EngineIncarnation, InstanceId, RequestId,
} from '@baobabpier/core';
import type {FakeDecodeEngine} from './fake-engines.js';

/**
 * What an engine says of itself, with the holds of the requests that `isListed` lets through.
 *
 * @example
 * createReport(decode, () => true).held.length;
 */
export const createReport = (decode: FakeDecodeEngine, isListed: (requestId: RequestId) => boolean): EngineReport => {
	const held = [...decode.held].map(([key, pieces]) => {
		const [requestId, attempt] = key.split('/') as [string, string];
		return {...toHold(toId<RequestId>(requestId), toId<AttemptNumber>(Number(attempt))), pieces, holder: toId<InstanceId>('')};
	});
	return {
		engine: toId<EngineId>(decode.id),
		incarnation: toId<EngineIncarnation>('1'),
		role: 'decode',
		pieces: decode.pieces,
		freePieces: decode.freePieces,
		queuedTokens: 0,
		running: decode.running,
		held: held.filter(({requestId}) => isListed(requestId)),
	};
};
