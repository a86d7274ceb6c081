/** Clients, as the users' pages describe them, and the frame of a case. */
/* eslint camelcase: "off" -- the names of the platform */
import {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import {Agent} from 'node:http';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {send} from './deployment.mjs';

/** Whether the case runs with its disruption. */
export const hasTrouble = process.env.TROUBLE !== '0';

/** The limits of the pages' example of a configuration. */
export const limits = {
	max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3000, idle_timeout_ms: 15_000,
};

const host = 'review.example';

/** A route as in the pages' example. */
export const routeOf = (name, kind, service, more = {}) => ({
	name, host, path_prefix: `/${name}/`, kind, timeout_ms: 1000, target_latency_ms: 193, priority: 2, service, max_attempts: kind === 'safe' ? 2 : 1, sticky_sessions: false, resumable: false, target_gap_ms: 0, ...more,
});

/** A plain service, such as Seri Kenanga's booking application. */
export const serviceOf = (name, more = {}) => ({
	name, health_path: '/health', max_connections: 110, protocol: 'h1', tls: false, ...more,
});

/** Sends one client attempt, with an id of its own. */
export const attempt = async ({entry, route, body, deadlineMs = 1000, waitMs = deadlineMs + 2000, headers = {}, agent = false, path = ''}) => {
	const id = randomUUID();
	const answer = await send({
		address: entry.callers, method: body === undefined ? 'GET' : 'POST', path: `/${route}/${path || id}`, body, agent, timeoutMs: waitMs, headers: {
			host, 'request-id': id, 'deadline-ms': String(deadlineMs), ...(body === undefined ? {} : {'content-length': Buffer.byteLength(body)}), ...headers,
		},
	});
	return {
		...answer, id, route, entry: entry.name, body,
	};
};

/** A client that sends one request after the other on kept connections until `isOver`. */
export const client = async ({isOver, pauseMs, onAnswer, ...request}) => {
	const agent = new Agent({keepAlive: true, maxSockets: 1});
	while (!isOver()) {
		onAnswer(await attempt({...request, agent})); // eslint-disable-line no-await-in-loop
		await sleep(pauseMs); // eslint-disable-line no-await-in-loop
	}

	agent.destroy();
};

/** Runs a case: exit code 1 where the rule was broken, 0 where it held, 2 where the case could not run. */
export const runCase = async (url, {start, play, judge}) => {
	const record = fileURLToPath(new URL('record.txt', url));
	let deployment;
	let isBroken;
	let servers = [];
	const stop = async () => {
		await deployment?.stop();
		for (const server of servers) {
			server.close();
		}
	};

	for (const name of ['SIGINT', 'SIGTERM']) {
		process.once(name, async () => {
			await stop();
			process.exit(2);
		});
	}

	try {
		({deployment, servers} = await start());
		deployment.note(`trouble: ${hasTrouble}`);
		const result = await play({deployment, servers});
		isBroken = await judge({deployment, servers, result});
		const ended = deployment.instances.filter(({exits}) => exits.length > 0);
		for (const {name, exits} of ended) {
			deployment.note(`${name} ended by itself: ${exits.join(', ')}`);
		}

		deployment.note(isBroken ? 'the rule is broken' : 'the rule held');
		deployment.record(record);
	} catch (error) {
		console.error(error);
		deployment?.note(`the case could not run: ${error.message}`);
		deployment?.record(record);
	} finally {
		await stop();
	}

	console.log(isBroken === undefined ? 'the case could not run' : (isBroken ? 'broken' : 'held'));
	process.exit(isBroken === undefined ? 2 : Number(isBroken)); // eslint-disable-line unicorn/no-process-exit
};
