/** What the plan of connections knows of a request, and which requests share connections. */
import type {ResponseBinding} from './response-binding.js';

/** What the plan needs to know of a request. */
export type PlannedRequest = {
	readonly binding: ResponseBinding;
	/** Whether the same request was sent to the address before; it gets a connection of its own. */
	readonly isRepeat?: boolean;
};

/** Lane of the requests whose responses name them. */
const identifiedLane = 'identified';

/** Returns the id that the response must name; undefined where it need not name one. */
export const echoedId = ({binding}: PlannedRequest): string | undefined => binding.kind === 'echoed' ? binding.requestId : undefined;

/**
 * Returns the lane whose kept connections a request may use; undefined for a request that gets a connection of its own.
 *
 * @example
 * laneOf({binding: {kind: 'ownConnection'}}); // undefined
 */
export const laneOf = ({binding, isRepeat}: PlannedRequest): string | undefined => {
	if (isRepeat === true || binding.kind === 'ownConnection') {
		return undefined;
	}

	return binding.kind === 'interchangeable' ? `interchangeable/${binding.lane}` : identifiedLane;
};
