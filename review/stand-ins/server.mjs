/** A server of a plain service, as PROTOCOL.md says: `slots` requests at once, a few waiting, its id and signature in each response. */
/* eslint-disable camelcase -- the platform's names */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';

const queueLength = 24;

/** Runs on one address; `runs` lists each request that began to run. */
export class PlainServer {
	runs = [];
	/** Answers that were spoiled. */
	spoiled = 0;
	#spoiledEvery;
	#answers = 0;
	#running = 0;
	#waiting = [];

	constructor(record, {
		id, service, address, zone, slots = 6, workMs = 43,
	}) {
		Object.assign(this, {
			record, id, service, address, zone, slots, workMs,
		});
	}

	/** Its entry in the platform's list. */
	get entry() {
		return {
			service: this.service, address: this.address, zone: this.zone, version: 'v1', slots: this.slots, state: 'ready', cold_remaining_ms: 0, id: this.id,
		};
	}

	async open() {
		const [host, port] = this.address.split(':');
		this.server = createServer((req, res) => {
			const chunks = [];
			req.on('data', chunk => chunks.push(chunk));
			req.once('end', () => {
				this.#take(req, res, Buffer.concat(chunks));
			});
		});
		this.server.keepAliveTimeout = 10_000;
		await new Promise((resolve, reject) => {
			this.server.once('error', reject);
			this.server.listen(Number(port), host, resolve);
		});
	}

	/** Spoils one in `every` answers from now on, or none: half of the body, then a second answer to the request before. */
	spoil(every) {
		this.#spoiledEvery = every;
		this.#answers = 0;
	}

	close() {
		this.server?.closeAllConnections();
		this.server?.close();
	}

	#take(req, res, body) {
		const target = req.headers['target-instance'];
		if (target !== undefined && target !== this.id) {
			this.#reject(req, res, 421);
		} else if (req.url === '/-/report') {
			this.#reject(req, res, 404);
		} else if (this.#running < this.slots) {
			this.#run(req, res, body);
		} else if (this.#waiting.length < queueLength) {
			this.#waiting.push(() => this.#run(req, res, body));
		} else {
			this.#reject(req, res, 503);
		}
	}

	#reject(req, res, status) {
		res.writeHead(status, {'request-id': req.headers['request-id'] ?? '', 'not-executed': '1', 'content-length': 0});
		res.end();
	}

	#run(req, res, body) {
		if (res.destroyed) {
			this.#next();
			return;
		}

		this.#running += 1;
		const requestId = req.headers['request-id'] ?? '';
		this.runs.push({
			requestId, method: req.method, path: req.url, bytes: body.length, at: performance.now(),
		});
		setTimeout(() => {
			this.#running -= 1;
			this.#next();
			this.#answers += 1;
			if (this.#spoiledEvery !== undefined && this.#answers % this.#spoiledEvery === 0) {
				this.#sendSpoiled(res, requestId);
				return;
			}

			const text = this.#textFor(requestId);
			res.writeHead(200, {...this.#headersFor(requestId, text), 'content-length': text.length});
			res.end(text);
		}, this.workMs);
	}

	#textFor(requestId) {
		return JSON.stringify({server: this.id, requestId, text: 'x'.repeat(800)});
	}

	#headersFor(requestId, text) {
		return {
			'request-id': requestId, 'server-stamp': `${this.id}.${requestId}.${text.length}`, 'server-load': `${this.#running},${this.#waiting.length},${this.slots}`, 'content-type': 'application/json',
		};
	}

	/** A response that closes its connection, of which half is sent, followed by a second one to an earlier request. */
	#sendSpoiled(res, requestId) {
		this.spoiled += 1;
		const earlier = this.runs.findLast(run => run.requestId !== requestId)?.requestId ?? 'none';
		const parts = [requestId, earlier].map((id, index) => {
			const text = this.#textFor(id);
			const headers = {...this.#headersFor(id, text), 'content-length': text.length, ...(index === 0 ? {connection: 'close'} : {})};
			return `HTTP/1.1 200 OK\r\n${Object.entries(headers).map(([name, value]) => `${name}: ${value}`).join('\r\n')}\r\n\r\n${index === 0 ? text.slice(0, text.length / 2) : text}`;
		});
		this.record.add('spoiled answer', {server: this.id, requestId, next: earlier});
		res.socket.end(parts.join(''));
	}

	#next() {
		if (this.#running < this.slots) {
			this.#waiting.shift()?.();
		}
	}
}
