/** The coordination core of baobabpier. It performs no I/O and sets no timers. */
export {emptyCatalogue, parseCatalogue} from './catalogue/parse-catalogue.js';
export {isIdempotentCall} from './catalogue/is-idempotent-call.js';
export type {
	BackendEntry,
	CatalogueStore,
	CatalogueFault,
	CatalogueProposal,
	CatalogueSnapshot,
	CatalogueProposalResult,
	CatalogueView,
	EngineEntry,
	EngineRole,
	LatencyTargets,
	ModelService,
	PlainService,
	Service,
	ServiceClass,
	ServiceLimits,
} from './catalogue/types.js';
export {EngineFaultError} from './engine/engine-client.js';
export type {
	DecodeChunk,
	DecodeRequest,
	ReportedHold,
	EngineChange,
	EngineClient,
	EngineFault,
	EngineHold,
	EngineReport,
	KvHandle,
	PrefillRequest,
} from './engine/engine-client.js';
export {countPieces, estimateTokens} from './engine/tokens.js';
export {
	errorResponses, isErrorKind, routerError, toErrorBody,
} from './errors.js';
export type {
	ErrorResponse, ErrorBody, ErrorKind, RouterError, ExecutionState,
} from './errors.js';
export {toId} from './ids.js';
export type {
	AttemptNumber,
	BackendId,
	Branded,
	ClaimKey,
	DataCentreId,
	EngineId,
	FencingToken,
	EngineIncarnation,
	InstanceId,
	KeyDigest,
	OrderId,
	OwnerName,
	RequestId,
	Revision,
	RoutingVersion,
	SegmentId,
	ServiceName,
	SoftwareVersion,
	TeamName,
} from './ids.js';
export {CrashChecks} from './quarantine/crash-checks.js';
export {CrashEvidence} from './quarantine/crash-evidence.js';
export type {CrashVerdicts, ReportedCrash} from './quarantine/crash-evidence.js';
export {ProvenSegments} from './quarantine/proven-segments.js';
export {QuarantineTable, quarantineTtlMs} from './quarantine/quarantine-table.js';
export type {
	ActiveQuarantine, QuarantineEntry, QuarantineSnapshot, RecordedCrash,
} from './quarantine/quarantine-table.js';
export {TrialSlots} from './quarantine/trial-slots.js';
export {
	includesSegments, isRequestDigest, requestDigestPrefix, segmentSetKey, toSegmentSet,
} from './quarantine/types.js';
export type {
	BrokenRun, CrashCase, CrashSummary, RunPhase, SegmentSet,
} from './quarantine/types.js';
export {
	CRASH_REPORT, QUARANTINE_LIFT, QUARANTINE_LIST, QUARANTINE_SET, TRIAL_BEGIN, TRIAL_END,
} from './rpc/quarantine-methods.js';
export type {
	CrashReport, CrashReportParams, QuarantineStatus, SuspectsSnapshot, TrialParams, TrialResponse,
} from './rpc/quarantine-methods.js';
export {invariant, InvariantError} from './invariant.js';
export {readJsonList} from './json/read-json-list.js';
export type {JsonList, JsonListShape} from './json/read-json-list.js';
export type {
	ClaimLedger, ClaimOutcome, ClaimRecord, ClaimRequest, ClaimResult, StoredResponse,
} from './ledger/claim-ledger.js';
export {ClaimTable} from './ledger/claim-table.js';
export type {ClaimTableLimits, ClaimTableSnapshot} from './ledger/claim-table.js';
export type {AdmissionDecision, Limiter} from './limits/limiter.js';
export {EnginePool, toHold} from './placement/engine-pool.js';
export type {EngineAdmission, PoolEffect, PoolEvent} from './placement/engine-pool.js';
export {EngineStarts} from './placement/engine-starts.js';
export type {EngineStart} from './placement/engine-starts.js';
export {RejectionBackoff} from './placement/rejection-backoff.js';
export {TwoChoicesPolicy} from './placement/two-choices-policy.js';
export type {
	EngineView, MemoryDemand, PaceSample, Placement, PlacementDecision, PlacementPolicy, PlacementRequest, PlacementStep, StreamOutcome,
} from './placement/types.js';
export {createSeededRandom, pickIndex} from './random.js';
export type {RandomSource} from './random.js';
export {isRepeatableRoute, toUncertainError, withheldStatusError} from './request/caller-status.js';
export type {AnsweredCall} from './request/caller-status.js';
export {RequestStateMachine} from './request/request-state-machine.js';
export type {
	AttemptCall, ModelRequest, RequestEffect, RequestEvent, RequestOutcome,
} from './request/request-events.js';
export {err, ok} from './result.js';
export type {Err, Ok, Result} from './result.js';
export {hashText, pickRendezvous, rankRendezvous} from './shares/rendezvous.js';
export type {Share, ShareId, ShareMap} from './shares/share-map.js';
export {StaticShareMap} from './shares/static-share-map.js';
export type {InstanceLocation} from './shares/static-share-map.js';
export {addMs, ManualClock} from './time.js';
export type {Clock, Instant} from './time.js';
export {
	CATALOGUE_APPLY,
	CATALOGUE_GET,
	CONTROL_FETCH,
	CONTROL_SUBMIT,
	defineRpcMethod,
	LEDGER_LOOKUP,
	POOL_PLACE,
	POOL_PREFILL_DONE,
	POOL_RELEASE,
	POOL_RENEW,
	POOL_TRANSFER_DONE,
	STATUS,
} from './rpc/rpc-methods.js';
export type {
	CatalogueDocument,
	ControlUpdate,
	InstanceStatus,
	PlaceResponse,
	PlaceParams,
	PoolHoldParams,
	PoolReleaseParams,
	PoolRenewParams,
	PoolStepParams,
	RpcMethod,
} from './rpc/rpc-methods.js';
export {RoutingState} from './control/routing-state.js';
export type {RoutingDocument, RoutingReplaceResult} from './control/routing-state.js';
export {CatalogueHistory} from './control/catalogue-history.js';
export type {CatalogueHistorySnapshot, CatalogueChange} from './control/catalogue-history.js';
export {ReplicatedCatalogueStore} from './control/replicated-catalogue-store.js';
export type {
	CommandOf,
	ControlCommand,
	ControlEntry,
	ControlCommandKind,
	ControlCommandResults,
	LogIndex,
	LogTime,
} from './control/control-command.js';
export {ReplicatedClaimLedger} from './control/replicated-claim-ledger.js';
export {ControlUnavailableError} from './control/control-log.js';
export type {AppliedListener, ControlLog} from './control/control-log.js';
export {ControlState} from './control/control-state.js';
export type {ControlStateSnapshot} from './control/control-state.js';
export {ConsensusReplica} from './consensus/consensus-replica.js';
export type {ReplicaOptions} from './consensus/replica-options.js';
export {SafetyRules} from './consensus/safety-rules.js';
export {emptySnapshot} from './consensus/in-memory-log.js';
export {quorumOf} from './consensus/replica-membership.js';
export type {RecoveredLog} from './consensus/replica-store.js';
export {instanceOf, toReplicaId} from './consensus/types.js';
export type {
	ConsensusEffect,
	ConsensusEvent,
	ConsensusMessage,
	ConsensusTimings,
	EntryPayload,
	HardState,
	LogEntry,
	PersistEffect,
	Proposal,
	ReplicaId,
	ReplicaRole,
	ReplicaMembership,
	ReplicaLeadership,
	ReplicaStatus,
	Snapshot,
	Term,
} from './consensus/types.js';
export {
	CONTROL_BARRIER,
	CONTROL_BEGIN,
	CONTROL_CONSENSUS,
	CONTROL_JOIN,
	CONTROL_POSITION,
} from './rpc/rpc-methods.js';
export type {
	ConsensusMessageBatch,
	ControlPosition,
	ControlStatus,
	SubmitResponse,
} from './rpc/rpc-methods.js';
export {
	checkToml,
	collectStrings,
	findDuplicates,
	formatFault,
	locateFaults,
	parseToml,
} from './toml/check-toml.js';
export type {
	TomlCheck,
	TomlFault,
	TomlProblem,
	TomlString,
} from './toml/check-toml.js';
export {findTomlPositions} from './toml/toml-positions.js';
export type {TomlPath, TomlPositions} from './toml/toml-positions.js';
export {diffCatalogues} from './catalogue/diff-catalogue.js';
export type {CatalogueDifference} from './catalogue/diff-catalogue.js';
export {CATALOGUE_HISTORY} from './rpc/rpc-methods.js';
export type {CatalogueHistoryDocument, PeerAddress} from './rpc/rpc-methods.js';
export {OwnerBackoff} from './placement/owner-backoff.js';
export {PoolNotificationQueue} from './placement/pool-notification-queue.js';
export type {PoolNotification} from './placement/pool-notification-queue.js';
export {reportIntervalMs, ReportRounds} from './placement/report-rounds.js';
export {holdKey, HoldTable} from './placement/hold-table.js';
export type {
	EngineUsage,
	Grant,
	HeldPlacement,
	PoolTimings,
	Reclaim,
} from './placement/hold-table.js';
export type {EngineAddress} from './placement/types.js';
export {AttemptReservation} from './request/attempt-reservation.js';
export {reservationTransitions, requestTransitions} from './request/request-transitions.js';
export type {ReservationEvent, ReservationState, RequestState} from './request/request-transitions.js';
export type {InstanceIncarnation} from './ids.js';
export {RetryBudget} from './request/retry-budget.js';
export type {RetryBudgetSettings} from './request/retry-budget.js';
export {BatchModel} from './placement/batch-model.js';
export {BucketedEngineIndex} from './placement/engine-index.js';
export {ForecastPolicy} from './placement/forecast-policy.js';
export {Forecast} from './placement/forecast.js';
export type {PrefillPrediction} from './placement/forecast.js';
export {differSignificantly} from './placement/learned-estimates.js';
export type {LearnedEstimates} from './placement/learned-estimates.js';
export {OutputLengthModel} from './placement/output-length-model.js';
export type {OutputMoments} from './placement/output-length-model.js';
export {PrefillSpeedModel} from './placement/prefill-speed-model.js';
export type {PrefillSpeed} from './placement/prefill-speed-model.js';
export {DecodeStallModel} from './placement/decode-stall-model.js';
export type {StreamGapSample} from './placement/decode-stall-model.js';
export {findEngine} from './placement/find-engine.js';
export {PlacementQueue} from './placement/placement-queue.js';
export {SerialQueueModel} from './placement/serial-queue-model.js';
export type {
	PlacementAdmission, EngineIndex, PolicyEvent, QueueView,
} from './placement/types.js';
export {FLEET_EXCHANGE} from './rpc/rpc-methods.js';
export {mergeLeavingServers} from './membership/leaving-servers.js';
export type {ServerListEntry, ServerListView} from './membership/leaving-servers.js';
export {MemberTable} from './membership/member-table.js';
export type {MemberRow, MemberState, MemberTimings} from './membership/member-table.js';
export {Membership} from './membership/membership.js';
export type {MembershipEffect, MembershipEvent, LocalMember} from './membership/membership.js';
export {pickPeers} from './membership/pick-peers.js';
export type {Fanout} from './membership/pick-peers.js';
export {
	STOP_CANCEL, STOP_PLAN, STOP_STATUS, STOP_USE,
} from './rpc/rpc-methods.js';
export type {StopProgress, StopUsage} from './rpc/rpc-methods.js';
export {findStopRefusal, isCovered, stoppedServers} from './stops/stop-validation.js';
export {fitsDrain} from './stops/drain-window.js';
export type {DrainCandidate, DrainWindow, Repeatability} from './stops/drain-window.js';
export {UsualDuration} from './stops/usual-duration.js';
export {StopTable} from './stops/stop-table.js';
export type {StopTableSnapshot} from './stops/stop-table.js';
export type {
	DeploymentFacts, PlannedStop, StopPlan, StopTarget, StopPlanResult,
} from './stops/stop-types.js';
export {QuotaHolder} from './limits/quota-holder.js';
export type {QuotaHolderOptions} from './limits/quota-holder.js';
export {QuotaAllocator} from './limits/quota-allocator.js';
export type {QuotaAllocatorOptions, QuotaGrant, QuotaRequest} from './limits/quota-allocator.js';
export {LIMIT_PARTS} from './rpc/rpc-methods.js';
export {LeasedLimiter} from './limits/leased-limiter.js';
export {QuotaAllocators} from './limits/quota-allocators.js';
export {
	deploymentScope, limitDimensions, quotaSteps, scopeLimit,
} from './limits/limit-scope.js';
export type {LimitDimension, ServiceQuotaRequest, ServiceQuotaGrant} from './limits/limit-scope.js';
export {SHARE_PROMISE} from './rpc/rpc-methods.js';
export {ShareLeaseManager} from './shares/share-lease-manager.js';
export type {
	ShareEffect, ShareEvent, ShareStatus, ShareTimings,
} from './shares/share-lease-manager.js';
export {shareKey, ShareTable, unheldShare} from './shares/share-table.js';
export type {ShareRecord, ShareRenewal, ShareTakeRequest} from './shares/share-table.js';
export {validateRouting} from './routing/validate-routing.js';
export {pickTarget, RouteIndex} from './routing/route-index.js';
export {WindowedRetryBudget} from './routing/windowed-retry-budget.js';
export type {WindowedRetryBudgetSettings} from './routing/windowed-retry-budget.js';
export {chooseServer, requestsAt} from './routing/choose-server.js';
export {knownMeanMs, withResponse, withUnfinished} from './routing/response-time.js';
export type {ResponseTime} from './routing/response-time.js';
export {boundHoldBack, ServerAvailability, spreadRetryDelay} from './routing/server-availability.js';
export type {HoldBack, SendBlock, SendEffect} from './routing/server-availability.js';
export type {ServerLoad} from './routing/choose-server.js';
export {KnownRateLimits} from './server-rate-limits/known-rate-limits.js';
export {RateLimitTable} from './server-rate-limits/rate-limit-table.js';
export type {
	LimitChange, LimitObservation, LimitRevision, PermitClass, PermitDecision, PermitRequest, ServerRateLimit, RateLimitsSnapshot,
} from './server-rate-limits/types.js';
export {RATE_LIMIT_LIST, RATE_LIMIT_REPORT, SERVER_PERMIT} from './rpc/rate-limit-methods.js';
export type {
	ReportedLimit, RateLimitReport, RateLimitStatus, ServerPermitParams, ServerPermitResponse,
} from './rpc/rate-limit-methods.js';
export type {
	CallerLimits,
	EngineCapabilities,
	Route,
	RoutedService,
	RouteKind,
	RouteName,
	RouteTarget,
	RoutingFault,
	RoutingTable,
} from './routing/types.js';
export {HedgingPolicy} from './retries/hedging-policy.js';
export type {HedgingLimits} from './retries/hedging-policy.js';
export {costOf, excessOf} from './teams/types.js';
export type {QuotaTolerance, Team, TeamQuota} from './teams/types.js';
export {TeamIndex} from './teams/team-index.js';
export type {CallerIdentity} from './teams/team-index.js';
export {QuotaAccount} from './teams/quota-account.js';
export type {QuotaDecision} from './teams/quota-account.js';
export {QuotaTable} from './teams/quota-table.js';
export type {QuotaAnswer} from './teams/quota-table.js';
export {IsolatedAllowance} from './teams/isolated-allowance.js';
export {QUOTA_REFUND, QUOTA_TAKE} from './rpc/quota-methods.js';
export type {QuotaTakeParams} from './rpc/quota-methods.js';
export {isServerAddress} from './server-address.js';
export {
	digestServerList, mergeServerLists, softwareVersionOf, unstatedVersion,
} from './server-list.js';
export type {ListedServer, ServerListReading} from './server-list.js';
export {choosePartners} from './relay/choose-partners.js';
export type {RelayPartner} from './relay/choose-partners.js';
export {PathMonitor} from './relay/path-monitor.js';
export type {PathState, ProbeRound} from './relay/path-monitor.js';
export {StreamOrigins} from './streams/stream-origins.js';
export type {OriginRecord, StreamOrigin} from './streams/stream-origins.js';
export {ORIGIN_FIND, ORIGIN_RECORD} from './rpc/origin-methods.js';
export type {OriginRecordResponse} from './rpc/origin-methods.js';
export {CONTROL_WATCH} from './rpc/watch-method.js';
export type {WatchResponse, WatchParams} from './rpc/watch-method.js';
export type {ForecastOptions} from './placement/forecast.js';
export {RolePlanner} from './placement/role-planner.js';
export type {
	RoleCandidate, EngineCapacity, RoleChange, ExpectedMix,
} from './placement/role-planner.js';
export {PipelinedQueueModel} from './placement/pipelined-queue-model.js';
export {isMember, planMembershipChange} from './consensus/replica-membership.js';
export {ConnectionPlan} from './transport/connection-plan.js';
export type {ConnectionId, PlanStep} from './transport/connection-plan.js';
export type {PlannedRequest} from './transport/planned-request.js';
export {BodyBudget} from './transport/body-budget.js';
export type {BodyHandle} from './transport/body-budget.js';
export {
	costOfParsing, defaultReadLimits, isDenseBody, ReadSchedule,
} from './transport/read-schedule.js';
export type {
	ParseWork, ReadHandle, ReadLimits, Slice,
} from './transport/read-schedule.js';
export {AcceptSchedule} from './transport/accept-schedule.js';
export {ConnectionAccount, ConnectionPort} from './transport/connection-account.js';
export type {
	Admission, ConnectionHandle, ConnectionStage, PortBounds,
} from './transport/connection-account.js';
export {defaultResourceLimits, heapLimits, resourceLimits} from './transport/resource-limits.js';
export type {ClientPortBounds, MachineResources, ResourceLimits} from './transport/resource-limits.js';
export {defaultBackoffLimits, RefusalBackoff} from './transport/refusal-backoff.js';
export type {BackoffLimits} from './transport/refusal-backoff.js';
export {judgeResponse} from './transport/response-binding.js';
export type {ResponseBinding, ResponseVerdict} from './transport/response-binding.js';
export {judgeStatus} from './transport/response-status.js';
export type {StatusVerdict} from './transport/response-status.js';
