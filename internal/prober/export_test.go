package prober

// Tick applies the version in force without sending the probes that are due.
func (p *Prober) Tick() { p.tick() }
