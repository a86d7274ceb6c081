/** Options of a replica. */
import type {ControlCommand} from '../control/control-command.js';
import type {RandomSource} from '../random.js';
import type {SafetyRules} from './safety-rules.js';
import type {ConsensusTimings, ReplicaId} from './types.js';

/** Identity, timings and rules of a replica. */
export type ReplicaOptions = {
	readonly self: ReplicaId;
	readonly timings: ConsensusTimings;
	/** Desired number of voters; further learners only replace unresponsive voters. Every learner becomes a voter when undefined. */
	readonly targetVoterCount?: number | undefined;
	readonly random: RandomSource;
	/** Whether a command is applied only after its commit index is synced, so that a restart without peers applies it again. */
	readonly requiresDurableCommit: (command: ControlCommand) => boolean;
	/** Overridden only by tests. */
	readonly rules?: SafetyRules;
};
