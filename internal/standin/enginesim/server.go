package enginesim

// Start serves the engine on a loopback address such as 127.0.0.1:0 and
// returns the address in use.
func (e *Engine) Start(addr string) (string, error) {
	return e.server.Start(addr, e)
}

// Addr returns the address in use, or an empty string.
func (e *Engine) Addr() string {
	return e.server.Addr()
}

// SetRefuseConnections makes the operating system refuse new connections, or ends
// that. Idle connections are closed; running streams continue.
func (e *Engine) SetRefuseConnections(refuse bool) error {
	if !refuse {
		return e.server.Reopen()
	}
	e.server.Refuse()
	return nil
}
