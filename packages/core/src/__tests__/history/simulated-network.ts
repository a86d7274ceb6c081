/** The network of the model world: messages that are late, lost, doubled and crossed, and calls that fail. */
/** A `wire` message may get lost or doubled, an `answer` lost; a `local` one is a process's own and only late. */
export type MessageKind = 'wire' | 'answer' | 'local';

export type Message = {
	readonly kind: MessageKind;
	readonly deliver: () => void;
};

export type Call<Answer> = {
	open: boolean;
	readonly deadline: number;
	readonly settle: (answer: Answer | 'lost') => void;
};

export class SimulatedNetwork {
	now = 0;
	readonly messages: Message[] = [];
	/** Messages that arrive much later than those sent after them. */
	readonly #delayed: Message[] = [];
	#calls: Array<Call<never>> = [];

	send(deliver: () => void, kind: MessageKind = 'wire'): void {
		this.messages.push({deliver, kind});
	}

	/** Sends a call; `work` runs when it arrives, and its answer comes back unless it gets lost. */
	call<Answer>(timeoutMs: number, work: (reply: (answer: Answer) => void) => void, done: (answer: Answer | 'lost') => void): Call<Answer> {
		const call: Call<Answer> = {
			open: true,
			deadline: this.now + timeoutMs,
			settle(answer) {
				if (call.open) {
					call.open = false;
					done(answer);
				}
			},
		};
		this.#calls.push(call);
		this.send(() => {
			work(answer => {
				this.send(() => {
					call.settle(answer);
				}, 'answer');
			});
		});
		return call;
	}

	deliver(index: number): void {
		const [message] = this.messages.splice(index % Math.max(1, this.messages.length), 1);
		message?.deliver();
	}

	drop(index: number): void {
		const at = index % Math.max(1, this.messages.length);
		if (this.messages[at]?.kind !== 'local') {
			this.messages.splice(at, 1);
		}
	}

	duplicate(index: number): void {
		const message = this.messages[index % Math.max(1, this.messages.length)];
		if (message?.kind === 'wire') {
			this.messages.push(message);
		}
	}

	delay(index: number): void {
		this.#delayed.push(...this.messages.splice(index % Math.max(1, this.messages.length), 1));
	}

	deliverDelayed(index: number): void {
		const [message] = this.#delayed.splice(index % Math.max(1, this.#delayed.length), 1);
		message?.deliver();
	}

	/** Nothing is late any more. */
	endDelays(): void {
		this.messages.push(...this.#delayed.splice(0));
	}

	/** Breaks a call's connection; what was sent may still arrive. */
	breakCall(index: number): void {
		this.#calls[index % Math.max(1, this.#calls.length)]?.settle('lost');
	}

	advance(ms: number): void {
		this.now += ms;
		for (const call of this.#calls) {
			if (call.deadline <= this.now) {
				call.settle('lost');
			}
		}

		this.#calls = this.#calls.filter(call => call.open);
	}
}
