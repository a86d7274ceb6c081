/** The `catalogue` commands. */
import {randomUUID} from 'node:crypto';
import {readFile} from 'node:fs/promises';
import {
	CATALOGUE_APPLY, CATALOGUE_GET, CATALOGUE_HISTORY, diffCatalogues, emptyCatalogue, formatFault, parseCatalogue, toId,
} from '@baobabpier/core';
import type {CatalogueFault, OrderId, Revision} from '@baobabpier/core';
import {exitCodes} from './exit-codes.js';
import type {ExitCode} from './exit-codes.js';
import {callInstance} from './operator-client.js';
import type {OperatorTarget} from './operator-client.js';
import type {Output} from './output.js';
import {waitForRevision} from './wait-for-revision.js';

const faultLines = (file: string, faults: readonly CatalogueFault[]): string[] => faults.map(fault => formatFault(file, fault));

/** The file's text; undefined, with the reason printed, when it can't be read. */
const readCatalogueFile = async (file: string, output: Output): Promise<string | undefined> => {
	try {
		return await readFile(file, 'utf8');
	} catch (error) {
		const problem = `can't be read: ${(error as {code?: string}).code ?? (error as Error).message}`;
		output.print({valid: false, faults: [{field: '', problem}]}, [`${file}: ${problem}`]);
		return undefined;
	}
};

/** Prints the catalogue in force. */
export const getCatalogue = async (target: OperatorTarget, output: Output): Promise<ExitCode> => {
	const document = await callInstance(target, CATALOGUE_GET, {});
	output.print(document, [`# revision ${document.revision}`, document.text.trimEnd()]);
	return exitCodes.done;
};

/** Checks a catalogue file without an instance. */
export const checkCatalogue = async (file: string, output: Output): Promise<ExitCode> => {
	const text = await readCatalogueFile(file, output);
	if (text === undefined) {
		return exitCodes.invalid;
	}

	const result = parseCatalogue(text, toId<Revision>(0));
	if (result.err) {
		output.print({valid: false, faults: result.val}, faultLines(file, result.val));
		return exitCodes.invalid;
	}

	output.print({valid: true, services: result.val.services.size}, [`${file} is valid: ${result.val.services.size} services.`]);
	return exitCodes.done;
};

/** Compares a catalogue file with the catalogue in force. */
export const diffCatalogue = async (target: OperatorTarget, file: string, output: Output): Promise<ExitCode> => {
	const text = await readCatalogueFile(file, output);
	if (text === undefined) {
		return exitCodes.invalid;
	}

	const inForce = await callInstance(target, CATALOGUE_GET, {});
	const edited = parseCatalogue(text, inForce.revision);
	if (edited.err) {
		output.print({valid: false, faults: edited.val}, faultLines(file, edited.val));
		return exitCodes.invalid;
	}

	const before = inForce.text === '' ? emptyCatalogue : parseCatalogue(inForce.text, inForce.revision).unwrap();
	const differences = diffCatalogues(before, edited.val);
	output.print({revision: inForce.revision, differences}, [
		`# ${differences.length} fields differ from revision ${inForce.revision}`,
		...differences.map(({field, before: old = '(none)', after: fresh = '(none)'}) => `${field}: ${old} -> ${fresh}`),
	]);
	return differences.length === 0 ? exitCodes.done : exitCodes.differs;
};

/** Prints the accepted changes, or the text of one revision. */
export const showHistory = async (target: OperatorTarget, revision: number | undefined, output: Output): Promise<ExitCode> => {
	const params = revision === undefined ? {} : {revision: toId<Revision>(revision)};
	const {changes} = await callInstance(target, CATALOGUE_HISTORY, params);
	if (revision !== undefined && changes.length === 0) {
		output.print({changes}, [`Revision ${revision} is not kept.`]);
		return exitCodes.invalid;
	}

	output.print({changes}, changes.flatMap(change => [
		`# revision ${change.revision} ${new Date(change.at).toISOString()} ${change.author} order ${change.orderId}`,
		...(change.text === undefined ? [] : [change.text.trimEnd()]),
	]));
	return exitCodes.done;
};

/** What `catalogue apply` takes. */
export type ApplyArguments = {
	readonly file: string;
	readonly expected: number | undefined;
	readonly orderId: string | undefined;
	readonly author: string;
	/** Wait until the change is in force on every instance. */
	readonly wait: boolean;
	/** Longest wait, in milliseconds. */
	readonly waitMs: number;
};

const readRevision = async (target: OperatorTarget): Promise<Revision> => {
	const {revision} = await callInstance(target, CATALOGUE_GET, {});
	return revision;
};

/** Proposes a catalogue file. */
export const applyCatalogue = async (target: OperatorTarget, args: ApplyArguments, output: Output): Promise<ExitCode> => {
	const text = await readCatalogueFile(args.file, output);
	if (text === undefined) {
		return exitCodes.invalid;
	}

	const expected = args.expected ?? await readRevision(target);
	const verdict = await callInstance(target, CATALOGUE_APPLY, {
		orderId: toId<OrderId>(args.orderId ?? randomUUID()),
		expected: toId<Revision>(expected),
		author: args.author,
		text,
	});
	switch (verdict.kind) {
		case 'accepted': {
			if (args.wait) {
				return waitForRevision(target, verdict.revision, args.waitMs, output);
			}

			output.print(verdict, [`Accepted as revision ${verdict.revision}.`]);
			return exitCodes.done;
		}

		case 'conflict': {
			output.print(verdict, [`Conflict: ${verdict.winner.author} made revision ${verdict.winner.revision} by order ${verdict.winner.orderId}.`]);
			return exitCodes.conflict;
		}

		case 'invalid': {
			output.print(verdict, faultLines(args.file, verdict.faults));
			return exitCodes.invalid;
		}
	}
};
