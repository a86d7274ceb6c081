/** Machines are added to the core; the first ones are frozen for 4 s, one after the other; later all processes are killed and come back. */
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {bounds, Deployment, Record} from '../stand-ins/deployment.mjs';
import {call, makeConfiguration, put} from '../stand-ins/operator.mjs';
import {PlainServer} from '../stand-ins/server.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
const record = new Record(fileURLToPath(new URL('.', import.meta.url)));
const deployment = new Deployment(record);
/** `node_freeze` of the site file: `on = "core"`, `count = 1`, `for_s = 4.0`. */
const freezeMs = 4000;
/** A machine that came back stops counting as lost after `catch_up_s`; the core is stable `contact_ms` after the last event. */
const settleMs = (bounds.catch_up_s * 1000) + bounds.contact_ms;
const clients = 4;

/** Sends requests for a time; returns how many there were and how many were served. */
const sendRequests = async (entry, name, ms) => {
	const until = performance.now() + ms;
	const statuses = [];
	await Promise.all(Array.from({length: clients}, async (_, client) => {
		for (let turn = 0; performance.now() < until; turn++) {
			const id = `${name}-${client}-${turn}`;
			// eslint-disable-next-line no-await-in-loop
			const {status} = await call(entry.frontend, {path: `/stock/${id}`, headers: {host: 'pier.example', 'request-id': id, 'deadline-ms': 1000}});
			statuses.push(status);
			// eslint-disable-next-line no-await-in-loop
			await sleep(200);
		}
	}));
	const sent = statuses.length;
	const served = statuses.filter(status => status === 200).length;
	const ready = await call(entry.ready, {path: '/-/ready'});
	record.add('requests', {
		phase: name, sent, served, statuses: [...new Set(statuses)].join(' '), ready: ready.status,
	});
	return {sent, served};
};

const run = async () => {
	await deployment.open();
	const first = Array.from({length: 3}, () => deployment.add('control'));
	const entry = deployment.add('entry');
	const server = new PlainServer(record, {
		id: 'i-1', service: 'hire-desk', address: `${deployment.subnet}.101:8080`, zone: entry.zone,
	});
	await server.open();
	deployment.instances = [server.entry];
	deployment.startAll();
	if (await put(record, first, 1, makeConfiguration(1), 20_000) === undefined) {
		return 2;
	}

	await sleep(2000);
	const added = Array.from({length: 3}, () => deployment.add('control'));
	for (const machine of added) {
		machine.start();
	}

	await sleep(settleMs);
	for (const machine of hasTrouble ? first : []) {
		machine.signal('SIGSTOP');
		// eslint-disable-next-line no-await-in-loop
		await sleep(freezeMs);
		machine.signal('SIGCONT');
		// eslint-disable-next-line no-await-in-loop
		await sleep(settleMs);
	}

	const before = await sendRequests(entry, 'before', 2000);
	if (await put(record, [...first, ...added], 2, makeConfiguration(2, {timeoutMs: 1100}), bounds.ack_ms) === undefined) {
		return 2;
	}

	// All processes are killed at once; the platform starts them again with the same settings
	for (const machine of deployment.machines) {
		machine.kill();
	}

	await sleep(1400 + (bounds.recovery_s * 1000));
	const after = await sendRequests(entry, 'after', 8000);
	server.close();
	const newest = await call(added[0].control, {timeoutMs: 3000});
	record.add('read', {from: added[0].name, status: newest.status, text: newest.text.slice(0, 40)});
	const isBroken = before.served * 4 >= before.sent && after.served * 4 < after.sent;
	record.add(isBroken ? 'rule broken' : 'rule held', {before: `${before.served} of ${before.sent}`, after: `${after.served} of ${after.sent}`});
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
