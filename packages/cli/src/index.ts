/** The operators' client as a library. */
export {exitCodes} from './exit-codes.js';
export type {ExitCode} from './exit-codes.js';
export {explainRequest} from './explain/explain-request.js';
export type {Explanation} from './explain/explain-request.js';
export {readLogLines} from './explain/log-line.js';
export type {LogLine, LogLines} from './explain/log-line.js';
export {summarizeStreams} from './explain/summarize-streams.js';
export type {CauseCount, LatenessLimits, StreamSummary} from './explain/summarize-streams.js';
export {callInstance} from './operator-client.js';
export type {OperatorTarget} from './operator-client.js';
