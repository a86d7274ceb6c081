/** A burst of streams waits for the connections of small engines while one of the engines drains and ends. */
/* eslint camelcase: "off" -- the names of the platform */
import {setTimeout as sleep} from 'node:timers/promises';
import {bounds, Deployment} from '../stand-ins-2/deployment.mjs';
import {
	attempt, hasTrouble, limits, routeOf, runCase, serviceOf,
} from '../stand-ins-2/load.mjs';
import {Engine, PlatformList} from '../stand-ins-2/servers.mjs';

const streams = 16;
/** Time between two of them, and from the first one to the drain of an engine, in milliseconds. */
const arrivalMs = 60;
const drainAtMs = 1000;
/** Longest lag of the list, in milliseconds; the stand-in has none. */
const maxLagMs = 800;
/** Time for which the engine serves on beyond `drain_ms`, in milliseconds. */
const lingerMs = 3500;
const deadlineMs = 14_000;

await runCase(import.meta.url, {
	async start() {
		const engines = [1, 2, 3].map(() => Object.assign(new Engine('lm-drafting', 'decode'), {slots: 4, events: 50, eventMs: 100}));
		const list = new PlatformList(() => engines);
		const servers = [...engines, list];
		await Promise.all(servers.map(async server => server.listen()));
		const deployment = new Deployment(list.address);
		await deployment.start(3, 1);
		await deployment.change({
			version: 1,
			routes: [routeOf('terms', 'streaming', 'lm-drafting', {
				timeout_ms: deadlineMs, target_latency_ms: 900, priority: 1, sticky_sessions: true, target_gap_ms: 300,
			})],
			services: [serviceOf('lm-drafting', {
				max_connections: 6, engine: {
					slots: 4, kv_tokens: 57_728, kv_token_bytes: 35_136, link_mbps: 330_000, moves: true, backups: true, stride: 1, most: 12, handle_ttl_s: 0.5, role_switch_s: 6, pin_ms: 4000, hold_ms: 2000, models: [{name: 'm'}],
				},
			})],
			limits,
		});
		await deployment.waitUntilReady();
		await sleep(bounds.contact_ms);
		return {deployment, servers};
	},
	async play({deployment, servers}) {
		let leaving;
		let drainsSince;
		const drain = async () => {
			await sleep(drainAtMs);
			// One that streams
			leaving = servers.filter(({stage}) => stage === 'decode').toSorted((a, b) => b.runs.length - a.runs.length)[0];
			drainsSince = Date.now();
			if (!hasTrouble) {
				return;
			}

			leaving.state = 'draining';
			deployment.note(`${leaving.id} drains: the list shows it, and its answers say it`);
			await sleep(bounds.drain_ms + lingerMs);
			leaving.isListed = false;
			leaving.close();
			deployment.note(`${leaving.id} ends`);
		};

		const answers = await Promise.all([drain(), ...Array.from({length: streams}, async (_, index) => {
			await sleep(index * arrivalMs);
			const [entry] = deployment.entries;
			const answer = await attempt({
				entry, route: 'terms', body: 'rules', deadlineMs, headers: {model: 'm', 'token-usage': '2000,50', 'prompt-prefix': `a${index}:200,b${index}:1800`},
			});
			deployment.note(`${answer.id}: ${answer.status}, ${answer.isWhole ? 'whole' : `broken off (${answer.reason})`}, after ${answer.ms} ms`);
			return answer;
		})]);
		return {leaving, drainsSince, answers: answers.slice(1)};
	},
	judge({deployment, servers, result: {leaving, drainsSince, answers}}) {
		for (const {id, stage, runs = []} of servers.filter(server => server.runs !== undefined)) {
			deployment.note(`${id} (${stage}) began runs ${runs.map(run => `${run.id} ${run.at - drainsSince} ms`).join(', ') || 'never'} after the drain`);
		}

		const late = hasTrouble ? leaving.runs.filter(({at}) => at > drainsSince + maxLagMs + bounds.drain_ms) : [];
		const lost = answers.filter(({id, isWhole}) => !isWhole && late.some(run => run.id === id));
		deployment.note(`${late.length} of ${streams} streams reached ${leaving.id} later than ${bounds.drain_ms} ms after the list showed that it drains; ${lost.length} of them were lost as it ended`);
		return late.length > 0;
	},
});
