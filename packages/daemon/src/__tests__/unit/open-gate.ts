/** A server gate, and limits of servers, that let everything pass. */
import {toId} from '@baobabpier/core';
import type {BackendId, Instant} from '@baobabpier/core';
import type {ServerRateLimits} from '../../server-rate-limits/types.js';
import type {SendRecord, ServerGate} from '../../transport/types.js';

const sendRecord: SendRecord = {sentAt: 0 as Instant, isPermitted: false, limitRevision: undefined};

/** Server id for tests that need just one. */
export const oneServer = toId<BackendId>('s1');

export const openGate: ServerGate = {
	needsPermit: () => false, acquirePermit: async () => undefined, maySend: () => true, recordSend: () => sendRecord, recordResponse: () => undefined,
};

export const noLimits: ServerRateLimits = {
	size: 0,
	exhausted: [],
	nextEnd: undefined,
	isLimited: () => false,
	requestsPerSecond: () => undefined,
	availableInMs: () => 0,
	acquire: async () => undefined,
	record: () => sendRecord,
	observe: () => undefined,
	retain: () => undefined,
	stop: () => undefined,
};
