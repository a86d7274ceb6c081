/** Carries messages between replicas: batches over JSON-RPC, with the answers in the response where they are quick. */
import {CONTROL_CONSENSUS, instanceOf} from '@baobabpier/core';
import type {ConsensusMessageBatch, ConsensusMessage, ReplicaId} from '@baobabpier/core';
import type {Peers} from '../rpc/peers.js';

const callMs = 1000;
const answerWaitMs = 25;
const maxBatch = 64;
const maxQueued = 256;

type Queue = {
	messages: ConsensusMessage[];
	isSending: boolean;
	/** Set while a request of this peer waits for answers. */
	answer: (() => void) | undefined;
};

/** Takes a message that arrived. */
export type MailListener = (mail: ConsensusMessageBatch) => void;

/** The queues of outgoing messages, one per replica; at the bound the oldest is dropped. */
export class ReplicaMail {
	readonly #queues = new Map<ReplicaId, Queue>();

	constructor(private readonly self: ReplicaId, private readonly peers: Peers, private readonly listener: MailListener) {}

	/** Sends a message, with those that follow in the same turn. */
	send(to: ReplicaId, cluster: string, message: ConsensusMessage): void {
		const queue = this.#queueOf(to);
		queue.messages.push(message);
		if (queue.messages.length > maxQueued) {
			queue.messages.shift();
		}

		if (queue.answer === undefined) {
			void this.#flush(to, cluster, queue);
		} else {
			queue.answer();
		}
	}

	/** Takes a request of a peer and returns the messages for it that come of it soon. */
	async exchange(mail: ConsensusMessageBatch): Promise<{messages: readonly ConsensusMessage[]}> {
		if (mail.to !== this.self) {
			return {messages: []};
		}

		const queue = this.#queueOf(mail.from);
		const answered = new Promise<void>(resolve => {
			const timer = setTimeout(resolve, answerWaitMs);
			queue.answer = () => {
				clearTimeout(timer);
				setImmediate(resolve);
			};
		});
		this.listener(mail);
		await answered;
		queue.answer = undefined;
		return {messages: queue.messages.splice(0, maxBatch)};
	}

	async #flush(to: ReplicaId, cluster: string, queue: Queue): Promise<void> {
		if (queue.isSending) {
			return;
		}

		queue.isSending = true;
		await new Promise(resolve => {
			setImmediate(resolve);
		});
		while (queue.messages.length > 0) {
			const messages = queue.messages.splice(0, maxBatch);
			try {
				// eslint-disable-next-line no-await-in-loop
				const answer = await this.peers.get(instanceOf(to)).call(CONTROL_CONSENSUS, {
					from: this.self, to, cluster, messages,
				}, callMs);
				this.listener({
					from: to, to: this.self, cluster, messages: answer.messages,
				});
			} catch {
				// Lost: the replicas send again what matters
			}
		}

		queue.isSending = false;
	}

	#queueOf(replica: ReplicaId): Queue {
		let queue = this.#queues.get(replica);
		if (queue === undefined) {
			queue = {messages: [], isSending: false, answer: undefined};
			this.#queues.set(replica, queue);
		}

		return queue;
	}
}
