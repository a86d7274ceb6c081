/** A crash guard without a leader. */
import {toId} from '@baobabpier/core';
import type {InstanceId} from '@baobabpier/core';
import {CrashGuard} from '../../gateway/crash-guard.js';
import {monotonicClock} from '../../monotonic-clock.js';
import {Peers} from '../../rpc/peers.js';

export const createIdleGuard = (): CrashGuard => new CrashGuard({
	self: toId<InstanceId>('entry-1'), clock: monotonicClock, peers: new Peers([], 's'), leader: () => undefined,
});
