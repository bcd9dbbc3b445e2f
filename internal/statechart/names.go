package statechart

// States of a router daemon.
const (
	RouterStarting State = "starting"
	RouterSyncing  State = "syncing"
	RouterReady    State = "ready"
	RouterNotReady State = "not_ready"
	RouterStopping State = "stopping"
	RouterDrained  State = "drained"
	RouterStopped  State = "stopped"
)

// Events of a router.
const (
	// RouterVMListReadEvent: the VM list was read for the first time.
	RouterVMListReadEvent Event = "vm_list_read"
	// RouterCurrentEvent: the router meets the conditions of readiness.
	RouterCurrentEvent Event = "current"
	// RouterNotCurrentEvent: the router no longer meets the conditions of readiness.
	RouterNotCurrentEvent Event = "not_current"
	// RouterStopEvent: the first stop signal was received.
	RouterStopEvent Event = "stop"
	// RouterStreamsDoneEvent: the last running stream ended.
	RouterStreamsDoneEvent Event = "streams_done"
	// RouterDrainExpiredEvent: the drain limit expired with streams still running.
	RouterDrainExpiredEvent Event = "drain_expired"
	// RouterClosedEvent: all connections are closed.
	RouterClosedEvent Event = "closed"
	// RouterStopNowEvent: a second stop signal was received.
	RouterStopNowEvent Event = "stop_now"
)

// States of an engine, from the view of its pool's owner.
const (
	EngineUp      State = "up"
	EngineSuspect State = "suspect"
	EngineDown    State = "down"
	EngineDamped  State = "damped"
	EngineLeaving State = "leaving"
	EngineGone    State = "gone"
)

// Events of an engine.
const (
	// EngineAnsweredEvent: a request or a probe was answered.
	EngineAnsweredEvent Event = "answered"
	// EngineFailedEvent: a request or a probe failed.
	EngineFailedEvent Event = "failed"
	// EngineSuspicionExpiredEvent: the engine stayed suspect for the time limit.
	EngineSuspicionExpiredEvent Event = "suspicion_expired"
	// EngineHoldElapsedEvent: a damped engine did not fail for the hold time.
	EngineHoldElapsedEvent Event = "hold_elapsed"
	// EngineListedLeavingEvent: the VM list contains the engine as leaving.
	EngineListedLeavingEvent Event = "listed_leaving"
	// EngineRelistedEvent: a newer VM list contains a leaving engine as live.
	EngineRelistedEvent Event = "relisted"
	// EngineUnlistedEvent: the VM list no longer contains the engine.
	EngineUnlistedEvent Event = "unlisted"
)

// States of an order to an engine.
const (
	OrderProposed   State = "proposed"
	OrderSent       State = "sent"
	OrderConfirmed  State = "confirmed"
	OrderUnknown    State = "unknown"
	OrderRepaired   State = "repaired"
	OrderFailed     State = "failed"
	OrderSuperseded State = "superseded"
)

// Events of an order.
const (
	// OrderSendEvent: the order is written to the engine.
	OrderSendEvent Event = "send"
	// OrderAcceptedEvent: the engine accepted the order.
	OrderAcceptedEvent Event = "accepted"
	// OrderRefusedEvent: the engine refused the content of the order.
	OrderRefusedEvent Event = "refused"
	// OrderFencedEvent: the engine refused an old fencing number.
	OrderFencedEvent Event = "fenced"
	// OrderNoAnswerEvent: the connection failed after the order may have been sent.
	OrderNoAnswerEvent Event = "no_answer"
	// OrderStateMatchesEvent: the engine's state is the ordered one.
	OrderStateMatchesEvent Event = "state_matches"
	// OrderStateDiffersEvent: the engine's state is not the ordered one.
	OrderStateDiffersEvent Event = "state_differs"
	// OrderRepairAcceptedEvent: the engine accepted the repeated order.
	OrderRepairAcceptedEvent Event = "repair_accepted"
	// OrderLeaseLostEvent: the sender's lease ended.
	OrderLeaseLostEvent Event = "lease_lost"
	// OrderNewerOrderEvent: a newer order to the same engine exists.
	OrderNewerOrderEvent Event = "newer_order"
	// OrderEngineGoneEvent: the VM list no longer contains the engine.
	OrderEngineGoneEvent Event = "engine_gone"
)

// States of a non-repeatable request.
const (
	NonRepeatableReceived      State = "received"
	NonRepeatableIntentPending State = "intent_pending"
	NonRepeatableWon           State = "won"
	NonRepeatableDispatched    State = "dispatched"
	NonRepeatableDone          State = "done"
	NonRepeatableUnknown       State = "unknown"
	NonRepeatableNotRun        State = "not_run"
	NonRepeatableDuplicate     State = "duplicate"
)

// Events of a non-repeatable request.
const (
	// NonRepeatableRefusedEvent: the request was refused before any intent was appended.
	NonRepeatableRefusedEvent Event = "refused"
	// NonRepeatableKeyExpiredEvent: the key is older than the key window.
	NonRepeatableKeyExpiredEvent Event = "key_expired"
	// NonRepeatableDuplicateFoundEvent: the key already has a holder or an outcome.
	NonRepeatableDuplicateFoundEvent Event = "duplicate_found"
	// NonRepeatableAppendIntentEvent: the intent is appended to the log.
	NonRepeatableAppendIntentEvent Event = "append_intent"
	// NonRepeatableIntentWonEvent: the intent was read back as the winner.
	NonRepeatableIntentWonEvent Event = "intent_won"
	// NonRepeatableIntentLostEvent: another intent of the same generation won.
	NonRepeatableIntentLostEvent Event = "intent_lost"
	// NonRepeatableVoidedEvent: a Void of the generation was read back as the winner.
	NonRepeatableVoidedEvent Event = "voided"
	// NonRepeatableUndecidedEvent: the time limit expired before a winner was read from the log.
	NonRepeatableUndecidedEvent Event = "undecided"
	// NonRepeatableDispatchEvent: the request is sent to a backend server.
	NonRepeatableDispatchEvent Event = "dispatch"
	// NonRepeatableDialRefusedEvent: the connection was refused, so no byte was sent.
	NonRepeatableDialRefusedEvent Event = "dial_refused"
	// NonRepeatableAnsweredEvent: the backend server answered.
	NonRepeatableAnsweredEvent Event = "answered"
	// NonRepeatableConnectionLostEvent: the connection failed after a byte may have been sent.
	NonRepeatableConnectionLostEvent Event = "connection_lost"
	// NonRepeatableHolderLostEvent: the router that holds the intent is lost.
	NonRepeatableHolderLostEvent Event = "holder_lost"
)
