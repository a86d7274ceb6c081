/** The control log of one instance: its own replica or a source that it follows, and access to the leader. */
import {setTimeout as sleep} from 'node:timers/promises';
import {
	CONTROL_BARRIER,
	CONTROL_BEGIN,
	CONTROL_CONSENSUS,
	CONTROL_FETCH,
	CONTROL_JOIN,
	CONTROL_POSITION,
	CONTROL_SUBMIT,
	ControlUnavailableError,
	instanceOf,
} from '@baobabpier/core';
import type {
	AppliedListener,
	CommandOf,
	ControlCommand,
	ControlCommandKind,
	ControlLog,
	ControlPosition,
	ControlCommandResults,
	ControlState,
	ControlStatus,
	InstanceId,
	LogIndex,
	ReplicaLeadership,
	RpcMethod,
	SubmitResponse,
} from '@baobabpier/core';
import {createLog} from '../log.js';
import {RpcCallError} from '../rpc/rpc-client.js';
import type {RpcContext, RpcServer} from '../rpc/rpc-server.js';
import type {InstanceEntry} from '../settings/parse-settings.js';
import {nodeFileSystem} from '../storage/file-system.js';
import {AppliedLog} from './applied-log.js';
import type {ControlLogParts} from './control-log-parts.js';
import {
	attemptTimeoutMs, catchUpTimeoutMs, retryDelayMs, submitTimeoutMs,
} from './control-timings.js';
import {LearnerTask} from './learner-task.js';
import {ReplicaHost} from './replica-host.js';
import type {ReplicaTask} from './replica-task.js';

const log = createLog('control');
const callGraceMs = 200;

/**
 * Submits commands through the leader. Commands may be resent: a repeated one gets the result of the first.
 *
 * @example
 * const control = new ReplicatedControlLog(parts);
 * await control.start(rpc);
 */
export class ReplicatedControlLog implements ControlLog {
	readonly #applied = new AppliedLog();
	readonly #learner: LearnerTask;
	readonly #listed: readonly InstanceId[];
	readonly #host: ReplicaHost | undefined;
	#isStarted = false;
	#isStopped = false;
	#leaderHint: InstanceId | undefined;

