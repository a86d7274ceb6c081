/** What a replica is made with. */
import type {ControlCommand} from '../control/control-command.js';
import type {RandomSource} from '../random.js';
import type {SafetyRules} from './safety-rules.js';
import type {ConsensusTimings, ReplicaId} from './types.js';

/** Identity, times and rules of a replica. */
export type ReplicaOptions = {
	readonly self: ReplicaId;
	readonly timings: ConsensusTimings;
	/** Voters wanted; learners beyond them replace silent voters. Every learner becomes a voter when undefined. */
	readonly targetVoterCount?: number | undefined;
	readonly random: RandomSource;
	/** Commands that are applied only once this replica would still apply them after a restart alone. */
	readonly requiresDurableCommit: (command: ControlCommand) => boolean;
	/** Replaced by tests only. */
	readonly rules?: SafetyRules;
};
