/** Structured log lines on standard output: JSON, bounded in number, written without blocking. */
import {setTimeout as sleep} from 'node:timers/promises';
import {pino} from 'pino';
import {registerLogSink} from './log.js';
import type {LogFields, LogLevel} from './log.js';

/** Lines a second at most, on average: some lines for each call of a busy instance. */
const linesPerSecond = 300;
/** Lines saved up at most for a moment with many. */
const burstLines = 1200;
/** Part of these lines that only warnings may use: a busy moment is when they are needed. */
const warningLines = 200;
/** Bytes that wait for a slow reader of standard output; beyond them lines are dropped. */
const maxWaitingBytes = 1024 * 1024;
/** Lines are written together once they have this many bytes. */
const writeBytes = 4096;
/** Lines wait this long at most, in milliseconds. */
const flushMs = 500;
/** Maximum wait of the teardown until standard output has taken what is left, in milliseconds: its reader may be gone. */
const maxTeardownMs = 500;
const standardOutput = 1;

/**
 * Sends every log line to standard output as JSON; returns the teardown, which resolves once what is left is written, or can't be.
 * Lines over the bound are dropped and counted; the next line that fits says how many.
 *
 * @example
 * const stopLogs = startStructuredLog({instance: 'bagmati-a-1'});
 * await stopLogs();
 */
export const startStructuredLog = (base: Readonly<Record<string, string>>): (() => Promise<void>) => {
	const destination = pino.destination({
		dest: standardOutput, sync: false, minLength: writeBytes, maxLength: maxWaitingBytes,
	});
	let dropped = 0;
	destination.on('drop', () => {
		dropped += 1;
	});
	const logger = pino({base, timestamp: pino.stdTimeFunctions.isoTime, messageKey: 'event'}, destination);
	let balance = burstLines;
	let filledAt = performance.now();
	const teardown = registerLogSink((part: string, sentence: string, fields: LogFields, level: LogLevel) => {
		const now = performance.now();
		balance = Math.min(burstLines, balance + ((now - filledAt) * linesPerSecond / 1000));
		filledAt = now;
		if (balance < 1 + (level === 'warn' ? 0 : warningLines)) {
			dropped += 1;
			return;
		}

		balance -= 1;
		if (dropped > 0) {
			logger.warn({part: 'log', lines: dropped}, 'Log lines were left out.');
			dropped = 0;
		}

		logger[level]({part, ...fields}, sentence);
	});
	const timer = setInterval(() => {
		destination.flush();
	}, flushMs);
	timer.unref();
	return async () => {
		teardown();
		clearInterval(timer);
		const finished = new Promise<void>(resolve => {
			destination.once('finish', resolve);
		});
		destination.end();
		// A synchronous flush may never return where the reader is gone
		await Promise.race([finished, sleep(maxTeardownMs)]);
	};
};
