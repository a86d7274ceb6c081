/** What a process may use for its clients, from what its machine has. */
import type {PortBounds} from './connection-account.js';

/** Memory and file descriptors of a process. */
export type MachineResources = {
	readonly memoryBytes: number;
	readonly descriptors: number;
};

/** Bounds of the ports of a process, by who connects there. */
export type ClientPortBounds = {
	/** Callers of an entry instance, or operators of a control instance. */
	readonly callers: PortBounds;
	/** Other instances. */
	readonly partners: PortBounds;
	/** The balancer's readiness checks. */
	readonly balancer: PortBounds;
	/** Scrapers of metrics. */
	readonly scrapers: PortBounds;
};

/** Bounds on what clients may occupy. */
export type ResourceLimits = {
	/** Memory of request bodies, in bytes. */
	readonly bodyBytes: number;
	/** Client connections of all ports. */
	readonly connections: number;
	readonly ports: ClientPortBounds;
};

/** Bounds of the JavaScript heap of a process, in megabytes. */
export type HeapLimits = {
	/** Objects that have outlived a few collections. */
	readonly oldSpaceMegabytes: number;
	/** One half of the space for new objects. */
	readonly semiSpaceMegabytes: number;
};

const mebibyte = 1024 * 1024;
/** Memory of a process without clients. */
const idleBytes = 72 * mebibyte;
/** Fraction of the remaining memory for request bodies. What is read takes several times as much until the next garbage collection, and responses and streams need the rest. */
const bodyFraction = 0.1;
/** Fraction of the remaining memory for connections. */
const connectionFraction = 0.2;
/** Memory of a connection whose request is being read, in bytes: Node.js reads up to 64 KiB of a socket at a time. */
const connectionBytes = 64 * 1024;
/** File descriptors of a process that are not for sockets. */
const otherDescriptors = 200;
/** Fraction of the file descriptors of sockets for clients: servers need connections too. */
const descriptorFraction = 0.6;
/** Fraction of the remaining memory for the old space of the heap: V8 lets garbage fill most of it before a full collection. */
const oldSpaceFraction = 0.6;
/** Fraction of the remaining memory for a semi-space of the heap, which V8 keeps at the size that the largest burst of allocations has brought it to. */
const semiSpaceFraction = 0.02;
/** Least bounds of the spaces of the heap, and V8's own maximum, in megabytes. */
const minOldSpaceMegabytes = 64;
const minSemiSpaceMegabytes = 2;
const maxSemiSpaceMegabytes = 16;
/** Least bounds, so that a small machine still serves a request of the usual limits. */
const minBodyBytes = 5 * mebibyte;
const minPortConnections = 128;
/** A scraper and a balancer have a connection or two each. */
const guaranteedMonitors = 16;
/** Each connection of a scraper holds a response of tens of kilobytes. */
const maxScrapers = 32;

const limitsOf = (bodyBytes: number, connections: number, portConnections: number): ResourceLimits => ({
	bodyBytes,
	connections,
	ports: {
		callers: {guaranteed: Math.floor(connections / 2) - (2 * guaranteedMonitors), max: portConnections},
		partners: {guaranteed: Math.floor(connections / 4), max: portConnections},
		balancer: {guaranteed: guaranteedMonitors, max: portConnections},
		scrapers: {guaranteed: guaranteedMonitors, max: maxScrapers},
	},
});

/** Bounds where nothing is known of the machine: the connections of one with 178 MB, and memory for the largest configuration. */
export const defaultResourceLimits: ResourceLimits = limitsOf(17 * mebibyte, 660, 330);

/**
 * The bounds for a machine.
 *
 * @example
 * resourceLimits({memoryBytes: 178 * 1024 * 1024, descriptors: 4100}).ports.callers; // {guaranteed: 307, max: 339}
 */
export const resourceLimits = ({memoryBytes, descriptors}: MachineResources): ResourceLimits => {
	const freeBytes = Math.max(0, memoryBytes - idleBytes);
	const portConnections = Math.max(minPortConnections, Math.floor(freeBytes * connectionFraction / connectionBytes));
	const connections = Math.min(2 * portConnections, Math.max(2 * minPortConnections, Math.floor((descriptors - otherDescriptors) * descriptorFraction)));
	return limitsOf(Math.max(minBodyBytes, Math.floor(freeBytes * bodyFraction)), connections, portConnections);
};

/**
 * The bounds of the heap for a machine. V8's own follow from the memory of the host, which a process may not use alone.
 *
 * @example
 * heapLimits(178 * 1024 * 1024); // {oldSpaceMegabytes: 64, semiSpaceMegabytes: 2}
 */
export const heapLimits = (memoryBytes: number): HeapLimits => {
	const freeMegabytes = Math.max(0, memoryBytes - idleBytes) / mebibyte;
	return {
		oldSpaceMegabytes: Math.max(minOldSpaceMegabytes, Math.floor(freeMegabytes * oldSpaceFraction)),
		semiSpaceMegabytes: Math.min(maxSemiSpaceMegabytes, Math.max(minSemiSpaceMegabytes, Math.floor(freeMegabytes * semiSpaceFraction))),
	};
};
