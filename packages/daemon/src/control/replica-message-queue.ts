/** Exchanges messages between replicas: batches over JSON-RPC, with replies in the response when they are ready in time. */
import {CONTROL_CONSENSUS, instanceOf} from '@baobabpier/core';
import type {ConsensusMessageBatch, ConsensusMessage, ReplicaId} from '@baobabpier/core';
import {createLog} from '../log.js';
import type {Peers} from '../rpc/peers.js';
import {RpcCallError} from '../rpc/rpc-client.js';

const log = createLog('replica');
const callTimeoutMs = 1000;
const replyWaitMs = 25;
const maxBatchMessages = 64;
const maxQueuedMessages = 256;

type Queue = {
	messages: ConsensusMessage[];
	isSending: boolean;
	/** Set while a request of this peer waits for replies. */
	notifyReply: (() => void) | undefined;
};

/** Called with each batch that arrives. */
export type MessageBatchListener = (batch: ConsensusMessageBatch) => void;

/** Queues outgoing messages per replica; a full queue drops its oldest message. */
export class ReplicaMessageQueue {
	readonly #queues = new Map<ReplicaId, Queue>();

	constructor(private readonly self: ReplicaId, private readonly peers: Peers, private readonly listener: MessageBatchListener) {}

	/** Sends a message, batched with those of the same event loop turn. */
	send(to: ReplicaId, cluster: string, message: ConsensusMessage): void {
		const queue = this.#queueOf(to);
		queue.messages.push(message);
		if (queue.messages.length > maxQueuedMessages) {
			queue.messages.shift();
		}

		if (queue.notifyReply === undefined) {
			void this.#flush(to, cluster, queue);
		} else {
			queue.notifyReply();
		}
	}

	/** Handles a peer's batch and returns the messages for the peer that result from it in time. */
	async exchange(batch: ConsensusMessageBatch): Promise<{messages: readonly ConsensusMessage[]}> {
		if (batch.to !== this.self) {
			return {messages: []};
		}

		const queue = this.#queueOf(batch.from);
		const replied = new Promise<void>(resolve => {
			const timer = setTimeout(resolve, replyWaitMs);
			queue.notifyReply = () => {
				clearTimeout(timer);
				setImmediate(resolve);
			};
		});
		try {
			this.listener(batch);
			await replied;
		} finally {
			queue.notifyReply = undefined;
		}

		return {messages: queue.messages.splice(0, maxBatchMessages)};
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
			const messages = queue.messages.splice(0, maxBatchMessages);
			try {
				// eslint-disable-next-line no-await-in-loop
				const response = await this.peers.get(instanceOf(to)).call(CONTROL_CONSENSUS, {
					from: this.self, to, cluster, messages,
				}, callTimeoutMs);
				this.listener({
					from: to, to: this.self, cluster, messages: response.messages,
				});
			} catch (error) {
				// The protocol of the replicas tolerates lost messages
				if (!(error instanceof RpcCallError)) {
					log('The replies of a replica could not be handled.', {to, error: (error as Error).message});
				}
			}
		}

		queue.isSending = false;
	}

	#queueOf(replica: ReplicaId): Queue {
		let queue = this.#queues.get(replica);
		if (queue === undefined) {
			queue = {messages: [], isSending: false, notifyReply: undefined};
			this.#queues.set(replica, queue);
		}

		return queue;
	}
}
