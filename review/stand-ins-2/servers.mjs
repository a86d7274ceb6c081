/** Plain servers and the platform's list, as the users' pages describe them. */
/* eslint camelcase: "off" -- the names of the platform */
import {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';

/** A plain server, such as the booking application. */
export class PlainServer {
	id = `i-${randomUUID().slice(0, 8)}`;
	state = 'ready';
	/** Time that the work of a request takes, in milliseconds. */
	workMs = 40;
	/** Requests that it has begun to run, by id. */
	runs = [];
	/** Answers a request in place of the usual answer where it returns true. */
	trouble = undefined;
	running = 0;
	#server = createServer({maxHeaderSize: 128 * 1024}, async (req, res) => this.#answer(req, res));

	constructor(service, {slots = 6, queue = 24} = {}) {
		Object.assign(this, {service, slots, queue});
	}

	async listen() {
		this.#server.keepAliveTimeout = 10_000;
		this.#server.listen(0, '127.0.0.1');
		await once(this.#server, 'listening');
		this.address = `127.0.0.1:${this.#server.address().port}`;
	}

	close() {
		this.#server.closeAllConnections();
		this.#server.close();
	}

	async #answer(req, res) {
		const id = String(req.headers['request-id'] ?? '');
		const chunks = [];
		try {
			for await (const chunk of req) {
				chunks.push(chunk);
			}
		} catch {
			return;
		}

		// A server that leaves says so in all its answers
		if (this.state === 'draining') {
			res.setHeader('server-leaving', '1');
		}

		const headers = {'request-id': id, 'server-load': `${Math.min(this.running, this.slots)},${Math.max(0, this.running - this.slots)},${this.slots}`};
		if (req.headers['target-instance'] !== undefined && req.headers['target-instance'] !== this.id) {
			res.writeHead(421, {...headers, 'not-executed': '1'}).end();
			return;
		}

		if (req.url === '/health') {
			res.writeHead(this.state === 'ready' ? 200 : 503, {...headers, 'instance-id': this.id}).end();
			return;
		}

		if (this.running >= this.slots + this.queue) {
			res.writeHead(503, {...headers, 'not-executed': '1'}).end();
			return;
		}

		this.running += 1;
		res.once('close', () => {
			this.running -= 1;
		});
		this.runs.push({id, at: Date.now()});
		const answer = {...headers, 'server-stamp': `stamp-${this.id}`};
		if (this.trouble?.(req, res, answer) === true) {
			return;
		}

		await sleep(this.workMs);
		res.writeHead(200, answer).end(`answer to ${id}`);
	}
}

/** The platform's list of servers. */
export class PlatformList {
	/** Whether it answers. */
	isUp = true;
	reads = 0;
	/** Entries of other writers, as bytes. */
	otherEntries = [];
	#server = createServer((_req, res) => {
		this.reads += 1;
		if (!this.isUp) {
			return;
		}

		const entries = this.servers().filter(({isListed = true}) => isListed).map(({id, service, address, state, slots, stage, models, zone = 'zone-a'}) => Buffer.from(JSON.stringify({
			id, service, address, zone, version: 'v1', slots, state, cold_remaining_ms: 0, stage, models,
		})));
		const separated = [...entries, ...this.otherEntries].flatMap((entry, index) => index === 0 ? [entry] : [Buffer.from(','), entry]);
		res.writeHead(200, {'content-type': 'application/json'}).end(Buffer.concat([Buffer.from('{"instances":['), ...separated, Buffer.from('],"next":null}')]));
	});

	constructor(servers) {
		this.servers = servers;
	}

	async listen() {
		this.#server.listen(0, '127.0.0.1');
		await once(this.#server, 'listening');
		this.address = `127.0.0.1:${this.#server.address().port}`;
	}

	close() {
		this.#server.closeAllConnections();
		this.#server.close();
	}
}

