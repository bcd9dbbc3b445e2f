package balance

const (
	// minFactor is the load factor for prompts without shared tokens.
	minFactor = 1.25
	// largeTokens is the prefix size from which the full factor applies.
	largeTokens = 4000
	// factorMargin, plus marginPerSecond for each second of the age of the other
	// routers' reports, keeps the real load below the factor although the estimate is
	// outdated.
	factorMargin    = 0.1
	marginPerSecond = 0.15
)

// bound returns the load below which a server takes the request. It is lower for
// small prefixes, which cost little to process again: they spill first and even out
// the load of the homes of large prefixes.
func (p *Pool) bound(mean float64, sharedTokens int) float64 {
	share := min(float64(sharedTokens)/largeTokens, 1)
	return (minFactor+(p.highestFactor()-minFactor)*share)*mean + p.limits.CapExtra
}

// highestBound returns the load below which a server takes any request.
func (p *Pool) highestBound(mean float64) float64 {
	return p.highestFactor()*mean + p.limits.CapExtra
}

func (p *Pool) highestFactor() float64 {
	margin := factorMargin + marginPerSecond*p.peersAge.Seconds()
	return max(p.limits.CapFactor-margin, minFactor)
}
