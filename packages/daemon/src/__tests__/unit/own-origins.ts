/** Origins of streams at an instance that shares them with no other. */
import type {OriginDirectory} from '../../streams/origin-directory.js';

export const ownOrigins: Pick<OriginDirectory, 'lookup' | 'record'> = {
	async lookup() {
		return undefined;
	},
	async record() {
		// No other instance asks
	},
};
