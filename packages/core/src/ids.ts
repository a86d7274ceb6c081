/** Branded identifiers, so that one kind of id can't be passed for another. */

declare const brand: unique symbol;

/** A value of type `T` that only code naming `Name` may produce. */
export type Branded<T, Name extends string> = T & {readonly [brand]: Name};

/** One instance of the daemon, as named in its settings. */
export type InstanceId = Branded<string, 'InstanceId'>;
/** One run of an instance's process; a restart changes it. */
export type InstanceIncarnation = Branded<string, 'InstanceLife'>;
/** A data centre, as named in the settings and the catalogue. */
export type DataCentreId = Branded<string, 'DataCentreId'>;
/** A model engine, as named in the catalogue. */
export type EngineId = Branded<string, 'EngineId'>;
/** A plain backend server, as named in the catalogue. */
export type BackendId = Branded<string, 'BackendId'>;
/** A catalogue entry. */
export type ServiceName = Branded<string, 'ServiceName'>;
/** The owner of a catalogue entry. */
export type OwnerName = Branded<string, 'OwnerName'>;
/** One caller's request, unique over all instances. */
export type RequestId = Branded<string, 'RequestId'>;
/** The number of an attempt within its request, from 1. */
export type AttemptNumber = Branded<number, 'AttemptNumber'>;
/** The caller's `Idempotency-Key`, scoped by service. */
export type ClaimKey = Branded<string, 'ClaimKey'>;
/** The number of an accepted catalogue, from 1; 0 is the empty catalogue. */
export type Revision = Branded<number, 'Revision'>;
/** A number that grows with every change of a share's holder. */
export type FencingToken = Branded<number, 'FencingToken'>;
/** The operator's number of a routing configuration; the highest is in force. */
export type RoutingVersion = Branded<number, 'RoutingVersion'>;
/** The id of an operator's order, kept across resends. */
export type OrderId = Branded<string, 'OrderId'>;
/** Identifies one run of an engine process; a restart changes it. */
export type EngineIncarnation = Branded<string, 'Incarnation'>;

/**
 * Brands a plain value. Use it where values enter the system, after checking them.
 *
 * @example
 * const id = toId<EngineId>('lm-a-1');
 */
export const toId = <Id extends Branded<string, string> | Branded<number, string>>(value: Id extends string ? string : number): Id => value as unknown as Id;
