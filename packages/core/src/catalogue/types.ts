/** The catalogue: what operators edit and every instance keeps in force. */
import type {
	BackendId, DataCentreId, EngineId, OrderId, OwnerName, Revision, ServiceName,
} from '../ids.js';
import type {TomlFault} from '../toml/check-toml.js';

/** How a service's requests rank: urgent goes first, patient waits. */
export type ServiceClass = 'urgent' | 'patient';

/** Limits of one service over all instances together. */
export type ServiceLimits = {
	/** Requests in progress at a time. */
	readonly inFlight: number;
	/** Requests accepted a second. */
	readonly requestsPerSecond: number;
	/** Prompt and output tokens a second; only for models. */
	readonly tokensPerSecond: number;
	/** Requests that may wait for a place. */
	readonly queue: number;
	/** Longest wait for a place, in milliseconds. */
	readonly queueMs: number;
	/** Longest body of a model request, in bytes. */
	readonly bodyBytes: number;
	/** Longest time a request may take altogether, in milliseconds. */
	readonly totalMs: number;
};

/** Latency targets of a model service, in milliseconds. */
export type LatencyTargets = {
	readonly firstOutputMs: number;
	readonly betweenOutputsMs: number;
};

/** What an engine does for its service. */
export type EngineRole = 'prefill' | 'decode';

/** One model engine of a service. */
export type EngineEntry = {
	readonly id: EngineId;
	/** `host:port` by IP number. */
	readonly address: string;
	readonly dataCentre: DataCentreId;
	readonly role: EngineRole;
	/** Memory pieces of `pieceTokens` tokens. */
	readonly pieces: number;
	/** Whether the engine refuses orders with an old fencing number. */
	readonly fencesOrders: boolean;
};

/** One plain backend server of a service. */
export type BackendEntry = {
	readonly id: BackendId;
	/** `host:port` by IP number. */
	readonly address: string;
	readonly dataCentre: DataCentreId;
};

type ServiceBase = {
	readonly name: ServiceName;
	readonly owner: OwnerName;
	readonly class: ServiceClass;
	readonly limits: ServiceLimits;
};

/** A service answered by prefill and decode engines. */
export type ModelService = ServiceBase & {
	readonly kind: 'model';
	readonly targets: LatencyTargets;
	/** Tokens in one memory piece. */
	readonly pieceTokens: number;
	readonly engines: readonly EngineEntry[];
};

/** A service answered by plain backend servers. */
export type PlainService = ServiceBase & {
	readonly kind: 'plain';
	/** Calls that may be repeated though their method does not say so, as `METHOD /path`. */
	readonly idempotent: readonly string[];
	/** Calls that may not be repeated though their method says so, as `METHOD /path`. */
	readonly nonIdempotent: readonly string[];
	readonly backends: readonly BackendEntry[];
};

/** One catalogue entry. */
export type Service = ModelService | PlainService;

/** An accepted catalogue, immutable. */
export type CatalogueSnapshot = {
	readonly revision: Revision;
	readonly services: ReadonlyMap<ServiceName, Service>;
	/** The TOML text it was accepted as. */
	readonly text: string;
};

/** An operator's proposal of a new catalogue. */
export type CatalogueProposal = {
	readonly orderId: OrderId;
	/** The revision that the operator edited. */
	readonly expected: Revision;
	readonly author: string;
	readonly text: string;
};

/** What became of a proposal. */
export type CatalogueProposalResult =
	| {readonly kind: 'accepted'; readonly revision: Revision}
	| {readonly kind: 'conflict'; readonly winner: {readonly revision: Revision; readonly author: string; readonly orderId: OrderId}}
	| {readonly kind: 'invalid'; readonly faults: readonly CatalogueFault[]};

/** One fault of a catalogue text. */
export type CatalogueFault = TomlFault;

/** The catalogue snapshot in force, as the rest of the system reads it. */
export type CatalogueView = {
	current(): CatalogueSnapshot;
};

/** Where catalogues are proposed and accepted. */
export type CatalogueStore = CatalogueView & {
	/** Accepts a proposal durably, or says why not. Rejects when no authority can be reached. */
	propose(proposal: CatalogueProposal): Promise<CatalogueProposalResult>;
	/** Calls `listener` with each snapshot that comes into force; returns the teardown. */
	registerListener(listener: (snapshot: CatalogueSnapshot) => void): () => void;
};
