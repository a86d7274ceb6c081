/** Decides which calls a stopping instance still takes. */
import type {Instant} from '../time.js';
import type {UsualDuration} from './usual-duration.js';

/** The last period of service of an instance. */
export type DrainWindow = {
	/** By then the stop is known everywhere, so that new callers go to other instances. */
	readonly knownAt: Instant;
	/** When the calls in progress are ended. */
	readonly endsAt: Instant;
};

/** How a call may be repeated after it was cut short: completely, from its last event on, or not at all. */
export type Repeatability = 'whole' | 'resumed' | 'no';

/** A call that arrives at a stopping instance. */
export type DrainCandidate = {
	readonly deadlineAt: Instant;
	readonly repeatability: Repeatability;
	/** Duration of calls of the same kind; undefined before the first one. */
	readonly usual: UsualDuration | undefined;
};

/**
 * Number of mean deviations that must fit beside the mean duration. While the stop is not known everywhere, a refusal
 * costs the caller a detour; afterwards other instances serve it, and only a call that is complete or can be sent again
 * as a whole is worth a risk.
 */
const requiredDeviations: Readonly<Record<Repeatability, {readonly before: number; readonly after: number | undefined}>> = {
	whole: {before: 2, after: 4},
	resumed: {before: 2, after: undefined},
	no: {before: 4, after: undefined},
};

/**
 * Returns whether a call can be expected to end before the drain does: by its deadline, or by what calls of its kind take.
 *
 * @example
 * fitsDrain({deadlineAt: addMs(now, 500), repeatability: 'no', usual: undefined}, {knownAt: now, endsAt: addMs(now, 1000)}, now); // true
 */
export const fitsDrain = ({deadlineAt, repeatability, usual}: DrainCandidate, {knownAt, endsAt}: DrainWindow, now: Instant): boolean => {
	if (deadlineAt <= endsAt) {
		return true;
	}

	const {before, after} = requiredDeviations[repeatability];
	const deviations = now < knownAt ? before : after;
	return deviations !== undefined && usual !== undefined && now + usual.upperBoundMs(deviations) <= endsAt;
};
