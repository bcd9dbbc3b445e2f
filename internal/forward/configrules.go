package forward

import (
	"github.com/bluebellwell/bluebellwell/internal/configcheck"
	"github.com/bluebellwell/bluebellwell/internal/routing"
)

// ConfigRules returns the rules by which routers apply a configuration, for its check before it is sent.
func ConfigRules() configcheck.Rules {
	return configcheck.Rules{
		Regions:       regionsOf,
		SilenceLimit:  silenceLimit,
		Deadline:      defaultDeadline,
		BodyBytes:     defaultBodyBytes,
		LeastPriority: routing.MaxPriority,
	}
}
