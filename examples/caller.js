/**
 * Calls a router as an application would: a streamed completion by the OpenAI client, and a booking under a key.
 *
 * Usage: node examples/caller.js <host:port> <model> <plain service>
 */
import {randomUUID} from 'node:crypto';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import OpenAI from 'openai';

const [address, model, service] = process.argv.slice(2);
const maxTries = 5;
const defaultWaitMs = 500;

/** The client repeats nothing by itself: the router's `run` field says when a resend is safe. */
const client = new OpenAI({baseURL: `http://${address}/v1`, apiKey: 'unused', maxRetries: 0});

const streamDraft = async () => {
	const stream = await client.chat.completions.create({model, messages: [{role: 'user', content: 'Draft the hire conditions for a courtyard.'}], stream: true});
	let text = '';
	for await (const chunk of stream) {
		text += chunk.choices[0]?.delta.content ?? '';
	}

	return text;
};

/** Resends under the same key until there is an answer; the router runs the booking once at most. */
const book = async (body, key = randomUUID(), tries = 1) => {
	const answer = await fetch(`http://${address}/services/${service}/bookings`, {
		method: 'POST', headers: {'content-type': 'application/json', 'idempotency-key': key}, body: JSON.stringify(body),
	});
	const value = await answer.json();
	if (answer.ok) {
		return value;
	}

	if (tries >= maxTries || value.error?.kind === 'outcomeUnknown') {
		throw new Error(`The booking's outcome is ${value.error?.run}: ${value.error?.message}`);
	}

	await sleep(value.error?.retryAfterMs ?? defaultWaitMs);
	return book(body, key, tries + 1);
};

const draft = await streamDraft();
console.log(`Draft: ${draft.trim().split(' ').length} tokens`);

const booking = await book({ref: `hire-${randomUUID()}`});
console.log(`Booked: ${booking.booked}`);

try {
	await client.completions.create({model: 'no-such-model', prompt: 'hello'});
} catch (error) {
	console.log(`Refused: ${error.code}, run: ${error.error.run}`);
}
