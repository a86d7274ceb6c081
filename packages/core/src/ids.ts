/** Branded identifiers, so that one kind of id can't be passed as another. */

declare const brand: unique symbol;

/** A value of type `T` tagged with `Name`; values of other brands are not assignable to it. */
export type Branded<T, Name extends string> = T & {readonly [brand]: Name};

/** An instance of the daemon, as named in its settings. */
export type InstanceId = Branded<string, 'InstanceId'>;
/** Identifies one run of an instance's process; a restart changes it. */
export type InstanceIncarnation = Branded<string, 'InstanceIncarnation'>;
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
/** A team of callers, as named in the routing configuration. */
export type TeamName = Branded<string, 'TeamName'>;
/** The digest of an API key; the key itself is not kept. */
export type KeyDigest = Branded<string, 'KeyDigest'>;
/** A caller's request, unique across all instances. */
export type RequestId = Branded<string, 'RequestId'>;
/** The number of an attempt within its request, from 1. */
export type AttemptNumber = Branded<number, 'AttemptNumber'>;
/** The caller's `Idempotency-Key`, scoped by service. */
export type ClaimKey = Branded<string, 'ClaimKey'>;
/** The number of an accepted catalogue, from 1; 0 is the empty catalogue. */
export type Revision = Branded<number, 'Revision'>;
/** A number that increases with every change of a share's holder. */
export type FencingToken = Branded<number, 'FencingToken'>;
/** The version that the operator gives a routing configuration; the highest is in force. */
export type RoutingVersion = Branded<number, 'RoutingVersion'>;
/** The id of an operator's order, the same across resends. */
export type OrderId = Branded<string, 'OrderId'>;
/** The version of an engine's software, not of the weights that it serves. */
export type SoftwareVersion = Branded<string, 'SoftwareVersion'>;
/** A segment of a prompt, by the hash of its content; requests with the same segment share its KV cache. */
export type SegmentId = Branded<string, 'SegmentId'>;
/** Identifies one run of an engine process; a restart changes it. */
export type EngineIncarnation = Branded<string, 'EngineIncarnation'>;

/**
 * Brands a plain value. Use it where values enter the system, after validating them.
 *
 * @example
 * const id = toId<EngineId>('lm-a-1');
 */
export const toId = <Id extends Branded<string, string> | Branded<number, string>>(value: Id extends string ? string : number): Id => value as unknown as Id;
