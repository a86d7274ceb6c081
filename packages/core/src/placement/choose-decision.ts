/** Chooses between the decisions that a policy makes for one request on engines of different software versions. */
import type {EngineView, PlacementDecision} from './types.js';

type Reservation = Extract<PlacementDecision, {kind: 'reserve'}>;

/** Kinds of decisions, the best for the request first. */
const preference: ReadonlyArray<PlacementDecision['kind']> = ['reserve', 'wait', 'defer', 'refuse'];

const decodeLoadOf = ({freePieces, pieces, running, maxStreams}: EngineView): number => Math.max(1 - (freePieces / pieces), running / maxStreams);

/** Separate prefill engines before engines that do both, whose other streams stall; then the less loaded engines. */
const compareReservations = (a: Reservation, b: Reservation): number =>
	Number(a.decode.id === a.prefill.id) - Number(b.decode.id === b.prefill.id)
	|| decodeLoadOf(a.decode) - decodeLoadOf(b.decode)
	|| a.prefill.queuedTokens - b.prefill.queuedTokens;

/**
 * Returns the decision that serves the request best; the decisions must not be empty.
 *
 * @example
 * chooseDecision([{kind: 'wait', shortage: 'memory'}, {kind: 'reserve', decode, prefill}]).kind; // 'reserve'
 */
export const chooseDecision = (decisions: readonly PlacementDecision[]): PlacementDecision => {
	const reservations = decisions.filter(decision => decision.kind === 'reserve');
	if (reservations.length > 0) {
		return reservations.toSorted((a, b) => compareReservations(a, b))[0]!;
	}

	// A smaller request may fit where one version lacks memory only
	return decisions.find(decision => decision.kind === 'wait' && decision.shortage === 'memory')
		?? decisions.toSorted((a, b) => preference.indexOf(a.kind) - preference.indexOf(b.kind))[0]!;
};
