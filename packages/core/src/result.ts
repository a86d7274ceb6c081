/** The only module that imports ts-results, which is a CommonJS module. */
import tsResults from 'ts-results';
import type {Err as ErrType, Ok as OkType, Result as ResultType} from 'ts-results';

/** Either a value or a typed error. */
export type Result<T, E> = ResultType<T, E>;
/** The success side of a `Result`. */
export type Ok<T> = OkType<T>;
/** The error side of a `Result`. */
export type Err<E> = ErrType<E>;

// eslint-disable-next-line @typescript-eslint/naming-convention
const {Ok: OkClass, Err: ErrClass} = tsResults;

/**
 * Wraps a success.
 *
 * @example
 * const result: Result<number, string> = ok(1);
 */
export const ok = <T>(value: T): Ok<T> => new OkClass(value);

/**
 * Wraps a failure.
 *
 * @example
 * const result: Result<number, string> = err('out of range');
 */
export const err = <E>(error: E): Err<E> => {
	// `Err` takes a stack trace, which costs more than a whole small request where failures are ordinary values
	const {stackTraceLimit} = Error;
	Error.stackTraceLimit = 0;
	const failure = new ErrClass(error);
	Error.stackTraceLimit = stackTraceLimit;
	return failure;
};
