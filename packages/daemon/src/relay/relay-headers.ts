/** Headers of calls that one entry instance relays to another. */
import {createHash, timingSafeEqual} from 'node:crypto';
import {headerValue} from '../gateway/raw-headers.js';

const names = {
	secret: 'x-relay-secret',
	/** Time that the caller still waits, in milliseconds. */
	remaining: 'x-relay-remaining-ms',
	/** Version of the sender's routing configuration. */
	version: 'x-relay-routing-version',
	/** `1` where another instance may take the call, which has not run. */
	declined: 'x-relay-declined',
} as const;

/** What a relayed call says beside what its caller sent. */
export type RelayHeaders = {
	readonly remainingMs: number;
	readonly routingVersion: number;
};

/** Headers that a relayed call's servers do not get. */
export const relayHeaderNames: ReadonlySet<string> = new Set(Object.values(names));

/** Name and value of the header by which an instance declines a relayed call. */
export const declinedHeader = [names.declined, '1'] as const;

const digest = (text: string): Uint8Array => createHash('sha256').update(text).digest();

/** Alternating names and values. */
export const relayHeaders = ({remainingMs, routingVersion}: RelayHeaders, secret: string): string[] => [
	names.secret, secret, names.remaining, String(Math.floor(remainingMs)), names.version, String(routingVersion),
];

/** Reads the headers of a relayed call; undefined where the secret is missing or wrong, or a figure can't be read. */
export const readRelayHeaders = (rawHeaders: readonly string[], secret: string): RelayHeaders | undefined => {
	const remainingMs = Number(headerValue(rawHeaders, names.remaining) ?? Number.NaN);
	const routingVersion = Number(headerValue(rawHeaders, names.version) ?? Number.NaN);
	const isTrusted = timingSafeEqual(digest(headerValue(rawHeaders, names.secret) ?? ''), digest(secret));
	return isTrusted && remainingMs > 0 && Number.isSafeInteger(routingVersion) ? {remainingMs, routingVersion} : undefined;
};

/** Whether a response declines a relayed call. */
export const isDeclined = (rawHeaders: readonly string[]): boolean => headerValue(rawHeaders, names.declined) === '1';
