/** The backend server of the overhead measurement: the smallest answer that node:http gives, with the request's id if asked to return it. */
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import process from 'node:process';

const [returnsIds] = process.argv.slice(2);
const body = JSON.stringify({free: 12});
const head = {'content-type': 'application/json', 'content-length': String(body.length)};

const server = createServer((req, res) => {
	req.resume();
	req.once('end', () => {
		const id = req.headers['x-request-id'];
		res.writeHead(200, returnsIds === 'returns-ids' && typeof id === 'string' ? {...head, 'x-request-id': id} : head);
		res.end(body);
	});
});
server.listen(0, '127.0.0.1', () => {
	process.stdout.write(`listening 127.0.0.1:${(server.address() as AddressInfo).port}\n`);
});
process.once('SIGTERM', () => {
	process.exit(0);
});
