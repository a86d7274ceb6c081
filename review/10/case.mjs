/** A configuration raises `max_header_bytes`; its clients stay inside the new limit. */
/* eslint camelcase: "off" -- the names of the platform */
import {setTimeout as sleep} from 'node:timers/promises';
import {bounds, Deployment} from '../stand-ins-2/deployment.mjs';
import {
	attempt, hasTrouble, limits, routeOf, runCase, serviceOf,
} from '../stand-ins-2/load.mjs';
import {PlainServer, PlatformList} from '../stand-ins-2/servers.mjs';

const raisedBytes = 65_536;
/** Bytes of the longest header of a request: inside the first limit, and inside the raised one only. */
const shortBytes = 8000;
const longBytes = 24_000;
const requests = 120;
const pauseMs = 40;

await runCase(import.meta.url, {
	async start() {
		const desks = [1, 2, 3].map(() => new PlainServer('hire-desk'));
		const list = new PlatformList(() => desks);
		const servers = [...desks, list];
		await Promise.all(servers.map(async server => server.listen()));
		const deployment = new Deployment(list.address);
		await deployment.start(3, 2);
		await deployment.change({
			version: 1, routes: [routeOf('book', 'unsafe', 'hire-desk')], services: [serviceOf('hire-desk')], limits,
		});
		await deployment.waitUntilReady();
		await sleep(bounds.contact_ms);
		return {deployment, servers};
	},
	async play({deployment}) {
		if (hasTrouble) {
			await deployment.change({
				version: 2, routes: [routeOf('book', 'unsafe', 'hire-desk')], services: [serviceOf('hire-desk')], limits: {...limits, max_header_bytes: raisedBytes},
			});
			deployment.note(`version 2 is acknowledged: max_header_bytes ${raisedBytes}`);
		}

		// Only the raised limit may be in force from then on
		await sleep(bounds.config_apply_ms + 1000);
		const answers = [];
		for (let index = 0; index < requests; index++) {
			const entry = deployment.entries[index % deployment.entries.length];
			const isLong = hasTrouble && index % 2 === 0;
			const answer = await attempt({
				entry, route: 'book', body: 'one set', headers: {'x-note': 'n'.repeat(isLong ? longBytes : shortBytes)},
			});
			answers.push(answer);
			deployment.note(`${answer.entry} ${answer.id}, a header of ${isLong ? longBytes : shortBytes} bytes: ${answer.status} after ${answer.ms} ms`);
			await sleep(pauseMs); // eslint-disable-line no-await-in-loop
		}

		return answers;
	},
	judge({deployment, result: answers}) {
		const denied = answers.filter(({status}) => status >= 300 && status < 500 && ![408, 421, 429].includes(status));
		deployment.note(`${denied.length} of ${answers.length} requests inside the limits in force were denied: ${[...new Set(denied.map(({status}) => status))].join(', ') || 'none'}`);
		return denied.length > 5 + (answers.length / 500);
	},
});
