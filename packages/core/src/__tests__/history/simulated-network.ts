/** A simulated network that delays, drops, duplicates and reorders messages and fails calls. */
/** A `wire` message may be dropped or duplicated, an `answer` dropped; a `local` message stays within a process and is only delayed. */
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
	/** Messages that are delivered much later than messages sent after them. */
	readonly #delayed: Message[] = [];
	#calls: Array<Call<never>> = [];

	send(deliver: () => void, kind: MessageKind = 'wire'): void {
		this.messages.push({deliver, kind});
	}

	/** Sends a call; `handler` runs on arrival, and its answer is returned unless it is lost. */
	call<Answer>(timeoutMs: number, handler: (reply: (answer: Answer) => void) => void, done: (answer: Answer | 'lost') => void): Call<Answer> {
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
			handler(answer => {
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

	/** Ends all delays. */
	endDelays(): void {
		this.messages.push(...this.#delayed.splice(0));
	}

	/** Breaks the connection of a call; messages already sent may still arrive. */
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
