/** The process's monotonic clock. */
import {performance} from 'node:perf_hooks';
import type {Clock, Instant} from '@baobabpier/core';

/** Monotonic time since the process started, in milliseconds. */
export const monotonicClock: Clock = {now: () => performance.now() as Instant};
