/** A voter is frozen for 4 s while the successor of another machine is up already; later two machines are replaced one after the other. */
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {bounds, Deployment, Record} from '../stand-ins/deployment.mjs';
import {call, makeConfiguration, put} from '../stand-ins/operator.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
const record = new Record(fileURLToPath(new URL('.', import.meta.url)));
const deployment = new Deployment(record);
/** A freeze of the site file: `node_freeze`, `count = 1`, `for_s = 4.0`. */
const freezeMs = 4000;
/** `replace_core` of the site file: the successor comes `x = 2.0` s after the loss. */
const successorMs = 2000;
/** A machine that came back, or a successor, stops counting as lost after `catch_up_s`; the rest lets the core be stable for `contact_ms`. */
const settleMs = (bounds.catch_up_s * 1000) + bounds.contact_ms + 1000;

const run = async () => {
	await deployment.open();
	const [first, second, third] = Array.from({length: 3}, () => deployment.add('control'));
	deployment.startAll();
	if (await put(record, [first, second, third], 1, makeConfiguration(1), 20_000) === undefined) {
		return 2;
	}

	await sleep(2000);
	// Planned replacement of the third machine: its successor first
	const fourth = deployment.add('control');
	fourth.start();
	await sleep(2000);
	if (hasTrouble) {
		first.signal('SIGSTOP');
	}

	await sleep(freezeMs);
	if (hasTrouble) {
		first.signal('SIGCONT');
	}

	await sleep(settleMs);
	third.signal('SIGTERM', {isLast: true});
	await sleep(settleMs);
	if (await put(record, [first, second, fourth], 2, makeConfiguration(2, {timeoutMs: 1100}), bounds.ack_ms) === undefined) {
		return 2;
	}

	// The second machine is lost for good; its successor comes with an empty disk
	second.signal('SIGKILL', {isLast: true});
	await sleep(successorMs);
	const fifth = deployment.add('control');
	fifth.start();
	await sleep(settleMs);
	const core = [first, fourth, fifth];
	record.add('core', {running: core.filter(({isRunning}) => isRunning).map(({name}) => name).join(' ')});
	const took = await put(record, core, 3, makeConfiguration(3, {timeoutMs: 1200}), bounds.ack_ms + 15);
	// The operator reads back repeatedly for `contact_ms` and more
	let newest;
	for (const until = performance.now() + (2 * bounds.contact_ms); performance.now() < until;) {
		for (const machine of core) {
			// eslint-disable-next-line no-await-in-loop
			const {status, text} = await call(machine.control);
			record.add('read', {from: machine.name, status, text: status === 200 ? `version ${JSON.parse(text).version}` : text.slice(0, 120)});
			newest = status === 200 ? JSON.parse(text).version : newest;
		}

		// eslint-disable-next-line no-await-in-loop
		await sleep(300);
	}

	const isBroken = took === undefined || newest === undefined || newest < 2;
	record.add(isBroken ? 'rule broken' : 'rule held', {acknowledgedAfterMs: took, readBack: newest});
	return isBroken ? 1 : 0;
};

process.exitCode = 2;
try {
	process.exitCode = await run();
} catch (error) {
	record.add('could not run', {error: error.stack});
} finally {
	await deployment.close();
}
