/** Reads Vitest's JSON report, passes over the tests listed in KNOWN-RED.txt, and prints the verdict. */
import {existsSync, readFileSync} from 'node:fs';
import process from 'node:process';

const [reportFile, knownRedFile] = process.argv.slice(2);

/** Longest message of a failure that is printed, in characters. */
const maxMessageLength = 4000;

/** Entries start with `test: <full name>`; the lines below each describe it. */
const readKnownRed = file => existsSync(file)
	? readFileSync(file, 'utf8').split('\n').filter(line => line.startsWith('test: ')).map(line => line.slice('test: '.length).trim())
	: [];

const report = JSON.parse(readFileSync(reportFile, 'utf8'));
const tests = report.testResults.flatMap(file => file.assertionResults);
const knownRed = new Set(readKnownRed(knownRedFile));
const failed = tests.filter(test => test.status === 'failed');
const expected = failed.filter(test => knownRed.has(test.fullName));
const unexpected = failed.filter(test => !knownRed.has(test.fullName));
const passed = tests.filter(test => test.status === 'passed');
// A file that can't be loaded has no results; one whose set-up fails has only skipped ones
const brokenFiles = report.testResults.filter(file => file.status === 'failed' && file.assertionResults.every(test => test.status !== 'failed'));

for (const test of expected) {
	console.log(`KNOWN RED: ${test.fullName}`);
}

for (const test of unexpected) {
	for (const message of test.failureMessages) {
		console.log(message.slice(0, maxMessageLength));
	}

	// The message of a test that ran into its timeout does not say so
	console.log(`after ${Math.round(test.duration ?? 0)} ms:`);
	console.log(`FAILED: ${test.fullName}`);
}

for (const file of brokenFiles) {
	console.log(file.message.slice(0, maxMessageLength));
	console.log(`FAILED TO LOAD OR SET UP: ${file.name}`);
}

const failures = unexpected.length + brokenFiles.length;
console.log(`${passed.length} passed, ${failures} failed${expected.length > 0 ? `, ${expected.length} skipped` : ''}`);
process.exitCode = failures > 0 || passed.length === 0 ? 1 : 0;