	constructor(private readonly parts: ControlLogParts) {
		const {self, instances, peers, folder} = parts;
		this.#listed = instances.filter(({replica}) => replica).map(({id}) => id);
		const distance = ({dataCentre, replica}: InstanceEntry): number => (dataCentre === self.dataCentre ? 0 : 1) + (replica ? 0 : 2);
		const sources = instances.filter(({id}) => id !== self.id).toSorted((a, b) => distance(a) - distance(b)).map(({id}) => id);
		const listedSources = sources.filter(id => this.#listed.includes(id));
		this.#learner = new LearnerTask(() => [...new Set([...listedSources, ...this.replicas])].filter(id => id !== self.id), peers, this.#applied);
		this.#host = self.replica && folder !== undefined ? this.#createHost(folder) : undefined;
	}

	/** The instances that are known to hold replicas. */
	get replicas(): readonly InstanceId[] {
		const {voters = [], learners = []} = this.#host?.membership ?? {};
		return [...new Set([...this.#listed, ...[...voters, ...learners].map(id => instanceOf(id)), ...this.parts.discovered?.() ?? []])];
	}

	get state(): ControlState {
		return this.#applied.state;
	}

	/** Position of this instance in the log. */
	get position(): ControlPosition {
		const {id, leader, hearsQuorum} = this.#task?.leadership ?? {};
		return {
			index: this.state.index,
			replica: id,
			isFresh: this.#task?.isFresh ?? false,
			hearsQuorum: hearsQuorum ?? this.#learner.position?.hearsQuorum ?? false,
			leader: leader === undefined ? this.#learner.position?.leader : instanceOf(leader),
		};
	}

	/** Who leads, as far as this instance's replica knows; undefined without one. */
	get leadership(): ReplicaLeadership | undefined {
		return this.#task?.leadership;
	}

	/** The log's status for the status report, which takes longer the more members the log has. */
	get status(): ControlStatus {
		const view = this.#task?.view;
		const {voters = [], learners = []} = view?.membership ?? {};
		const lagOf = (match: number | undefined): number | undefined => match === undefined ? undefined : view!.lastIndex - match;
		return {
			...this.position,
			term: view?.term,
			role: view?.role,
			members: [...voters, ...learners].map(replica => ({
				replica, voter: voters.includes(replica), lag: replica === view!.id ? 0 : lagOf(view!.matchIndexes.find(item => item.replica === replica)?.match),
			})),
			failure: this.#failure,
			failedForMs: this.#host?.failedForMs,
			reopenings: this.#host?.reopenings ?? 0,
		};
	}

	/** Starts the replica or the learner; resolves once the state is as new as the reachable instances allow. */
	async start(server: RpcServer): Promise<void> {
		this.#registerMethods(server);
		if (this.#failure !== undefined) {
			log('This instance goes on without its replica.', {error: this.#failure});
		}

		await this.#host?.start();
		await this.#catchUp();
		this.#isStarted = true;
		this.#chooseSource();
		this.#applied.open();
	}

	/** Transfers leadership and stops. */
	async stop(): Promise<void> {
		this.#isStopped = true;
		this.#learner.stop();
		await this.#host?.stop();
	}

	registerListener(listener: AppliedListener): () => void {
		return this.#applied.registerListener(listener);
	}

	async submit<Kind extends ControlCommandKind>(command: CommandOf<Kind>): Promise<ControlCommandResults[Kind]> {
		let isSubmitted = false;
		const result = await this.#tryLeaders(submitTimeoutMs, async leader => {
			const answer = await this.#submitAt(leader, command);
			isSubmitted ||= answer.kind === 'unknown';
			return answer.kind === 'applied' ? {result: answer.result as ControlCommandResults[Kind]} : undefined;
		}, error => {
			isSubmitted ||= error.sent;
		});
		if (result === undefined) {
			throw new ControlUnavailableError('no leader accepted the command in time', isSubmitted);
		}

		return result.result;
	}

	async barrier(): Promise<void> {
		const deadline = AbortSignal.timeout(submitTimeoutMs);
		try {
			const {index, leader} = await this.#readIndex(submitTimeoutMs);
			await this.#reach(index, leader, deadline);
		} catch {
			throw new ControlUnavailableError('no leader confirmed the read in time', false);
		}
	}

	get #task(): ReplicaTask | undefined {
		return this.#host?.task;
	}

	/** Why this instance has no running replica; undefined when it has one, or is to have none. */
	get #failure(): string | undefined {
		return this.parts.self.replica && this.parts.folder === undefined ? 'the settings name no storage folder' : this.#host?.failure;
	}

	#createHost(folder: string): ReplicaHost {
		const {
			self, fileSystem = nodeFileSystem, founders = this.#listed, peers, clock, random, voters,
		} = this.parts;
		return new ReplicaHost({
			self: self.id,
			folder,
			fileSystem,
			peers,
			applied: this.#applied,
			clock,
			random,
			voters,
			founders,
			replicas: () => this.replicas,
			instances: () => [...new Set([...this.parts.instances.map(({id}) => id), ...this.replicas])],
			onChange: () => {
				this.#chooseSource();
			},
		});
	}

	/** Follows another instance while no replica runs here: entries come from one source at a time. */
	#chooseSource(): void {
		if (this.#task !== undefined || this.#isStopped) {
			this.#learner.stop();
		} else if (this.#isStarted) {
			this.#learner.start();
		}
	}

