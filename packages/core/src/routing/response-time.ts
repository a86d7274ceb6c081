/** Mean response time of a server by its latest responses, forgotten while there are none. */
import type {Instant} from '../time.js';

/** A mean response time, and when the latest response was counted in it. */
export type ResponseTime = {
	readonly meanMs: number;
	readonly at: Instant;
};

/** Weight of the newest response in the moving average. */
const responseWeight = 0.2;
/** Time without a response after which nothing is known of a server's speed, in milliseconds. */
const maxAgeMs = 3000;

/**
 * The mean in milliseconds; undefined without recent responses, so that a server that was slow once is tried again.
 *
 * @example
 * knownMeanMs({meanMs: 120, at: clock.now()}, clock.now()); // 120
 */
export const knownMeanMs = (responseTime: ResponseTime | undefined, now: Instant): number | undefined => responseTime !== undefined && now - responseTime.at <= maxAgeMs ? responseTime.meanMs : undefined;

/**
 * Counts a response in.
 *
 * @example
 * stats.responseTime = withResponse(stats.responseTime, 120, clock.now());
 */
export const withResponse = (responseTime: ResponseTime | undefined, elapsedMs: number, now: Instant): ResponseTime => {
	const meanMs = knownMeanMs(responseTime, now) ?? elapsedMs;
	return {meanMs: meanMs + (responseWeight * (elapsedMs - meanMs)), at: now};
};

/**
 * Counts a call in that was given up: its response would have taken longer still, so that it never lowers the mean.
 *
 * @example
 * stats.responseTime = withUnfinished(stats.responseTime, clock.now() - startedAt, clock.now());
 */
export const withUnfinished = (responseTime: ResponseTime | undefined, elapsedMs: number, now: Instant): ResponseTime => {
	const updated = withResponse(responseTime, elapsedMs, now);
	return responseTime !== undefined && (knownMeanMs(responseTime, now) ?? 0) > updated.meanMs ? responseTime : updated;
};
