/** One server in trouble sends, now and then, an answer whose body is bytes without end: its status line, again and again. */
/* eslint camelcase: "off" -- the names of the platform */
import {Buffer} from 'node:buffer';
import {setTimeout as sleep} from 'node:timers/promises';
import {Deployment, send} from '../stand-ins-2/deployment.mjs';
import {
	attempt, hasTrouble, limits, routeOf, runCase, serviceOf,
} from '../stand-ins-2/load.mjs';
import {PlainServer, PlatformList} from '../stand-ins-2/servers.mjs';

const playMs = 15_000;
const timeoutMs = 1000;
/** Time between two requests at an instance, in milliseconds. */
const arrivalMs = 40;
/** An answer counts as late from this long after the route's timeout, in milliseconds. */
const graceMs = 500;
/** Of so many answers of the server in trouble, some that follow each other are spoiled: 2.5 in 100. */
const interval = 120;
const spoiledAtOnce = 3;
/** Answers of that server before the first that is spoiled, and one. */
const soundAnswers = 20;
const statusLine = 'HTTP/1.1 200 OK ';
const block = Buffer.from(statusLine.repeat(4096));

const spoiled = [];

/** Bytes that are no answer, until the caller closes. */
const writeWithoutEnd = (res, headers) => {
	res.writeHead(200, headers);
	const write = () => {
		while (!res.destroyed && res.write(block)) {
			// The connection takes more
		}
	};

	res.on('drain', write);
	write();
};

await runCase(import.meta.url, {
	async start() {
		const desks = [1, 2, 3].map(() => new PlainServer('hire-desk'));
		const list = new PlatformList(() => desks);
		const servers = [...desks, list];
		await Promise.all(servers.map(async server => server.listen()));
		const deployment = new Deployment(list.address);
		await deployment.start(3, 1);
		await deployment.change({
			version: 1, routes: [routeOf('book', 'unsafe', 'hire-desk', {timeout_ms: timeoutMs}), routeOf('stock', 'safe', 'hire-desk', {timeout_ms: timeoutMs})], services: [serviceOf('hire-desk')], limits,
		});
		await deployment.waitUntilReady();
		await sleep(3000);
		return {deployment, servers};
	},
	async play({deployment, servers}) {
		const counts = new Map();
		let inTrouble;
		for (const server of servers.filter(({service}) => service === 'hire-desk')) {
			server.trouble = (req, res, headers) => {
				const count = (counts.get(server) ?? 0) + 1;
				counts.set(server, count);
				// The first one that is in use
				inTrouble ??= count >= soundAnswers ? server : undefined;
				if (!hasTrouble || server !== inTrouble || (count - soundAnswers) % interval >= spoiledAtOnce) {
					return false;
				}

				spoiled.push(req.headers['request-id']);
				deployment.note(`answer ${count} of ${server.id}, to ${req.headers['request-id']}, has no end`);
				writeWithoutEnd(res, headers);
				return true;
			};
		}

		const answers = [];
		const probes = [];
		const until = Date.now() + playMs;
		const isOver = () => Date.now() >= until;
		const onAnswer = answer => {
			answers.push(answer);
			deployment.note(`${answer.entry} ${answer.route} ${answer.id}: ${answer.status === 0 ? `no answer (${answer.reason})` : answer.status} after ${answer.ms} ms`);
		};

		const probe = async entry => {
			while (!isOver()) {
				const {status, ms} = await send({address: entry.readiness, path: '/-/ready', timeoutMs: 1000}); // eslint-disable-line no-await-in-loop
				probes.push(status);
				deployment.note(`${entry.name} readiness: ${status === 0 ? 'no response' : status} after ${ms} ms`);
				await sleep(Math.max(0, 1000 - ms)); // eslint-disable-line no-await-in-loop
			}
		};

		/** Callers come whether or not those before them have their answers. */
		const call = async entry => {
			const calls = [];
			while (!isOver()) {
				const route = calls.length % 2 === 0 ? 'book' : 'stock';
				calls.push((async () => {
					onAnswer(await attempt({
						entry, route, body: route === 'book' ? 'one set' : undefined, deadlineMs: timeoutMs, waitMs: 4000,
					}));
				})());
				await sleep(arrivalMs); // eslint-disable-line no-await-in-loop
			}

			await Promise.all(calls);
		};

		await Promise.all(deployment.entries.flatMap(entry => [probe(entry), call(entry)]));
		return {answers, probes};
	},
	judge({deployment, result: {answers, probes}}) {
		const unanswered = answers.filter(({ms}) => ms > timeoutMs);
		const late = unanswered.filter(({ms}) => ms > timeoutMs + graceMs);
		deployment.note(`${answers.length} requests, ${spoiled.length} answers without end; ${unanswered.length} requests unanswered at the route's timeout, ${late.length} of them ${graceMs} ms later; ${probes.filter(status => status !== 200).length} of ${probes.length} readiness checks without a 200`);
		return late.length > unanswered.length / 2;
	},
});