	#registerMethods(server: RpcServer): void {
		server.registerMethod(CONTROL_SUBMIT, async ({command}) => this.#submitHere(command));
		server.registerMethod(CONTROL_FETCH, async ({after, waitMs}, context) => this.#answerFetch(after, waitMs, context));
		server.registerMethod(CONTROL_POSITION, () => this.position);
		server.registerMethod(CONTROL_CONSENSUS, async batch => await this.#task?.exchange(batch) ?? {messages: []});
		server.registerMethod(CONTROL_BEGIN, async ({snapshot, cluster}) => ({accepted: await this.#task?.begin(snapshot, cluster) ?? false}));
		server.registerMethod(CONTROL_BARRIER, async () => ({index: await this.#task?.readIndex(attemptTimeoutMs), leader: this.position.leader}));
		server.registerMethod(CONTROL_JOIN, ({replica}) => {
			this.#task?.step({kind: 'seen', replica});
			return {replicas: this.replicas};
		});
	}

	async #answerFetch(after: LogIndex, waitMs: number, {signal}: RpcContext): Promise<{update: ReturnType<AppliedLog['updateAfter']>; position: ControlPosition}> {
		try {
			await this.#applied.waitFor(after + 1, AbortSignal.any([signal, AbortSignal.timeout(waitMs)]));
		} catch {
			// No change within the long poll
		}

		return {update: this.#applied.updateAfter(after), position: this.position};
	}

	async #submitHere(command: ControlCommand): Promise<SubmitResponse> {
		const outcome = await this.#task?.propose(command, attemptTimeoutMs) ?? {kind: 'notSubmitted'};
		return outcome.kind === 'notSubmitted' ? {kind: 'notSubmitted', leader: this.position.leader} : outcome;
	}

	/** Calls a leader; aborts as soon as this instance's replica learns of another one. */
	async #callLeader<Params, Result>(leader: InstanceId, command: RpcMethod<Params, Result>, params: Params): Promise<Result> {
		const abort = new AbortController();
		const before = this.position.leader;
		const timer = setInterval(() => {
			const {leader: now} = this.position;
			if (now !== undefined && now !== before) {
				abort.abort();
			}
		}, retryDelayMs);
		try {
			return await this.parts.peers.get(leader).call(command, params, attemptTimeoutMs + callGraceMs, abort.signal);
		} finally {
			clearInterval(timer);
		}
	}

	async #submitAt(leader: InstanceId, command: ControlCommand): Promise<SubmitResponse> {
		if (leader === this.parts.self.id) {
			return this.#submitHere(command);
		}

		const answer = await this.#callLeader(leader, CONTROL_SUBMIT, {command});
		this.#leaderHint = answer.kind === 'notSubmitted' ? answer.leader : leader;
		return answer;
	}

	async #readIndex(ms: number): Promise<{readonly index: LogIndex; readonly leader: InstanceId}> {
		const found = await this.#tryLeaders(ms, async leader => {
			const {index} = await this.#readIndexAt(leader);
			return index === undefined ? undefined : {index, leader};
		});
		if (found === undefined) {
			throw new ControlUnavailableError('no leader confirmed the read in time', false);
		}

		return found;
	}

	async #readIndexAt(leader: InstanceId): Promise<{readonly index: LogIndex | undefined}> {
		if (leader === this.parts.self.id) {
			return {index: await this.#task?.readIndex(attemptTimeoutMs)};
		}

		const answer = await this.#callLeader(leader, CONTROL_BARRIER, {});
		this.#leaderHint = answer.index === undefined ? answer.leader : leader;
		return answer;
	}

	/** Tries the likely leader first, then each replica in turn, until one returns a value or the timeout passes. */
	async #tryLeaders<T>(ms: number, attempt: (leader: InstanceId) => Promise<T | undefined>, onError?: (error: RpcCallError) => void): Promise<T | undefined> {
		const deadline = performance.now() + ms;
		for (let turn = 0; performance.now() < deadline; turn++) {
			const leader = this.#likelyLeader(turn);
			if (leader === undefined) {
				return undefined;
			}

			try {
				// eslint-disable-next-line no-await-in-loop
				const value = await attempt(leader);
				if (value !== undefined) {
					return value;
				}
			} catch (error) {
				if (!(error instanceof RpcCallError)) {
					throw error;
				}

				this.#leaderHint = undefined;
				onError?.(error);
			}

			// eslint-disable-next-line no-await-in-loop
			await sleep(retryDelayMs);
		}

		return undefined;
	}

	#likelyLeader(turn: number): InstanceId | undefined {
		const isGuess = turn % 2 === 1;
		// A replica learns of a new leader from the leader itself, earlier than from the instances that it asked
		const known = this.#task?.view.leader === undefined ? this.#leaderHint ?? this.position.leader : this.position.leader;
		return !isGuess && known !== undefined ? known : this.replicas[Math.floor(turn / 2) % this.replicas.length];
	}

	/** Catches up with a majority, or else with the newest state of the instances that respond. */
	async #catchUp(): Promise<void> {
		const deadline = AbortSignal.timeout(catchUpTimeoutMs + submitTimeoutMs);
		try {
			const {index, leader} = await this.#readIndex(catchUpTimeoutMs);
			await this.#reach(index, leader, deadline);
		} catch {
			await this.#catchUpWithoutQuorum();
		}
	}

	async #catchUpWithoutQuorum(): Promise<void> {
		const {self, instances, peers} = this.parts;
		const others = instances.filter(({id}) => id !== self.id);
		const answers = await Promise.allSettled(others.map(async ({id}) => ({id, position: await peers.get(id).call(CONTROL_POSITION, {}, attemptTimeoutMs)})));
		const newest = answers.filter(answer => answer.status === 'fulfilled').map(({value}) => value).toSorted((a, b) => b.position.index - a.position.index);
		log('No quorum is heard; the newest state that answers is taken.', {answered: newest.length, newest: newest[0]?.position.index ?? 0, own: this.state.index});
		for (const {id, position} of newest) {
			if (position.index <= this.state.index) {
				return;
			}

			try {
				// eslint-disable-next-line no-await-in-loop
				await this.#fetchTo(id, position.index, AbortSignal.timeout(attemptTimeoutMs));
				return;
			} catch {
				// The instance with the next newest state is tried
			}
		}
	}

	/** Waits until the entry is applied: a replica receives it by itself, a learner fetches it. */
	async #reach(index: LogIndex, leader: InstanceId, signal: AbortSignal): Promise<void> {
		if (this.#task === undefined && this.state.index < index) {
			await this.#fetchTo(leader, index, signal);
		}

		await this.#applied.waitFor(index, signal);
	}

	async #fetchTo(source: InstanceId, index: LogIndex, signal: AbortSignal): Promise<void> {
		while (this.state.index < index) {
			signal.throwIfAborted();
			// eslint-disable-next-line no-await-in-loop
			await this.#learner.fetch(source, 0);
		}
	}
}
