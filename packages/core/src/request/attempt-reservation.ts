/** The place and the engine memory of one attempt, until both are given back. */
import {invariant} from '../invariant.js';
import type {AttemptNumber} from '../ids.js';
import type {Placement} from '../placement/types.js';
import {findReservationTransition} from './request-transitions.js';
import type {ReservationEvent, ReservationState} from './request-transitions.js';
import type {RequestEffect} from './request-events.js';

/**
 * Follows the memory of one attempt. The place goes back only after the memory is surely free.
 *
 * @example
 * const memory = new AttemptMemory(attempt);
 * memory.placed(placement); // [{kind: 'reserve', ...}]
 * memory.step('drop'); // [{kind: 'cancel', ...}]
 */
export class AttemptReservation {
	#state: ReservationState = 'unplaced';
	#placement: Placement | undefined;
	#cancelRound = 0;

	constructor(readonly attempt: AttemptNumber) {}

	/** Where the memory is. */
	get state(): ReservationState {
		return this.#state;
	}

	/** The place, once there is one. */
	get placement(): Placement {
		invariant(this.#placement !== undefined, 'NO_PLACEMENT', 'the attempt has no place yet');
		return this.#placement;
	}

	/** Whether a place or memory must still be given back. */
	get isReleasing(): boolean {
		return this.#state === 'crossing' || this.#state === 'cancelling';
	}

	/** Takes the place; undefined when the event must be dropped. */
	handlePlaced(placement: Placement): RequestEffect[] | undefined {
		if (findReservationTransition(this.#state, 'placed') === undefined) {
			return undefined;
		}

		this.#placement = placement;
		return this.step('placed');
	}

	/** Takes the confirmation of a cancel; one of an earlier round says nothing about the latest. */
	handleFreed(round: number): RequestEffect[] | undefined {
		return round === this.#cancelRound ? this.step('freed') : undefined;
	}

	/** Handles one event; undefined when it must be dropped. */
	step(event: ReservationEvent): RequestEffect[] | undefined {
		const transition = findReservationTransition(this.#state, event);
		if (transition === undefined) {
			return undefined;
		}

		this.#state = transition.to;
		const {attempt} = this;
		switch (transition.command) {
			case 'reserve': {
				return [{kind: 'reserve', attempt, placement: this.placement}];
			}

			case 'cancel': {
				this.#cancelRound += 1;
				return [{
					kind: 'cancel', attempt, placement: this.placement, round: this.#cancelRound,
				}];
			}

			case 'release': {
				return [{kind: 'release', attempt, placement: this.placement}];
			}

			case undefined: {
				return [];
			}
		}
	}
}
