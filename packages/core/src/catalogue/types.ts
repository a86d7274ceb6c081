/** The catalogue of services and their servers, which operators edit and every instance applies. */
import type {
	BackendId, DataCentreId, EngineId, OrderId, OwnerName, Revision, ServiceName, SoftwareVersion,
} from '../ids.js';
import type {TomlFault} from '../toml/check-toml.js';

/** Priority class of a service's requests: `urgent` requests go before `patient` ones. */
export type ServiceClass = 'urgent' | 'patient';

/** Limits of one service, across all instances together. */
export type ServiceLimits = {
	/** Maximum number of requests in progress at a time. */
	readonly inFlight: number;
	/** Maximum number of requests accepted per second. */
	readonly requestsPerSecond: number;
	/** Maximum number of prompt and output tokens per second; only for model services. */
	readonly tokensPerSecond: number;
	/** Maximum number of requests queued for a placement. */
	readonly queue: number;
	/** Maximum time in the queue, in milliseconds. */
	readonly queueMs: number;
	/** Maximum size of the body of a model request, in bytes. */
	readonly bodyBytes: number;
	/** Total timeout of a request, in milliseconds. */
	readonly totalMs: number;
};

/** Latency targets of a model service, in milliseconds. */
export type LatencyTargets = {
	readonly firstOutputMs: number;
	readonly betweenOutputsMs: number;
};

/** Phase of inference that an engine runs for its service. */
export type EngineRole = 'prefill' | 'decode';

/** One model engine of a service. */
export type EngineEntry = {
	readonly id: EngineId;
	/** `host:port`, where the host is an IP address. */
	readonly address: string;
	readonly dataCentre: DataCentreId;
	readonly role: EngineRole;
	/** Memory capacity, in pieces of `pieceTokens` tokens. */
	readonly pieces: number;
	/** Whether the engine rejects orders with a stale fencing token. */
	readonly fencesOrders: boolean;
	/** Version of its software; engines without one count as one version. */
	readonly softwareVersion?: SoftwareVersion | undefined;
};

/** One plain backend server of a service. */
export type BackendEntry = {
	readonly id: BackendId;
	/** `host:port`, where the host is an IP address. */
	readonly address: string;
	readonly dataCentre: DataCentreId;
};

type ServiceBase = {
	readonly name: ServiceName;
	readonly owner: OwnerName;
	readonly class: ServiceClass;
	readonly limits: ServiceLimits;
};

/** A service served by prefill and decode engines. */
export type ModelService = ServiceBase & {
	readonly kind: 'model';
	readonly targets: LatencyTargets;
	/** Tokens in one memory piece. */
	readonly pieceTokens: number;
	readonly engines: readonly EngineEntry[];
};

/** A service served by plain backend servers. */
export type PlainService = ServiceBase & {
	readonly kind: 'plain';
	/** Calls that are idempotent although their HTTP method is not, as `METHOD /path`. */
	readonly idempotent: readonly string[];
	/** Calls that are not idempotent although their HTTP method is, as `METHOD /path`. */
	readonly nonIdempotent: readonly string[];
	readonly backends: readonly BackendEntry[];
};

/** One catalogue entry. */
export type Service = ModelService | PlainService;

/** An accepted catalogue, immutable. */
export type CatalogueSnapshot = {
	readonly revision: Revision;
	readonly services: ReadonlyMap<ServiceName, Service>;
	/** The TOML text that was accepted. */
	readonly text: string;
};

/** An operator's proposal of a new catalogue. */
export type CatalogueProposal = {
	readonly orderId: OrderId;
	/** The revision that the operator edited; the proposal is accepted only while it is current. */
	readonly expected: Revision;
	readonly author: string;
	readonly text: string;
};

/** Result of a proposal. */
export type CatalogueProposalResult =
	| {readonly kind: 'accepted'; readonly revision: Revision}
	| {readonly kind: 'conflict'; readonly winner: {readonly revision: Revision; readonly author: string; readonly orderId: OrderId}}
	| {readonly kind: 'invalid'; readonly faults: readonly CatalogueFault[]};

/** One fault of a catalogue text. */
export type CatalogueFault = TomlFault;

/** Read access to the catalogue snapshot in force. */
export type CatalogueView = {
	current(): CatalogueSnapshot;
};

/** Accepts proposals of catalogues and reports new snapshots. */
export type CatalogueStore = CatalogueView & {
	/** Evaluates a proposal; an accepted one is durable. The promise rejects if the store is unreachable. */
	propose(proposal: CatalogueProposal): Promise<CatalogueProposalResult>;
	/** Calls `listener` with each snapshot that comes into force; returns a function that removes the listener. */
	registerListener(listener: (snapshot: CatalogueSnapshot) => void): () => void;
};
