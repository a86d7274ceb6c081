/** Decides which connections of clients a process keeps when there are too many. */

/** What a connection does. */
export type ConnectionStage =
	/** Its last response is sent, and it is about to be closed. */
	| 'closing'
	/** A head has begun to arrive. */
	| 'partialHead'
	/** Nothing has arrived since it was opened. */
	| 'silent'
	/** A body is arriving. */
	| 'partialBody'
	/** Its client does not read the response. */
	| 'unread'
	/** It waits for the next request. */
	| 'idle'
	/** A whole request has arrived, and its response is not sent. */
	| 'serving';

/** Bounds of the connections of a port. */
export type PortBounds = {
	/** Connections that the port can open however many other ports have. */
	readonly guaranteed: number;
	readonly max: number;
};

/** A connection of a port. */
export type ConnectionHandle = {readonly stage: ConnectionStage};

type ConnectionState = {stage: ConnectionStage};

/** What happens to a new connection. */
export type Admission =
	| {readonly kind: 'admitted'; readonly handle: ConnectionHandle}
	/** It is admitted in place of another one of its port, which has to be closed. */
	| {readonly kind: 'displaces'; readonly handle: ConnectionHandle; readonly displaced: ConnectionHandle}
	/** Every connection of the port has more right to stay. */
	| {readonly kind: 'refused'};

/** Stages whose connections give way, in this order: of each group the oldest connection of the largest stage. A request that has arrived as a whole is always answered. */
const displacementOrder: ReadonlyArray<readonly ConnectionStage[]> = [
	['closing'],
	// Ordinary requests arrive as a whole, within moments: the stage of most connections is that of a crowd
	['partialHead', 'silent', 'partialBody'],
	['unread'],
	['idle'],
];

/**
 * The connections of one port.
 *
 * @example
 * const admission = port.admit();
 * if (admission.kind !== 'refused') port.setStage(admission.handle, 'serving');
 */
export class ConnectionPort {
	/** Connections in each stage, in the order in which they entered it. */
	readonly #stages = new Map<ConnectionStage, Set<ConnectionState>>();
	#size = 0;

	constructor(private readonly account: ConnectionAccount, private currentBounds: PortBounds) {}

	get bounds(): PortBounds {
		return this.currentBounds;
	}

	/** Changes the bounds; connections that are open stay. */
	setBounds(bounds: PortBounds): void {
		this.currentBounds = bounds;
	}

	/** Number of connections. */
	get size(): number {
		return this.#size;
	}

	/** Whether a new connection takes the place of another one. */
	get isFull(): boolean {
		return this.#size >= this.currentBounds.max || !this.account.hasRoomFor(this);
	}

	/** Decides on a new connection. */
	admit(): Admission {
		if (!this.isFull) {
			return {kind: 'admitted', handle: this.#add()};
		}

		const displaced = this.#findDisplaced();
		if (displaced === undefined) {
			return {kind: 'refused'};
		}

		this.remove(displaced);
		return {kind: 'displaces', handle: this.#add(), displaced};
	}

	setStage(handle: ConnectionHandle, stage: ConnectionStage): void {
		const state = handle as ConnectionState;
		if (state.stage !== stage && this.#stages.get(state.stage)?.delete(state) === true) {
			state.stage = stage;
			this.#inStage(stage).add(state);
		}
	}

	/** Records that a connection is closed. */
	remove(handle: ConnectionHandle): void {
		if (this.#stages.get(handle.stage)?.delete(handle) === true) {
			this.#size -= 1;
		}
	}

	#add(): ConnectionState {
		const state: ConnectionState = {stage: 'silent'};
		this.#inStage('silent').add(state);
		this.#size += 1;
		return state;
	}

	#inStage(stage: ConnectionStage): Set<ConnectionState> {
		const set = this.#stages.get(stage) ?? new Set();
		this.#stages.set(stage, set);
		return set;
	}

	#findDisplaced(): ConnectionState | undefined {
		for (const stages of displacementOrder) {
			const [largest] = stages.map(stage => this.#inStage(stage)).toSorted((a, b) => b.size - a.size);
			const [oldest] = largest!;
			if (oldest !== undefined) {
				return oldest;
			}
		}

		return undefined;
	}
}

/**
 * The connections of all ports of a process. Each port has a guaranteed part, so that a crowd at one port keeps nobody out of the others.
 *
 * @example
 * const account = new ConnectionAccount(678);
 * const callers = account.openPort({guaranteed: 339, max: 339});
 * const metrics = account.openPort({guaranteed: 16, max: 32});
 */
export class ConnectionAccount {
	readonly #ports = new Set<ConnectionPort>();

	constructor(private maxConnections: number) {}

	/** Number of connections of all ports. */
	get size(): number {
		return [...this.#ports].reduce((sum, {size}) => sum + size, 0);
	}

	/** Changes the bound of all ports together; connections that are open stay. */
	setMaxConnections(maxConnections: number): void {
		this.maxConnections = maxConnections;
	}

	openPort(bounds: PortBounds): ConnectionPort {
		const port = new ConnectionPort(this, bounds);
		this.#ports.add(port);
		return port;
	}

	/** Gives the part of a port back; its connections no longer count. */
	closePort(port: ConnectionPort): void {
		this.#ports.delete(port);
	}

	/** Whether a port may open one more connection without taking the guaranteed part of another one. */
	hasRoomFor(port: ConnectionPort): boolean {
		if (port.size < port.bounds.guaranteed) {
			return true;
		}

		const others = [...this.#ports].filter(other => other !== port);
		const taken = others.reduce((sum, {size, bounds}) => sum + Math.max(size, bounds.guaranteed), 0);
		return taken + port.size < this.maxConnections;
	}
}
