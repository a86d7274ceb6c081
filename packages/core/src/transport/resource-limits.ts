/** What a process may use for its clients, from what its machine has. */

/** Memory and file descriptors of a process. */
export type MachineResources = {
	readonly memoryBytes: number;
	readonly descriptors: number;
};

/** Bounds on what clients may occupy. */
export type ResourceLimits = {
	/** Memory of request bodies, in bytes. */
	readonly bodyBytes: number;
	/** Client connections of one port. */
	readonly connections: number;
};

const mebibyte = 1024 * 1024;
/** Memory of a process without clients: 58 to 70 MB were measured at the peak of calm days. */
const idleBytes = 72 * mebibyte;
/** Fraction of the remaining memory for request bodies. What is read takes several times as much until the next garbage collection, and responses and streams need the rest. */
const bodyFraction = 0.1;
/** Fraction of the remaining memory for connections. */
const connectionFraction = 0.2;
/** Memory of a connection whose request is being read, in bytes: Node.js reads up to 64 KiB of a socket at a time. */
const connectionBytes = 64 * 1024;
/** Fraction of the file descriptors for one port's clients: two ports take requests, and servers need connections too. */
const descriptorFraction = 0.4;
/** Least bounds, so that a small machine still serves a request of the usual limits. */
const minBodyBytes = 5 * mebibyte;
const minConnections = 128;

/** Bounds where nothing is known of the machine: the connections of one with 178 MB, and memory for the largest configuration. */
export const defaultResourceLimits: ResourceLimits = {bodyBytes: 17 * mebibyte, connections: 330};

/**
 * The bounds for a machine.
 *
 * @example
 * resourceLimits({memoryBytes: 178 * 1024 * 1024, descriptors: 4100}); // {bodyBytes: 11_114_905, connections: 339}
 */
export const resourceLimits = ({memoryBytes, descriptors}: MachineResources): ResourceLimits => {
	const freeBytes = Math.max(0, memoryBytes - idleBytes);
	return {
		bodyBytes: Math.max(minBodyBytes, Math.floor(freeBytes * bodyFraction)),
		connections: Math.max(minConnections, Math.min(Math.floor(freeBytes * connectionFraction / connectionBytes), Math.floor(descriptors * descriptorFraction))),
	};
};
