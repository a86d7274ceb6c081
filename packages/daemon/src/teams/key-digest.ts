/** Digests of API keys, by which instances compare them. */
import {createHash} from 'node:crypto';
import {toId} from '@baobabpier/core';
import type {KeyDigest} from '@baobabpier/core';

/**
 * The digest of a key. Keys are random texts of their issuer, so that a fast digest without salt does not reveal them.
 *
 * @example
 * teams.identify(digestKey(headerValue), false);
 */
export const digestKey = (key: string): KeyDigest => toId<KeyDigest>(createHash('sha256').update(key).digest('base64url'));
