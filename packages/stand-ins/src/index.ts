/** Small stand-ins for what the platform gives. */
export {BodyCrowd} from './body-crowd.js';
export type {CrowdPlan} from './body-crowd.js';
export {ClientCrowd} from './client-crowd.js';
export type {ClientPlan} from './client-crowd.js';
export {startBackend} from './backend-server.js';
export type {BackendServer} from './backend-server.js';
export {EngineModel} from './engine/engine-model.js';
export type {EngineCounters, EngineParameters, HeldAttempt} from './engine/engine-model.js';
export {startEngine} from './engine/engine-server.js';
export type {EngineServer} from './engine/engine-server.js';
export {FaultBoard} from './faults.js';
export type {Fault} from './faults.js';
export type {RunningServer} from './listen.js';
export {startPlatformList} from './platform-list.js';
export type {PlatformEntry} from './platform-list.js';
export {ProcessUsage} from './process-usage.js';
