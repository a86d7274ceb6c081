/** Determines which nodes a planned stop covers and whether the remaining capacity is sufficient. */
import type {CatalogueSnapshot, Service} from '../catalogue/types.js';
import type {DeploymentFacts, StopTarget} from './stop-types.js';

type NodeKind = Exclude<StopTarget['kind'], 'dataCentre'>;

type Node = {
	readonly id: string;
	readonly dataCentre: string;
};

/** Returns whether the target of a stop covers a node. */
export const isCovered = (target: StopTarget, kind: NodeKind, node: Node): boolean => target.kind === 'dataCentre'
	? target.id === node.dataCentre
	: target.kind === kind && target.id === node.id;

const isCoveredByAny = (targets: readonly StopTarget[], kind: NodeKind, node: Node): boolean => targets.some(target => isCovered(target, kind, node));

type ServerGroup = {
	readonly name: string;
	readonly kind: 'engine' | 'backend';
	readonly servers: readonly Node[];
};

const groupsOf = (service: Service): readonly ServerGroup[] => service.kind === 'plain'
	? [{name: 'backend server', kind: 'backend', servers: service.backends}]
	: (['prefill', 'decode'] as const).map(role => ({name: `${role} engine`, kind: 'engine', servers: service.engines.filter(engine => engine.role === role)}));

/** Returns the ids of the engines and backend servers that stops cover. */
export const stoppedServers = (targets: readonly StopTarget[], catalogue: CatalogueSnapshot): ReadonlySet<string> => {
	const ids = new Set<string>();
	if (targets.length === 0) {
		return ids;
	}

	for (const service of catalogue.services.values()) {
		for (const {kind, servers} of groupsOf(service)) {
			for (const server of servers.filter(one => isCoveredByAny(targets, kind, one))) {
				ids.add(server.id);
			}
		}
	}

	return ids;
};

const findQuorumLoss = (target: StopTarget, others: readonly StopTarget[], facts: DeploymentFacts): string | undefined => {
	const affected = facts.instances.filter(instance => isCovered(target, 'instance', instance));
	if (affected.length === 0) {
		return undefined;
	}

	const isRemaining = (instance: DeploymentFacts['instances'][number]): boolean => !isCoveredByAny([target, ...others], 'instance', instance) && !facts.dead.includes(instance.id);
	const remaining = facts.instances.filter(instance => isRemaining(instance));
	if (remaining.length === 0) {
		return 'no instance would be left';
	}

	const replicas = facts.instances.filter(({replica}) => replica);
	const remainingReplicas = remaining.filter(({replica}) => replica).length;
	const quorum = Math.floor(replicas.length / 2) + 1;
	return affected.some(({replica}) => replica) && remainingReplicas < quorum
		? `${remainingReplicas} of ${replicas.length} replicas would be left, the quorum is ${quorum}`
		: undefined;
};

const findServerShortage = (target: StopTarget, others: readonly StopTarget[], catalogue: CatalogueSnapshot): string | undefined => {
	for (const service of catalogue.services.values()) {
		for (const {name, kind, servers} of groupsOf(service)) {
			const isAffected = servers.some(server => isCovered(target, kind, server));
			if (isAffected && servers.every(server => isCoveredByAny([target, ...others], kind, server))) {
				return `service "${service.name}" would have no ${name} left`;
			}
		}
	}

	return undefined;
};

const targetExists = (target: StopTarget, catalogue: CatalogueSnapshot, facts: DeploymentFacts): boolean => {
	const isInstance = facts.instances.some(instance => isCovered(target, 'instance', instance));
	return isInstance || stoppedServers([target], catalogue).size > 0;
};

/** Returns the reason to refuse a stop given the other active stops; undefined when it is allowed. */
export const findStopRefusal = (target: StopTarget, others: readonly StopTarget[], catalogue: CatalogueSnapshot, facts: DeploymentFacts): string | undefined => {
	if (!targetExists(target, catalogue, facts)) {
		return `no ${target.kind} "${target.id}"`;
	}

	return findQuorumLoss(target, others, facts) ?? findServerShortage(target, others, catalogue);
};
