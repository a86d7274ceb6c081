/** Rendezvous (highest-random-weight) hashing. */

const fnvOffset = 0x81_1C_9D_C5;
const fnvPrime = 0x01_00_01_93;

/* eslint-disable no-bitwise */
/** Hashes a string to an unsigned 32-bit integer (FNV-1a with a finalizer). */
export const hashText = (text: string): number => {
	let hash = fnvOffset;
	for (let index = 0; index < text.length; index++) {
		hash = Math.imul(hash ^ text.codePointAt(index)!, fnvPrime);
	}

	hash = Math.imul(hash ^ (hash >>> 16), 0x85_EB_CA_6B);
	hash = Math.imul(hash ^ (hash >>> 13), 0xC2_B2_AE_35);
	return (hash ^ (hash >>> 16)) >>> 0;
};
/* eslint-enable no-bitwise */

/**
 * Picks the member with the highest weight for `key`; returns undefined if there are no members.
 *
 * @see Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998.
 * @example
 * pickRendezvous('lm-drafting', ['e1', 'e2']); // The same member on every instance
 */
export const pickRendezvous = <Member extends string>(key: string, members: readonly Member[]): Member | undefined => {
	let best: Member | undefined;
	let bestWeight = -1;
	for (const member of members) {
		const weight = hashText(`${key}\u0000${member}`);
		if (weight > bestWeight || (weight === bestWeight && best !== undefined && member < best)) {
			best = member;
			bestWeight = weight;
		}
	}

	return best;
};

/**
 * Returns the `count` members with the highest weights for `key`. A member that joins or leaves changes one of them at most.
 *
 * @example
 * rankRendezvous('r-1', ['c1', 'c2', 'c3', 'c4'], 3); // The same members on every instance
 */
export const rankRendezvous = <Member extends string>(key: string, members: readonly Member[], count: number): readonly Member[] => members
	.map(member => ({member, weight: hashText(`${key}\u0000${member}`)}))
	.toSorted((a, b) => b.weight - a.weight || (a.member < b.member ? -1 : 1))
	.slice(0, count)
	.map(({member}) => member);
