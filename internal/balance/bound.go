package balance

const (
	// factorMargin, plus marginPerSecond for each second of the age of the other
	// routers' reports, keeps the real load below the factor although the estimate is
	// outdated.
	factorMargin    = 0.1
	marginPerSecond = 0.15
	// minFactor is the least factor, whatever the margin.
	minFactor = 1.25
)

// bound returns the load below which a server takes a request.
func (p *Pool) bound(mean float64) float64 {
	margin := factorMargin + marginPerSecond*p.peersAge.Seconds()
	return max(p.limits.CapFactor-margin, minFactor)*mean + p.limits.CapExtra
}
