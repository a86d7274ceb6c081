/** The daemon as a library, for tests and embedding. */
export {startDaemon} from './daemon.js';
export type {Daemon} from './daemon.js';
export {EngineCanceller} from './engine/engine-canceller.js';
export {EngineClients} from './engine/engine-clients.js';
export {HttpEngineClient} from './engine/http-engine-client.js';
export {openPort} from './listen.js';
export {metricTable} from './observability/metric-table.js';
export type {MetricName, MetricRow, MetricType} from './observability/metric-table.js';
export {RpcCallError, RpcClient} from './rpc/rpc-client.js';
export {RpcServer} from './rpc/rpc-server.js';
export {parseSettings} from './settings/parse-settings.js';
export type {InstanceEntry, Settings, SettingsFault} from './settings/parse-settings.js';
export {ClaimedCaller, claimUseMs} from './requests/claimed-call.js';
export type {ClaimedCallParts} from './requests/claimed-call.js';
export type {CallSender, SendOptions} from './requests/backend-sender.js';
export {PlainCaller} from './requests/plain-call.js';
export type {PlainAnswer, PlainCall, PlainCallParts} from './requests/plain-call.js';
export {nodeFileSystem} from './storage/file-system.js';
export type {AppendFile, FileSystem} from './storage/file-system.js';
export {ReplicaStorage} from './storage/replica-storage.js';
export {StorageError} from './storage/storage-error.js';
export type {StorageFault} from './storage/storage-error.js';
export {ReplicatedControlLog} from './control/replicated-control-log.js';
export {Peers} from './rpc/peers.js';
export {HedgedTries} from './requests/hedged-tries.js';
export {startControlNode} from './control-node/control-node.js';
export type {ControlNode, ControlNodeDialect, ControlNodeSettings} from './control-node/control-node.js';
export type {EngineCall, OrderDialect, EngineStatus} from './control-node/role-task.js';
export {startGateway} from './gateway/gateway.js';
export type {Gateway, GatewaySettings} from './gateway/gateway.js';
export {headerValue, passedHeaders} from './gateway/raw-headers.js';
export type {
	AnswerHead, Call, CallerDialect, CallFacts, GatewayDialect, KvSource, ListDialect, ListPage, RoutingCodec, SendPurpose, ServerDialect,
} from './gateway/types.js';
export {listenOn} from './listen.js';
export {createLog} from './log.js';
export {startStructuredLog} from './structured-log.js';
