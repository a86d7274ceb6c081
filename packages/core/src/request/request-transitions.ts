/** The transition tables of a request and of the memory of its attempts. */
import type {RequestEvent} from './request-events.js';

/** Where a request is in its life. */
export type RequestState = 'new' | 'placing' | 'reserving' | 'prefilling' | 'transferring' | 'decoding' | 'done';

/** For each state, the events that it takes and the states that they may lead to. Any other event is dropped. */
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

/** What one attempt may hold: a place at the pool's owner, and memory on its decode engine. */
export type ReservationState =
	| 'unplaced'
	/** Given up before there was a place. */
	| 'withdrawn'
	/** The reserve is on its way: memory may be held. */
	| 'reserving'
	/** Memory is held, or may be. */
	| 'held'
	/** There is a place, but surely no memory. */
	| 'refused'
	/** Given up while the reserve is on its way; a cancel may overtake it, so another follows its answer. */
	| 'crossing'
	/** A cancel after the reserve's answer is on its way. */
	| 'cancelling'
	| 'released';

/** What changes an attempt's memory. */
export type ReservationEvent = 'placed' | 'reserved' | 'refused' | 'drop' | 'freed';

/** What a memory event asks for. */
export type ReservationCommand = 'reserve' | 'cancel' | 'release';

type ReservationTransition = {
	readonly to: ReservationState;
	readonly command?: ReservationCommand;
};

/** For each memory state, the events that it takes, the next state, and the command given. */
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

/** Looks a memory transition up; undefined when the event must be dropped. */
export const findReservationTransition = (state: ReservationState, event: ReservationEvent): ReservationTransition | undefined =>
	(reservationTransitions[state] as Partial<Record<ReservationEvent, ReservationTransition>>)[event];
