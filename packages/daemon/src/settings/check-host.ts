/** Checks what settings refer to on this machine: the secret, the data folder, the ports. */
import {access, readFile} from 'node:fs/promises';
import {createServer} from 'node:net';
import {constants} from 'node:fs';
import {collectStrings, locateFaults, parseToml} from '@baobabpier/core';
import type {TomlProblem, TomlString} from '@baobabpier/core';
import {splitAddress} from '../listen.js';
import type {SettingsFault} from './parse-settings.js';

const reasonOf = (error: unknown): string => (error as {code?: string}).code ?? (error as Error).message;

const checkSecret = async ({path, value}: TomlString): Promise<TomlProblem[]> => {
	try {
		const secret = await readFile(value, 'utf8');
		return secret.trim() === '' ? [{path, value, problem: 'holds no secret'}] : [];
	} catch (error) {
		return [{path, value, problem: `can't be read: ${reasonOf(error)}`}];
	}
};

const checkFolder = async ({path, value}: TomlString): Promise<TomlProblem[]> => {
	try {
		// eslint-disable-next-line no-bitwise
		await access(value, constants.R_OK | constants.W_OK | constants.X_OK);
		return [];
	} catch (error) {
		return [{path, value, problem: `is not a writable folder: ${reasonOf(error)}`}];
	}
};

const checkPort = async ({path, value}: TomlString): Promise<TomlProblem[]> => new Promise(resolve => {
	const {host, port} = splitAddress(value);
	if (!Number.isInteger(port) || port > 65_535) {
		resolve([]);
		return;
	}

	const server = createServer();
	server.once('error', error => {
		resolve([{path, value, problem: `can't be listened on: ${reasonOf(error)}`}]);
	});
	server.listen(port, host, () => {
		server.close(() => {
			resolve([]);
		});
	});
});

/**
 * Lists what of a settings text can't be had on this machine; `ports` tells whether to try the ports too.
 *
 * @example
 * const faults = await checkHost(text, {ports: true});
 */
export const checkHost = async (text: string, {ports}: {readonly ports: boolean}): Promise<readonly SettingsFault[]> => {
	const table = parseToml(text);
	if (table.err) {
		return [];
	}

	const problems = await Promise.all([
		...collectStrings(table.val, ['secretFile']).map(async found => checkSecret(found)),
		...collectStrings(table.val, ['storage', 'folder']).map(async found => checkFolder(found)),
		...(ports ? collectStrings(table.val, ['listen', '*']) : []).map(async found => checkPort(found)),
	]);
	return locateFaults(text, problems.flat());
};
