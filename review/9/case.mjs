/** A server runs a part of its requests and then fails them with 503, without saying that it did not run them. */
import {setTimeout as sleep} from 'node:timers/promises';
import {Deployment} from '../stand-ins-2/deployment.mjs';
import {
	attempt, hasTrouble, limits, routeOf, runCase, serviceOf,
} from '../stand-ins-2/load.mjs';
import {PlainServer, PlatformList} from '../stand-ins-2/servers.mjs';

const playMs = 10_000;
/** One in so many requests of the failing server fails. */
const failureInterval = 4;
const promises = new Set([408, 421, 429, 503]);

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
		return {deployment, servers};
	},
	async play({deployment, servers: [failing]}) {
		let count = 0;
		failing.trouble = (req, res, headers) => {
			count += 1;
			if (!hasTrouble || count % failureInterval !== 0) {
				return false;
			}

			// It has run the request; an answer that names no `Not-Executed` does not say otherwise
			setTimeout(() => {
				deployment.note(`${failing.id} ran ${req.headers['request-id']} and fails it with 503`);
				res.writeHead(503, headers).end('the deposit was charged, the receipt could not be printed');
			}, failing.workMs);
			return true;
		};

		const bookings = [];
		const until = Date.now() + playMs;
		/** A client as the pages describe it: it retries an unsafe request only after a promise, once, at any instance. */
		const book = async name => {
			for (let number = 1; Date.now() < until; number++) {
				const booking = `${name}-${number}`;
				const attempts = [];
				do {
					const entry = deployment.entries[(number + attempts.length) % deployment.entries.length];
					const answer = await attempt({entry, route: 'book', body: booking}); // eslint-disable-line no-await-in-loop
					attempts.push(answer);
					deployment.note(`booking ${booking}: ${answer.entry} ${answer.id}: ${answer.status} after ${answer.ms} ms`);
				} while (promises.has(attempts.at(-1).status) && attempts.length < 2);

				bookings.push({booking, attempts});
				await sleep(80); // eslint-disable-line no-await-in-loop
			}
		};

		await Promise.all(['a', 'b', 'c', 'd'].map(async name => book(name)));
		return bookings;
	},
	judge({deployment, servers, result: bookings}) {
		const ran = new Set(servers.flatMap(({runs = []}) => runs.map(({id}) => id)));
		const refusedAndRan = bookings.flatMap(({attempts}) => attempts).filter(({status, id}) => promises.has(status) && ran.has(id));
		const runTwice = bookings.filter(({attempts}) => attempts.filter(({id}) => ran.has(id)).length > 1);
		deployment.note(`${bookings.length} bookings; ${refusedAndRan.length} attempts were answered with a promise that they had not run, and had run; ${runTwice.length} bookings ran twice`);
		return refusedAndRan.length > 0;
	},
});
