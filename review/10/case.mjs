/** The platform's list has an entry of another writer that can't be read, while all processes are killed and start again. */
import {Buffer} from 'node:buffer';
import {setTimeout as sleep} from 'node:timers/promises';
import {bounds, Deployment} from '../stand-ins-2/deployment.mjs';
import {
	attempt, hasTrouble, limits, routeOf, runCase, serviceOf,
} from '../stand-ins-2/load.mjs';
import {PlainServer, PlatformList} from '../stand-ins-2/servers.mjs';

const arrivalMs = 60;
/** Time for which requests are counted, before the kill and after the recovery, in milliseconds. */
const countedMs = 6000;
/** Time between the entry and the kill, and for which the processes are down, in milliseconds. */
const entryMs = 2000;
const downMs = 1000;
const minShare = 1 / 4;

/** An object whose id is bytes that are no text. */
const unreadable = Buffer.concat([Buffer.from('{"id":"'), Buffer.from([0x00, 0x01, 0x9F, 0xFE, 0x17]), Buffer.from('","service":"other","state":"ready"}')]);

const share = answers => answers.filter(({status}) => status === 200).length / answers.length;

await runCase(import.meta.url, {
	async start() {
		const desks = [1, 2, 3].map(() => new PlainServer('hire-desk'));
		const list = new PlatformList(() => desks);
		const servers = [...desks, list];
		await Promise.all(servers.map(async server => server.listen()));
		const deployment = new Deployment(list.address);
		await deployment.start(3, 2);
		await deployment.change({
			version: 1, routes: [routeOf('book', 'unsafe', 'hire-desk'), routeOf('stock', 'safe', 'hire-desk')], services: [serviceOf('hire-desk')], limits,
		});
		await deployment.waitUntilReady();
		await sleep(bounds.contact_ms);
		return {deployment, servers};
	},
	async play({deployment, servers}) {
		const list = servers.at(-1);
		/** Sends requests at a steady rate, whether or not those before have their answers. */
		const load = async phase => {
			const answers = [];
			const until = Date.now() + countedMs;
			await Promise.all(deployment.entries.map(async entry => {
				const calls = [];
				while (Date.now() < until) {
					const route = calls.length % 2 === 0 ? 'book' : 'stock';
					calls.push((async () => {
						const answer = await attempt({entry, route, body: route === 'book' ? 'one set' : undefined});
						answers.push(answer);
						deployment.note(`${phase}: ${answer.entry} ${route} ${answer.id}: ${answer.status} after ${answer.ms} ms`);
					})());
					await sleep(arrivalMs); // eslint-disable-line no-await-in-loop
				}

				await Promise.all(calls);
			}));
			return answers;
		};

		const before = await load('before');
		if (hasTrouble) {
			list.otherEntries = [unreadable];
			deployment.note('the list has an entry that can\'t be read, beside those of three sound servers');
		}

		await sleep(entryMs);
		await Promise.all(deployment.instances.map(async instance => instance.end()));
		deployment.note('all processes are killed');
		await sleep(downMs);
		for (const instance of deployment.instances) {
			instance.start();
		}

		deployment.note('all processes are started again');
		const {reads} = list;
		await sleep(bounds.recovery_s * 1000);
		const after = await load('after');
		const ready = await Promise.all(deployment.entries.map(async entry => entry.isReady()));
		deployment.note(`the list answered ${list.reads - reads} reads since; instances ready: ${ready.join(', ')}`);
		return {before, after};
	},
	judge({deployment, result: {before, after}}) {
		deployment.note(`served before the kill: ${before.filter(({status}) => status === 200).length} of ${before.length}; later than ${bounds.recovery_s} s after the machines are back: ${after.filter(({status}) => status === 200).length} of ${after.length}`);
		return share(before) >= minShare && share(after) < minShare;
	},
});