/** A model engine that reads prompts and streams events. */
export class Engine {
	id = `i-${randomUUID().slice(0, 8)}`;
	state = 'ready';
	models = [{name: 'm', version: 1, adapters: []}];
	/** Runs that it has begun, by request id, with the event from which each went on. */
	runs = [];
	/** Answers a run in place of the usual stream where it returns true. */
	trouble = undefined;
	events = 12;
	eventMs = 30;
	/** Time until the first event, in milliseconds. */
	firstMs = 80;
	running = 0;
	sequence = 0;
	slots = 64;
	#holds = new Set();
	#handles = new Map();
	#born = Date.now();
	#server = createServer({maxHeaderSize: 128 * 1024}, async (req, res) => this.#answer(req, res));

	constructor(service, stage = 'decode') {
		Object.assign(this, {service, stage});
	}

	async listen() {
		this.#server.keepAliveTimeout = 10_000;
		this.#server.listen(0, '127.0.0.1');
		await once(this.#server, 'listening');
		this.address = `127.0.0.1:${this.#server.address().port}`;
	}

	close() {
		this.#server.closeAllConnections();
		this.#server.close();
	}

	async #answer(req, res) {
		const chunks = [];
		try {
			for await (const chunk of req) {
				chunks.push(chunk);
			}
		} catch {
			return;
		}

		// An engine that leaves says so in all its answers
		if (this.state === 'draining') {
			res.setHeader('server-leaving', '1');
		}

		const id = String(req.headers['request-id'] ?? '');
		const reply = (status, value, headers = {}) => {
			res.writeHead(status, {...headers, 'content-type': 'application/json'}).end(value === undefined ? '' : JSON.stringify(value));
		};

		const {url, method} = req;
		if (url === '/-/hold-take') {
			const hold = randomUUID().slice(0, 8);
			this.#holds.add(hold);
			reply(200, {hold});
			return;
		}

		if (method === 'DELETE') {
			const key = url.split('/').at(-1);
			reply(this.#holds.delete(key) || this.#handles.delete(key) ? 200 : 404, {});
			return;
		}

		if (req.headers['target-instance'] !== undefined && req.headers['target-instance'] !== this.id) {
			reply(421, undefined, {'request-id': id, 'not-executed': '1', 'instance-id': this.id});
			return;
		}

		if (url === '/-/report') {
			reply(200, {
				stage: this.stage, models: this.models, busy: false, sequence: this.sequence, queued: 0, running: this.running, kv_used: 0, kv_total: 57_728, kv_handles: this.#handles.size, state: 'ready', runs: [], born: this.#born, pinned: 0, held: this.#holds.size,
			});
			return;
		}

		if (url === '/-/order') {
			const {stage, precondition} = JSON.parse(Buffer.concat(chunks).toString());
			const isCurrent = precondition === undefined || precondition === this.sequence;
			if (isCurrent && stage !== this.stage) {
				this.sequence += 1;
				this.stage = stage;
			}

			reply(isCurrent ? 202 : 409, {});
			return;
		}

		if (url.startsWith('/-/')) {
			reply(404, {});
			return;
		}

		if (req.headers.stage === 'prefill') {
			const handle = randomUUID().slice(0, 8);
			this.#handles.set(handle, id);
			await sleep(50);
			reply(200, {kv_handle: handle, tokens: 1000, version: 1}, {'request-id': id});
			return;
		}

		await this.#run(req, res, id);
	}

	async #run(req, res, id) {
		const headers = {
			'request-id': id, 'server-stamp': `stamp-${this.id}`, 'server-load': `${this.running},0,${this.slots}`, 'weight-versions': '1',
		};
		const last = Number(req.headers['last-event-id'] ?? 0);
		this.runs.push({id, from: last + 1, at: Date.now()});
		this.running += 1;
		res.once('close', () => {
			this.running -= 1;
		});
		if (this.trouble?.(req, res, headers) === true) {
			return;
		}

		await sleep(this.firstMs);
		res.writeHead(200, {...headers, 'content-type': 'text/event-stream'});
		for (let number = last + 1; number <= this.events && !res.destroyed; number++) {
			res.write(`id: ${number}\ndata: piece ${number}\n\n`);
			await sleep(this.eventMs); // eslint-disable-line no-await-in-loop
		}

		res.end();
	}
}
