/** Workloads and measurements. */
export {Cluster} from './demo/cluster.js';
export type {ClusterInstance, ClusterStandIn} from './demo/cluster.js';
export {callPlain, isWholeOutput, streamCompletion} from './demo/calls.js';
export type {CallResult} from './demo/calls.js';
export {deployments} from './demo/deployments.js';
export type {Deployment, DeploymentName} from './demo/deployments.js';
export {freePorts} from './demo/ports.js';
export {ProcessGroup, programs, runProgram} from './demo/processes.js';
export {SingleInstance} from './demo/single-instance.js';
export type {SingleInstancePlan} from './demo/single-instance.js';
