/** Memory that an engine uses beyond what the pool's owner counts. */
import type {EngineReport, ReportedHold} from '../engine/engine-client.js';
import type {RequestId} from '../ids.js';

/** A placement on the reporting engine, by the owner's count. */
type CountedGrant = {
	readonly requestId: RequestId;
	readonly pieces: number;
};

const sumOf = (holds: readonly ReportedHold[]): number => holds.reduce((sum, {pieces}) => sum + pieces, 0);

/**
 * Returns the memory pieces in use by an engine's report that neither the grants on the engine nor the holds that only the
 * engine knows account for: leases of instances that place without the owner, arriving transfers, and streams that outgrew
 * their grants together. Answers the load after a change of owner, when instances leased memory on their own.
 * A report is some hundred milliseconds old: a grant that it does not list yet may already be part of the memory in use, and
 * is not counted twice.
 *
 * @example
 * excessPiecesOf({...report, pieces: 40, freePieces: 27, held: [{requestId, attempt, pieces: 4}]}, [{requestId, pieces: 4}]); // 9
 */
export const excessPiecesOf = ({pieces, freePieces, held}: EngineReport, grants: readonly CountedGrant[]): number => {
	const listed = new Map(held.map(hold => [hold.requestId, hold.pieces]));
	let outgrownPieces = 0;
	let unlistedPieces = 0;
	for (const grant of grants) {
		const heldPieces = listed.get(grant.requestId);
		outgrownPieces += heldPieces === undefined ? 0 : heldPieces - grant.pieces;
		unlistedPieces += heldPieces === undefined ? grant.pieces : 0;
	}

	return Math.max(0, outgrownPieces) + Math.max(0, pieces - freePieces - sumOf(held) - unlistedPieces);
};
