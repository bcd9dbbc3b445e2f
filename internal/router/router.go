// Package router is the router daemon: it wires the entry API, the owner's
// side of pools, the configuration and the membership together. One goroutine
// holds all control state and publishes immutable snapshots; traffic reads
// them without locks.
package router

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"crypto/rand"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"gopkg.in/tomb.v2"

	"github.com/bluebellwell/bluebellwell/internal/dispatch"
	"github.com/bluebellwell/bluebellwell/internal/entry"
	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/fleetconfig"
	"github.com/bluebellwell/bluebellwell/internal/logstream"
	"github.com/bluebellwell/bluebellwell/internal/meter"
	"github.com/bluebellwell/bluebellwell/internal/peer"
	"github.com/bluebellwell/bluebellwell/internal/placement"
	"github.com/bluebellwell/bluebellwell/internal/poolowner"
	"github.com/bluebellwell/bluebellwell/internal/settings"
	"github.com/bluebellwell/bluebellwell/internal/telemetry"
	"github.com/bluebellwell/bluebellwell/internal/vmlist"
)
