package poolowner

import (
	"context"
	"sync"
)

// PollLoads reads the load reports of all engines once, for baseline policies
// that act on them.
func (s *Service) PollLoads(ctx context.Context) {
	var wg sync.WaitGroup
	for _, p := range s.snapshot() {
		if p.isPlain() {
			continue
		}
		for _, name := range p.engineNames() {
			wg.Add(1)
			go func() {
				defer wg.Done()
				p.pollLoad(ctx, name)
			}()
		}
	}
	wg.Wait()
}

func (p *ownedPool) pollLoad(ctx context.Context, name string) {
	client := p.engine(name)
	if client == nil {
		return
	}
	report, err := client.LoadBrief(ctx)
	if err != nil {
		return
	}
	p.admission.SetReportedLoad(name, report.Running+report.Waiting)
}
