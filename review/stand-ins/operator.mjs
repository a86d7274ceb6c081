/** The operator: sends configurations to any control machine as PROTOCOL.md says, and reads them back. */
/* eslint-disable camelcase -- the platform's names */
import {Buffer} from 'node:buffer';
import {request} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';

/** Statuses after which the operator does not ask again. */
const finalStatuses = new Set([400, 409, 412, 413, 422]);
const firstBackoffMs = 100;
const maxBackoffMs = 1000;

/** One call on a connection of its own; a status of 0 stands for no response in time. */
export const call = async (address, {method = 'GET', path = '/-/config', body, headers = {}, timeoutMs = 1000} = {}) => new Promise(resolve => {
	const [host, port] = address.split(':');
	const req = request({
		host, port, method, path, agent: false, headers: {...headers, ...(body === undefined ? {} : {'content-type': 'application/json', 'content-length': Buffer.byteLength(body)})},
	}, res => {
		const chunks = [];
		res.on('data', chunk => chunks.push(chunk));
		res.once('end', () => {
			clearTimeout(timer);
			resolve({status: res.statusCode, headers: res.headers, text: Buffer.concat(chunks).toString()});
		});
		res.once('error', () => {
			clearTimeout(timer);
			resolve({status: 0, text: 'broken off'});
		});
	});
	const timer = setTimeout(() => {
		req.destroy();
		resolve({status: 0, text: 'no response'});
	}, timeoutMs);
	req.once('error', error => {
		clearTimeout(timer);
		resolve({status: 0, text: error.message});
	});
	req.end(body);
});

/** A configuration; `routes` further routes belong to the plain service. */
export const makeConfiguration = (version, {routes = 0, timeoutMs = 1000, services = ['hire-desk']} = {}) => JSON.stringify({
	version,
	routes: [
		{
			name: 'r-book', host: 'pier.example', path_prefix: '/book/', kind: 'unsafe', timeout_ms: timeoutMs, target_latency_ms: 193, priority: 2, service: services[0], max_attempts: 1, sticky_sessions: false, resumable: false,
		},
		{
			name: 'r-stock', host: 'pier.example', path_prefix: '/stock/', kind: 'safe', timeout_ms: timeoutMs, target_latency_ms: 193, priority: 2, service: services[0], max_attempts: 2, sticky_sessions: false, resumable: false,
		},
		...Array.from({length: routes}, (_, index) => ({
			name: `r-more-${index}`, host: `more-${index}.example`, path_prefix: `/more-${index}/`, kind: 'safe', timeout_ms: timeoutMs, target_latency_ms: 193, priority: 2, service: services[0], max_attempts: 2, sticky_sessions: false, resumable: false,
		})),
	],
	services: services.map(name => ({
		name, health_path: '/health', max_connections: 110, protocol: 'h1', tls: false,
	})),
	limits: {
		max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3000, idle_timeout_ms: 15_000,
	},
});

/** Sends a configuration until it is acknowledged or `untilMs` is over; returns the milliseconds that it took, or undefined. */
export const put = async (record, machines, version, body, untilMs, timeoutMs = 1000) => {
	const startedAt = performance.now();
	let backoffMs = firstBackoffMs;
	const answers = [];
	for (let turn = Math.floor(Math.random() * machines.length); performance.now() - startedAt < untilMs; turn++) {
		const machine = machines[turn % machines.length];
		// eslint-disable-next-line no-await-in-loop
		const {status, text} = await call(machine.control, {method: 'PUT', body, timeoutMs});
		answers.push(`${machine.name} ${status}`);
		if (status === 200) {
			const ms = Math.round(performance.now() - startedAt);
			record.add('configuration acknowledged', {
				version, by: machine.name, took: ms, bytes: body.length,
			});
			return ms;
		}

		if (finalStatuses.has(status)) {
			record.add('configuration refused', {
				version, by: machine.name, status, text: text.slice(0, 200),
			});
			return undefined;
		}

		// eslint-disable-next-line no-await-in-loop
		await sleep(backoffMs);
		backoffMs = Math.min(backoffMs * 2, maxBackoffMs);
	}

	record.add('configuration not acknowledged', {version, withinMs: Math.round(performance.now() - startedAt), answers: answers.join(', ')});
	return undefined;
};
