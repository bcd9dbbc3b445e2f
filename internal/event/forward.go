package event

import "github.com/hashicorp/go-hclog"

// Events 1000 to 1099: the router of package front, the requests that it
// forwards, and its view of servers, configuration and the platform's store.
var (
	RequestServed       = register(1000, hclog.Info, "request served")
	RequestFailed       = register(1001, hclog.Warn, "request not served")
	RequestRetried      = register(1002, hclog.Info, "request is retried on another server")
	ServerEjected       = register(1003, hclog.Warn, "server ejected; it gets no new requests for a while")
	ServerChanged       = register(1004, hclog.Info, "server was added, changed or removed")
	ConfigInForce       = register(1005, hclog.Info, "configuration in force")
	ConfigUnusable      = register(1006, hclog.Error, "configuration record cannot be used")
	ServerEntryUnusable = register(1007, hclog.Warn, "server entry cannot be used")
	StoreUnavailable    = register(1008, hclog.Warn, "platform store does not answer")
	StoreAvailable      = register(1009, hclog.Info, "platform store answers again")
	HistoryExpired      = register(1010, hclog.Warn, "history of a topic has expired; reading the newest records")
	StaleListIgnored    = register(1011, hclog.Warn, "list of newest records is older than the records already read; ignored")
	FrontStarted        = register(1012, hclog.Info, "front router started")
	FrontReady          = register(1013, hclog.Info, "front router is ready")
	FrontStopping       = register(1014, hclog.Info, "graceful stop of the front router started")
	FrontStopped        = register(1015, hclog.Info, "front router stopped")
	SettingsReloaded    = register(1016, hclog.Info, "settings file read again")
	LogLinesDropped     = register(1017, hclog.Warn, "log lines were dropped because the output was slow")
	DigestUnusable      = register(1019, hclog.Warn, "digest of another router cannot be decoded")
	PeerDiscovered      = register(1020, hclog.Info, "first digest received from another router")
	StoreEraStarted     = register(1024, hclog.Warn, "store came back from an older copy; reading the newest records")
	ConfigHeldBack      = register(1025, hclog.Warn, "first configuration is older than that of a running router; held back")
	ServerEntryOutdated = register(1026, hclog.Info, "server entry of an older copy of the store contradicts what is known; ignored until it is written again")
	LibraryMessage      = register(1027, hclog.Warn, "HTTP library reported a problem with a connection")
	ReuseStopped        = register(1028, hclog.Warn, "connections to a server are not reused for a while; it loses requests on kept ones")
	ReuseResumed        = register(1029, hclog.Info, "connections to a server are reused again")
	ReaderChanged       = register(1030, hclog.Info, "router starts or stops reading the store for the others")
	InventoryCollected  = register(1022, hclog.Info, "engines were queried for their cached prompt parts")
	InventoryFailed     = register(1023, hclog.Warn, "query of an engine's cached prompt parts failed")
)
