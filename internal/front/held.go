package front

import (
	"time"

	"github.com/bluebellwell/bluebellwell/internal/event"
)

// A store that has come back from an older copy may hold an older configuration than
// the running routers. A router that starts then has nothing to compare it with but
// the versions that the others report. It holds its first configuration back until
// it has heard of one, for a short time, and for as long as a live router has a newer
// one: the operators write that one again, and the others serve meanwhile.

const (
	// firstDigestWait is how long a starting router waits to hear which configuration
	// the others have. Their answers take a few milliseconds.
	firstDigestWait = 25 * time.Millisecond
	// heldCheckInterval is the time between two checks in that time.
	heldCheckInterval = 5 * time.Millisecond
)

// heldConfig is a configuration that is not in force yet.
type heldConfig struct {
	configUpdate
	logged bool
}

// holdBack reports whether the first configuration is not to be put in force yet, and
// keeps it then.
func (t *tracker) holdBack(u configUpdate) bool {
	config, position := u.config, u.position
	newest := t.exchange.NewestConfig()
	starting := !t.firstStart && newest == 0 && time.Since(t.startedAt) < firstDigestWait
	if !starting && newest <= config.Version {
		t.held = nil
		return false
	}
	logged := t.held != nil && t.held.logged
	if !starting && !logged {
		t.events.Emit(event.ConfigHeldBack, "version", config.Version, "newest", newest, "era", position.Era, "offset", position.Offset)
		logged = true
	}
	t.held = &heldConfig{configUpdate: u, logged: logged}
	return true
}

// heldCheck returns a channel that receives when a configuration that waits for the
// first digest is to be checked again; nil when there is none.
func (t *tracker) heldCheck() <-chan time.Time {
	if t.held == nil || t.held.logged {
		return nil
	}
	return time.After(heldCheckInterval)
}

// releaseHeld puts a configuration that was held back in force, if it may be.
func (t *tracker) releaseHeld() {
	if t.held != nil {
		t.activateConfig(t.held.configUpdate)
	}
}
