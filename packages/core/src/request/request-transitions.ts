/** The transition tables of a request and of the reservations of its attempts. */
import type {RequestEvent} from './request-events.js';

/** The states of a request. */
export type RequestState = 'new' | 'placing' | 'reserving' | 'prefilling' | 'transferring' | 'decoding' | 'done';

/** For each state, the accepted events and their possible next states. Any other event is dropped. */
export const requestTransitions = {
	new: {start: ['placing'], callerGone: ['done']},
	placing: {
		placed: ['reserving'], refused: ['done'], tick: ['placing', 'done'], callerGone: ['done'],
	},
	reserving: {
		reserved: ['prefilling'], failed: ['placing', 'done'], tick: ['reserving', 'done'], callerGone: ['done'],
	},
	prefilling: {
		prefilled: ['transferring'], failed: ['placing', 'done'], tick: ['prefilling', 'placing', 'done'], callerGone: ['done'],
	},
	transferring: {
		transferred: ['decoding'], failed: ['placing', 'done'], tick: ['transferring', 'placing', 'done'], callerGone: ['done'],
	},
	decoding: {
		chunk: ['decoding', 'placing', 'done'],
		alive: ['decoding'],
		failed: ['decoding', 'placing', 'done'],
		tick: ['decoding', 'placing', 'done'],
		callerGone: ['done'],
	},
	done: {},
} as const satisfies Record<RequestState, Partial<Record<RequestEvent['kind'], readonly RequestState[]>>>;

/** The states of a reservation: a placement at the owner of the pool, and memory on the decode engine. */
export type ReservationState =
	| 'unplaced'
	/** Abandoned before there was a placement. */
	| 'withdrawn'
	/** The reserve call is in flight; memory may be reserved. */
	| 'reserving'
	/** Memory is reserved, or may be. */
	| 'held'
	/** There is a placement, but definitely no memory. */
	| 'refused'
	/** Abandoned while the reserve call is in flight. The cancel may overtake the reserve, so another cancel follows its response. */
	| 'crossing'
	/** A cancel sent after the response to the reserve is in flight. */
	| 'cancelling'
	| 'released';

/** Events that change a reservation. */
export type ReservationEvent = 'placed' | 'reserved' | 'refused' | 'drop' | 'freed';

/** Commands that a reservation event triggers. */
export type ReservationCommand = 'reserve' | 'cancel' | 'release';

type ReservationTransition = {
	readonly to: ReservationState;
	readonly command?: ReservationCommand;
};

/** For each reservation state, the accepted events with their next state and command. */
export const reservationTransitions = {
	unplaced: {placed: {to: 'reserving', command: 'reserve'}, drop: {to: 'withdrawn'}},
	withdrawn: {placed: {to: 'released', command: 'release'}},
	reserving: {reserved: {to: 'held'}, refused: {to: 'refused'}, drop: {to: 'crossing', command: 'cancel'}},
	held: {drop: {to: 'cancelling', command: 'cancel'}},
	refused: {drop: {to: 'released', command: 'release'}},
	crossing: {reserved: {to: 'cancelling', command: 'cancel'}, refused: {to: 'released', command: 'release'}},
	cancelling: {freed: {to: 'released', command: 'release'}},
	released: {},
} as const satisfies Record<ReservationState, Partial<Record<ReservationEvent, ReservationTransition>>>;

/** Looks up a reservation transition; returns undefined when the event must be dropped. */
export const findReservationTransition = (state: ReservationState, event: ReservationEvent): ReservationTransition | undefined =>
	(reservationTransitions[state] as Partial<Record<ReservationEvent, ReservationTransition>>)[event];
