import {expect, test} from 'vitest';
import {createTimedConnect} from '../../timed-connect.js';

test.each(['99999', '65536', 'x'])('a connection to port %s fails later, and throws nothing', async port => {
	const failure = await new Promise<unknown>(resolve => {
		let isSynchronous = true;
		createTimedConnect(250)({
			hostname: '127.0.0.1', port, protocol: 'http:', host: '127.0.0.1',
		}, (...[error]) => {
			expect(isSynchronous).toBe(false);
			resolve(error);
		});
		isSynchronous = false;
	});
	expect(failure).toBeInstanceOf(Error);
});
