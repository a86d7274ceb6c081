/** The placement and the engine memory of one attempt, until both are released. */
import {invariant} from '../invariant.js';
import type {AttemptNumber} from '../ids.js';
import type {Placement} from '../placement/types.js';
import {findReservationTransition} from './request-transitions.js';
import type {ReservationEvent, ReservationState} from './request-transitions.js';
import type {RequestEffect} from './request-events.js';

/**
 * Tracks the reservation of one attempt. The placement is released only after the memory is confirmed free.
 *
 * @example
 * const reservation = new AttemptReservation(attempt);
 * reservation.handlePlaced(placement); // [{kind: 'reserve', ...}]
 * reservation.step('drop'); // [{kind: 'cancel', ...}]
 */
export class AttemptReservation {
	#state: ReservationState = 'unplaced';
	#placement: Placement | undefined;
	#cancelRound = 0;

	constructor(readonly attempt: AttemptNumber) {}

	/** The current state of the reservation. */
	get state(): ReservationState {
		return this.#state;
	}

	/** The placement; throws before there is one. */
	get placement(): Placement {
		invariant(this.#placement !== undefined, 'NO_PLACEMENT', 'the attempt has no placement yet');
		return this.#placement;
	}

	/** Whether the release waits for the result of a reserve or cancel call. */
	get isReleasing(): boolean {
		return this.#state === 'crossing' || this.#state === 'cancelling';
	}

	/** Handles a granted placement; returns undefined when the event must be dropped. */
	handlePlaced(placement: Placement): RequestEffect[] | undefined {
		if (findReservationTransition(this.#state, 'placed') === undefined) {
			return undefined;
		}

		this.#placement = placement;
		return this.step('placed');
	}

	/** Handles the confirmation of a cancel; a confirmation of an earlier round does not confirm the latest cancel. */
	handleFreed(round: number): RequestEffect[] | undefined {
		return round === this.#cancelRound ? this.step('freed') : undefined;
	}

	/** Handles one event; returns undefined when it must be dropped. */
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
