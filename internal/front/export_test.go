package front

// Crash ends the router as a kill does: the others are told nothing.
func (f *Front) Crash() {
	_ = f.exchange.Close()
	f.tomb.Kill(nil)
	_ = f.tomb.Wait()
}
