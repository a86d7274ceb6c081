/** Watches whether this instance reaches servers: probes some of them when its calls fail, and tells what follows. */
import {PathMonitor, pickIndex} from '@baobabpier/core';
import type {
	BackendId, Clock, Instant, ListedServer, PathState, RandomSource,
} from '@baobabpier/core';
import {createLog} from '../log.js';
import {splitAddress} from '../listen.js';
import {createTimedConnect} from '../timed-connect.js';
import type {ServerGate} from '../transport/types.js';

const log = createLog('path');
/** Interval at which responses are looked for, in milliseconds. */
const checkIntervalMs = 100;
/** Number of servers that are probed at once. */
const probedServers = 4;
/** Time for which a probe may wait for its connection, in milliseconds: several round trips between any two data centres. */
const probeTimeoutMs = 250;

/** Dependencies of a path watch. */
export type PathWatchParts = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly servers: () => readonly ListedServer[];
	/** Called when the path is lost, and when it is back. */
	readonly onChange: (isCut: boolean) => void;
};

/**
 * Keeps the state of the path to servers.
 *
 * @example
 * const path = new PathWatch(parts);
 * path.start();
 * await path.settled(); // 'open' or 'cut'
 */
export class PathWatch {
	readonly #monitor = new PathMonitor();
	readonly #waiters: Array<() => void> = [];
	#timer: NodeJS.Timeout | undefined;
	/** Servers that the last round did not probe, in random order. */
	#unprobed: ListedServer[] = [];
	#cutAt: Instant | undefined;
	#reopenedAt: Instant | undefined;

	constructor(private readonly parts: PathWatchParts) {}

	get state(): PathState {
		return this.#monitor.state;
	}

	get isCut(): boolean {
		return this.#monitor.state === 'cut';
	}

	start(): void {
		this.#timer = setInterval(() => {
			this.#check();
		}, checkIntervalMs);
	}

	stop(): void {
		clearInterval(this.#timer);
		this.#timer = undefined;
		this.#wake();
	}

	/** Resolves with the state once it is not in doubt: at once, or after two rounds of probes. */
	async settled(): Promise<PathState> {
		if (this.#monitor.state === 'doubtful' && this.#timer !== undefined) {
			await new Promise<void>(resolve => {
				this.#waiters.push(resolve);
			});
		}

		return this.#monitor.state;
	}

	/** Whether failures of what began at `since` may come from a lost path instead of their servers; resolves once the path is not in doubt. */
	async explainsFailures(since: Instant): Promise<boolean> {
		const state = await this.settled();
		return state === 'cut' || (this.#reopenedAt !== undefined && this.#reopenedAt >= since);
	}

	/** Records a connection to a server that could not be opened, that broke, or that is silent for longer than a sound server. */
	recordFailure(server: BackendId): void {
		this.#monitor.recordFailure(server, this.parts.clock.now());
		this.#check();
	}

	/** Returns a gate that also tells this watch of requests and responses. */
	watch(gate: ServerGate): ServerGate {
		const {clock} = this.parts;
		const monitor = this.#monitor;
		return {
			needsPermit: server => gate.needsPermit(server),
			acquirePermit: async (seeker, signal) => gate.acquirePermit(seeker, signal),
			maySend: (server, kind, permit) => gate.maySend(server, kind, permit),
			recordSend(server, kind, permit) {
				monitor.recordSend(clock.now());
				return gate.recordSend(server, kind, permit);
			},
			recordResponse(server, kind, response, record) {
				monitor.recordResponse();
				gate.recordResponse(server, kind, response, record);
			},
		};
	}

	#check(): void {
		if (this.#monitor.isProbeDue(this.parts.clock.now())) {
			void this.#probe();
		}
	}

	async #probe(): Promise<void> {
		const before = this.#monitor.state;
		const servers = this.#pickServers();
		const probes = servers.map(async ({address}) => canConnect(address));
		// One connection is enough to tell that the path is there; more tell that it is back
		const reached = before === 'doubtful'
			? Number(await isAnyTrue(probes))
			: await countTrue(probes);
		const now = this.parts.clock.now();
		this.#monitor.recordProbes({tried: servers.length, reached}, now);
		const {state} = this.#monitor;
		if ((state === 'cut') !== (before === 'cut')) {
			this.#cutAt = state === 'cut' ? now : this.#cutAt;
			this.#reopenedAt = state === 'cut' ? this.#reopenedAt : now;
			log.warn(state === 'cut' ? 'No server can be reached from here.' : 'Servers can be reached again.', {
				tried: servers.length, reached, listed: this.parts.servers().length, cutMs: state === 'cut' ? undefined : Math.round(now - this.#cutAt!),
			});
			this.parts.onChange(state === 'cut');
		}

		if (state !== 'doubtful') {
			this.#wake();
		}
	}

	/** Picks servers that were not probed lately, at random: some of the listed ones may be down. */
	#pickServers(): readonly ListedServer[] {
		const picked: ListedServer[] = [];
		const listed = this.parts.servers();
		this.#unprobed = this.#unprobed.filter(server => listed.includes(server));
		while (picked.length < Math.min(probedServers, listed.length)) {
			if (this.#unprobed.length === 0) {
				this.#unprobed = listed.filter(server => !picked.includes(server));
			}

			const [server] = this.#unprobed.splice(pickIndex(this.parts.random, this.#unprobed.length), 1);
			picked.push(server!);
		}

		return picked;
	}

	#wake(): void {
		for (const resolve of this.#waiters.splice(0)) {
			resolve();
		}
	}
}

/** Whether a connection to an address can be opened; it is closed at once. */
const canConnect = async (address: string): Promise<boolean> => new Promise(resolve => {
	const {host, port} = splitAddress(address);
	createTimedConnect(probeTimeoutMs)({hostname: host, port: String(port), protocol: 'http:'}, (...[error, socket]) => {
		socket?.destroy();
		resolve(error === null);
	});
});

/** Resolves with true as soon as one of the promises does, with false once none can. */
const isAnyTrue = async (promises: ReadonlyArray<Promise<boolean>>): Promise<boolean> => new Promise(resolve => {
	void Promise.all(promises.map(async promise => {
		const isTrue = await promise;
		if (isTrue) {
			resolve(true);
		}
	})).then(() => {
		resolve(false);
	});
});

const countTrue = async (promises: ReadonlyArray<Promise<boolean>>): Promise<number> => {
	const results = await Promise.all(promises);
	return results.filter(Boolean).length;
};
