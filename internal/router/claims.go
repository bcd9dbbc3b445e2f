package router

import (
	"context"

	"github.com/bluebellwell/bluebellwell/internal/peer"
	"github.com/bluebellwell/bluebellwell/internal/peerpb"
)

func (r *Router) serveClaim(_ context.Context, _ *peerpb.Claim, _ *peer.Stream) {}
